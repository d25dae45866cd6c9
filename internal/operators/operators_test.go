package operators

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	dir := t.TempDir()
	ics := "BEGIN:VCALENDAR\r\nBEGIN:VEVENT\r\nSUMMARY:Fair\r\nDTSTART;VALUE=DATE:20270510\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"
	if err := os.WriteFile(filepath.Join(dir, "x.ics"), []byte(ics), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Parse([]byte("[policy]\nmargin = \"0.5\"\n[calendars.bg]\ncountry = \"BG\"\nholidays = [2027-02-26]\nworked = [2027-02-27]\nweekend = [\"Sunday\", \"saturday\"]\nicalendar = [\"x.ics\"]\n[calendars.all]\nweekend = []\n"), dir)
	if err != nil {
		t.Fatal(err)
	}
	if names := f.Calendars.Names(); len(names) != 2 || names[1] != "bg" {
		t.Errorf("calendars %v, want all and bg", names)
	}
	if f.Policy == nil {
		t.Error("Policy is nil")
	}
}

// TestInvalidFieldIsNamed checks that an error is one line that names the field or the line.
func TestInvalidFieldIsNamed(t *testing.T) {
	dir := t.TempDir()
	for _, test := range []struct{ text, want string }{
		{"[polcy]\n", "polcy"},
		{"[policy]\nmargn = \"1\"\n", "policy.margn"},
		{"[policy]\nmargin = 1.0\n", "policy.margin"},
		{"[policy]\nmargin = \"1 +\"\n", "policy.margin"},
		{"[calendars.x]\ncountri = \"BG\"\n", "calendars.x.countri"},
		{"[calendars.x]\ncountry = \"XX\"\n", "calendars.x.country"},
		{"[calendars.x]\nweekend = [\"caturday\"]\n", "calendars.x.weekend"},
		{"[calendars.x]\nicalendar = [\"none.ics\"]\n", "calendars.x.icalendar"},
		{"[calendars.x]\nholidays = [\"Easter\"]\n", "holidays"},
		{"x = [", "line 1"},
		{"[regions]\nr1 = []\n", "regions.r1"},
		{"[regions]\nr1 = [\"a\"]\nr2 = [\"a\"]\n", "regions.r2"},
	} {
		t.Run(test.text, func(t *testing.T) {
			_, err := Parse([]byte(test.text), dir)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that names %s", err, test.want)
			}
		})
	}
}

// TestExample checks that the example file in deploy defines nothing and is valid with all its
// examples uncommented.
func TestExample(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "operators.toml")
	f, err := Load(path)
	if err != nil || len(f.Calendars.Names()) > 0 {
		t.Fatalf("example file as shipped: %+v, %v", f, err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var examples []string
	for line := range strings.Lines(string(data)) {
		if example, ok := strings.CutPrefix(line, "#:"); ok {
			examples = append(examples, example)
		}
	}
	f, err = Parse([]byte(strings.Join(examples, "")), ".")
	if err != nil || len(f.Calendars.Names()) < 2 {
		t.Errorf("uncommented example file: %+v, %v", f, err)
	}
}
