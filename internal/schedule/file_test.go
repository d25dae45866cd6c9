package schedule

import (
	"errors"
	"strings"
	"testing"
	"time"

	"yewpass/internal/calendar"
)

// TestCompileErrors pins the texts that users see for an invalid schedule.
func TestCompileErrors(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`name = "t`, `name = "T`, `name: "Tariff-recalculation" is not of lower-case letters, digits, dots, underscores and hyphens, 63 at the most`},
		{`overlap = "skip"`, `overlap = "stop"`, `overlap: "stop" is none of allow, skip, wait`},
		{`catch_up = "latest"`, `catch_up = "some"`, `catch_up: "some" is none of none, latest, all`},
		{`7200.0`, `-1.0`, `catch_up_within_s: out of range`},
		{`7200.0`, `nan`, `catch_up_within_s: out of range`},
		{`7200.0`, `31622401.0`, `catch_up_within_s: out of range`},
		{`[job]`, "[job]\nid = \"wk-1\"", `job.id: not in a schedule: each occurrence has an id of its own`},
		{`[job]`, "[job]\ndueS = 4.0", `job.dueS: not in a schedule: say due_at`},
		{`shards = 16`, `shards = 0`, `job.shards: out of range`},
		{`2027-01-01`, "2027-01-01\nends = 2026-01-01", `ends: lies before starts`},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := compile(t, test.old, test.new)
			var fieldError *calendar.FieldError
			if !errors.As(err, &fieldError) || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}

func TestCompileDefaults(t *testing.T) {
	def, err := compile(t, `overlap = "skip"`, ``, `catch_up = "latest"`, ``, `catch_up_within_s = 7200.0`, ``)
	if err != nil {
		t.Fatal(err)
	}
	if def.Overlap != Allow || def.CatchUp != Latest || def.Within != 24*time.Hour {
		t.Errorf("overlap %q, catch_up %q within %s", def.Overlap, def.CatchUp, def.Within)
	}
}

// TestParseJSONErrors pins the field and the reason that users see for a body that
// is not a schedule.
func TestParseJSONErrors(t *testing.T) {
	const notASchedule = "the body is not a schedule in JSON"
	for _, test := range []struct{ body, field, reason string }{
		{``, "", notASchedule},
		{`{`, "", notASchedule},
		{`[]`, "", notASchedule},
		{`{"name":}`, "", notASchedule},
		{`{} {}`, "", notASchedule},
		{`{"zoom":"UTC"}`, "zoom", "no such field"},
		{`{"job":{"zoom":1}}`, "zoom", "no such field"},
		{`{"zone":3}`, "zone", "wrong type or out of range"},
		{`{"job":{"shards":1.5}}`, "job.shards", "wrong type or out of range"},
		{`{"starts":"soon"}`, "starts or ends", "no date such as 2027-01-31"},
		{`{"ends":"2027-02-30"}`, "starts or ends", "no date such as 2027-01-31"},
	} {
		t.Run(test.body, func(t *testing.T) {
			_, err := ParseJSON([]byte(test.body))
			var fieldError *calendar.FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != test.field || fieldError.Reason != test.reason {
				t.Errorf("got %v, want %s: %s", err, test.field, test.reason)
			}
		})
	}
}

func TestValidName(t *testing.T) {
	for name, want := range map[string]bool{
		"a":                     true,
		"0.tariff_x-1":          true,
		strings.Repeat("a", 63): true,
		strings.Repeat("a", 64): false,
		"":                      false,
		"-a":                    false,
		".a":                    false,
		"a b":                   false,
		"A":                     false,
		"ü":                     false,
	} {
		if got := ValidName(name); got != want {
			t.Errorf("ValidName(%q) = %v, want %v", name, got, want)
		}
	}
}

func TestUnknownID(t *testing.T) {
	if got, want := UnknownID(at("2027-03-28T03:30:00Z")), "wk-????????202703280330"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
