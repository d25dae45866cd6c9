package calendar

import (
	"strings"
	"testing"
)

const icalendar = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//t//EN\r\n" +
	"BEGIN:VEVENT\r\nUID:1\r\nSUMMARY:Inventory\r\nDTSTART;VALUE=DATE:20270510\r\nDTEND;VALUE=DATE:20270512\r\nEND:VEVENT\r\n" +
	"BEGIN:VEVENT\r\nUID:2\r\nSUMMARY:Founders\r\nDTSTART;VALUE=DATE:20200615\r\nRRULE:FREQ=YEARLY\r\nEXDATE;VALUE=DATE:20280615\r\nRDATE;VALUE=DATE:20280616\r\nEND:VEVENT\r\n" +
	"BEGIN:VEVENT\r\nUID:3\r\nSUMMARY:Off\r\nSTATUS:CANCELLED\r\nDTSTART;VALUE=DATE:20270520\r\nEND:VEVENT\r\n" +
	"BEGIN:VEVENT\r\nUID:4\r\nSUMMARY:Half\\n day\r\nDTSTART:20270524T120000Z\r\nDTEND:20270524T180000Z\r\nEND:VEVENT\r\n" +
	"END:VCALENDAR\r\n"

func TestICalendar(t *testing.T) {
	events, err := ParseICalendar([]byte(icalendar))
	if err != nil || len(events) != 3 {
		t.Fatalf("got %+v, error %v; want 3 events", events, err)
	}
	c, err := New(Definition{Events: events})
	if err != nil {
		t.Fatal(err)
	}
	for day, want := range map[string]string{"2027-05-07": "", "2027-05-10": "Inventory", "2027-05-11": "Inventory", "2027-05-12": "", "2027-06-15": "Founders",
		"2027-05-20": "", "2027-05-24": "Half day", "2028-06-15": "", "2028-06-16": "Founders", "2027-05-08": "Saturday", "2020-06-15": "Founders", "2019-06-14": ""} {
		if ok, why := c.IsBusinessDay(date(day)); why != want || ok != (want == "") {
			t.Errorf("IsBusinessDay(%s) = %v, %q, want reason %q", day, ok, why, want)
		}
	}
	for text, want := range map[string]string{"BEGIN:VCALENDAR\r\nBEGIN:VEVENT\r\nSUMMARY:x\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n": "DTSTART",
		strings.Replace(icalendar, "FREQ=YEARLY", "FREQ=OFTEN", 1): "RRULE", strings.Replace(icalendar, "20270512", "20290512", 1): "DTEND"} {
		if _, err := ParseICalendar([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that contains %s", text, err, want)
		}
	}
}

// TestICalendarErrors checks the errors that operators get for an invalid event.
func TestICalendarErrors(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{"DTSTART;VALUE=DATE:20270510", "DTSTART;VALUE=DATE:soon", `event "Inventory": DTSTART: missing or no date`},
		{"DTEND;VALUE=DATE:20270512", "DTEND;VALUE=DATE:soon", `event "Inventory": DTEND: not a date`},
		{"DTEND;VALUE=DATE:20270512", "DTEND;VALUE=DATE:20270509", `event "Inventory": DTEND: event covers -1 days; must be 1 to 366`},
		{"DTEND;VALUE=DATE:20270512", "DURATION:P0D", `event "Inventory": DTEND: event covers 0 days; must be 1 to 366`},
		{"DTEND;VALUE=DATE:20270512", "RECURRENCE-ID;VALUE=DATE:20270512", `event "Inventory": RECURRENCE-ID: is not supported; add a separate event for the date`},
		{"EXDATE;VALUE=DATE:20280615", "EXDATE;VALUE=DATE:20280615,x", `event "Founders": EXDATE: not a date`},
		{"RDATE;VALUE=DATE:20280616", "RDATE;VALUE=DATE:x", `event "Founders": RDATE: not a date`},
		{"FREQ=YEARLY", "FREQ=OFTEN", `event "Founders": RRULE: unknown FREQ=OFTEN`},
		{"SUMMARY:Inventory\r\nDTSTART;VALUE=DATE:20270510", "X-A:b", `event "holiday": DTSTART: missing or no date`},
	} {
		t.Run(test.new, func(t *testing.T) {
			_, err := ParseICalendar([]byte(strings.Replace(icalendar, test.old, test.new, 1)))
			if err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
	if _, err := ParseICalendar(make([]byte, MaxICalendarBytes+1)); err == nil || err.Error() != "larger than 1048576 bytes" {
		t.Errorf("file above the size limit: got error %v", err)
	}
}

// TestICalendarDuration checks how many days an event with DURATION covers.
func TestICalendarDuration(t *testing.T) {
	for duration, want := range map[string]int{"P3D": 3, "P2W": 14, "PT8H": 1, "P400D": 1, "soon": 1} {
		text := strings.Replace(icalendar, "DTEND;VALUE=DATE:20270512", "DURATION:"+duration, 1)
		events, err := ParseICalendar([]byte(text))
		if err != nil || events[0].Days != want {
			t.Errorf("%s: got %+v, error %v; want %d days", duration, events, err, want)
		}
	}
}

// FuzzICalendar checks that arbitrary input is rejected or yields a usable calendar.
func FuzzICalendar(f *testing.F) {
	f.Add([]byte(icalendar))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := ParseICalendar(data)
		if err != nil {
			return
		}
		c, err := New(Definition{Events: events})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			c.IsBusinessDay(Date(2027, 1, 1).AddDate(i, i, i))
		}
	})
}
