package schedule

import (
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// HistoryLength is the number of entries that a record keeps.
	HistoryLength = 12
	// maxReasonBytes limits the length of a reason in the history.
	maxReasonBytes = 120
)

// The encoded form of a history. Each entry ends with a semicolon, and commas separate its
// fields: job, the times in the order of entryTimes, state, "l" if late, and the
// query-escaped reason. Times are Unix milliseconds in base 36; an unknown time is empty.
// Records hold this form in memory too, since it is smaller than a slice of structs.
const (
	entryEnd       = ";"
	fieldSeparator = ","
	lateMark       = "l"
	timeBase       = 36
)

// entryTimes returns the times of an entry in the order of their encoding.
func entryTimes(entry *Entry) [5]*time.Time {
	return [...]*time.Time{&entry.Planned, &entry.Deadline, &entry.Made, &entry.Started, &entry.Ended}
}

// setEntries encodes entries, oldest first, as the history of r.
func (r *Record) setEntries(entries []Entry) {
	var encoded []byte
	for i := range entries {
		encoded = appendEntry(encoded, &entries[i])
	}
	r.EncodedHistory = string(encoded)
}

func appendEntry(encoded []byte, entry *Entry) []byte {
	encoded = append(encoded, entry.Job...)
	encoded = append(encoded, fieldSeparator...)
	for _, t := range entryTimes(entry) {
		if !t.IsZero() {
			encoded = strconv.AppendInt(encoded, t.UnixMilli(), timeBase)
		}
		encoded = append(encoded, fieldSeparator...)
	}
	encoded = append(encoded, entry.State...)
	encoded = append(encoded, fieldSeparator...)
	if entry.Late {
		encoded = append(encoded, lateMark...)
	}
	encoded = append(encoded, fieldSeparator...)
	encoded = append(encoded, url.QueryEscape(entry.Reason)...)
	return append(encoded, entryEnd...)
}

// Entries decodes the history, oldest entry first. It returns false if it is malformed.
func (r *Record) Entries() (entries []Entry, ok bool) {
	if r.EncodedHistory == "" {
		return nil, true
	}
	entries = make([]Entry, 0, strings.Count(r.EncodedHistory, entryEnd)+1)
	for remaining := r.EncodedHistory; remaining != ""; {
		var encoded string
		if encoded, remaining, ok = strings.Cut(remaining, entryEnd); !ok {
			return nil, false
		}
		entry, ok := parseEntry(encoded)
		if !ok {
			return nil, false
		}
		entries = append(entries, entry)
	}
	return entries, true
}

func parseEntry(encoded string) (entry Entry, ok bool) {
	nextField := func() (field string) {
		field, encoded, _ = strings.Cut(encoded, fieldSeparator)
		return field
	}
	entry.Job = nextField()
	for _, t := range entryTimes(&entry) {
		if *t, ok = parseTime(nextField()); !ok {
			return Entry{}, false
		}
	}
	entry.State = nextField()
	entry.Late = nextField() == lateMark
	reason, err := url.QueryUnescape(encoded)
	if err != nil {
		return Entry{}, false
	}
	entry.Reason = reason
	return entry, true
}

// parseTime decodes a time of an entry. An empty field is the zero time.
func parseTime(field string) (t time.Time, ok bool) {
	if field == "" {
		return time.Time{}, true
	}
	milliseconds, err := strconv.ParseInt(field, timeBase, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(milliseconds).UTC(), true
}
