package operators

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestParseErrors checks the error messages for an invalid file. DIR is replaced by the
// directory of the file.
func TestParseErrors(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "bad.ics"), []byte("BEGIN:VCALENDAR\r\nBEGIN:VEVENT\r\nSUMMARY:x\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ text, want string }{
		{"[policy]\nmargin = 1.0\n", "policy.margin: expression must be a string in quotes"},
		{"[policy]\nmargn = \"1\"\n", "policy.margn: no such setting"},
		{"[calendars.x]\ncountry = \"XX\"\n", `calendars.x.country: unknown country "XX"; known are BG, DE, GB, GR, RO, US`},
		{"[calendars.x]\nweekend = [\"caturday\"]\n", `calendars.x.weekend: "caturday" is not a day of the week such as saturday`},
		{"[calendars.x]\nweekend = [\"Monday\",\"tuesday\",\"wednesday\",\"thursday\",\"friday\",\"saturday\",\"sunday\"]\n", "calendars.x.weekend: leaves no business day"},
		{"[calendars.x]\nicalendar = [\"none.ics\"]\n", "calendars.x.icalendar: open DIR/none.ics: no such file or directory"},
		{"[calendars.x]\nicalendar = [\"bad.ics\"]\n", `calendars.x.icalendar: DIR/bad.ics: event "x": DTSTART: missing or no date`},
		{"[regions]\nr1 = []\n", "regions.r1: has no zones"},
		{"[polcy]\n", "line 1: polcy: no such section or field"},
		{"[calendars.x]\ncountri = \"BG\"\n", "line 2: calendars.x.countri: no such field"},
		{"[calendars.x]\ncountry = 3\n", "line 2 column 11: calendars.x.country: toml: cannot decode TOML integer into struct field operators.calendarTOML.Country of type string"},
	} {
		t.Run(test.text, func(t *testing.T) {
			_, err := Parse([]byte(test.text), dir)
			if err == nil {
				t.Fatal("Parse returned no error")
			}
			if got := strings.ReplaceAll(err.Error(), dir, "DIR"); got != test.want {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	file, err := Load("")
	if err != nil || file.Policy == nil || file.Calendars == nil || file.Regions == nil {
		t.Errorf("Load without a path: %+v, %v", file, err)
	}
	path := filepath.Join(t.TempDir(), "operators.toml")
	if _, err := Load(path); !os.IsNotExist(err) {
		t.Errorf("Load of an absent file: error %v, want os.ErrNotExist", err)
	}
	if err := os.WriteFile(path, []byte("[polcy]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || err.Error() != path+": line 1: polcy: no such section or field" {
		t.Errorf("Load of an invalid file: error %v, want one that begins with %s", err, path)
	}
}
