package relay

import (
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/heartbeat"
)

// Tasks and orders are most of the traffic between controllers, a hundred thousand of
// them when a large fleet changes its leader. As JSON objects each costs the leader more
// to decode than to process, so a list is one string: fields separated by spaces, list
// members by commas, and names escaped as in a URL's query.

var errMalformedList = errors.New("a list of tasks that no controller writes")

// Tasks is a list of tasks on the wire: "JOB INDEX TRY PHASE CAUSE,…".
type Tasks []heartbeat.Task

// MarshalText implements encoding.TextMarshaler.
func (ts Tasks) MarshalText() ([]byte, error) {
	return encodeList(ts, func(b []byte, t *heartbeat.Task) []byte {
		b = appendTask(b, t.ID, t.Attempt)
		b = append(b, ' ')
		b = append(b, url.QueryEscape(string(t.Phase))...)
		b = append(b, ' ')
		return append(b, url.QueryEscape(t.Cause)...)
	}), nil
}

// encodeList encodes a list, each of its members with appendMember.
func encodeList[T any](list []T, appendMember func(b []byte, x *T) []byte) []byte {
	b := make([]byte, 0, 40*len(list))
	for i := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendMember(b, &list[i])
	}
	return b
}

// decodeList decodes a list, each of its members with readMember.
func decodeList[T any](text []byte, readMember func(f *fields) T) ([]T, error) {
	f := fields{rest: string(text)}
	list := make([]T, 0, 1+strings.Count(f.rest, ","))
	for f.more() {
		list = append(list, readMember(&f))
	}
	return list, f.err
}

func appendTask(b []byte, id heartbeat.TaskID, try uint64) []byte {
	b = append(b, url.QueryEscape(id.Job)...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(id.Index), 10)
	b = append(b, ' ')
	return strconv.AppendUint(b, try, 10)
}

// UnmarshalText implements encoding.TextUnmarshaler. It checks the syntax only; whether
// a phase is one of the protocol is for the caller to check.
func (ts *Tasks) UnmarshalText(text []byte) (err error) {
	*ts, err = decodeList(text, func(f *fields) heartbeat.Task {
		t := heartbeat.Task{ID: heartbeat.TaskID{Job: f.name(' '), Index: f.index(' ')}, Attempt: f.number(' ')}
		t.Phase = heartbeat.Phase(f.name(' '))
		t.Cause = f.name(',')
		return t
	})
	return err
}

// Orders is a list of orders on the wire: "VERB JOB INDEX TRY DRAIN,…", the drain in
// milliseconds.
type Orders []heartbeat.Order

// MarshalText implements encoding.TextMarshaler.
func (os Orders) MarshalText() ([]byte, error) {
	return encodeList(os, func(b []byte, o *heartbeat.Order) []byte {
		b = append(b, url.QueryEscape(string(o.Verb))...)
		b = append(b, ' ')
		b = appendTask(b, o.Task, o.Attempt)
		b = append(b, ' ')
		return strconv.AppendInt(b, o.Drain.Milliseconds(), 10)
	}), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (os *Orders) UnmarshalText(text []byte) (err error) {
	*os, err = decodeList(text, func(f *fields) heartbeat.Order {
		o := heartbeat.Order{Verb: heartbeat.Verb(f.name(' ')), Task: heartbeat.TaskID{Job: f.name(' '), Index: f.index(' ')}, Attempt: f.number(' ')}
		ms := f.number(',')
		if ms > uint64(maxDrain.Milliseconds()) {
			f.err = errMalformedList
		}
		o.Drain = time.Duration(ms) * time.Millisecond
		return o
	})
	return err
}

// maxDrain is far above any time that a task is given to save its checkpoint.
const maxDrain = 30 * 24 * time.Hour

// fields reads the fields of a text one by one. After an error more reports false.
type fields struct {
	rest string
	err  error
}

func (f *fields) more() bool { return f.rest != "" && f.err == nil }

func (f *fields) next(sep byte) string {
	i := strings.IndexByte(f.rest, sep)
	if i < 0 {
		if sep != ',' { // only the last field of the last member ends with the text
			f.err = errMalformedList
		}
		s := f.rest
		f.rest = ""
		return s
	}
	s := f.rest[:i]
	if f.rest = f.rest[i+1:]; sep == ',' && f.rest == "" {
		f.err = errMalformedList // something had to follow
	}
	return s
}

func (f *fields) name(sep byte) string {
	s := f.next(sep)
	if strings.IndexByte(s, '%') < 0 && strings.IndexByte(s, '+') < 0 {
		return s
	}
	u, err := url.QueryUnescape(s)
	if err != nil {
		f.err = errMalformedList
	}
	return u
}

func (f *fields) number(sep byte) uint64 {
	n, err := strconv.ParseUint(f.next(sep), 10, 64)
	if err != nil {
		f.err = errMalformedList
	}
	return n
}

func (f *fields) index(sep byte) int {
	n, err := strconv.ParseUint(f.next(sep), 10, 31)
	if err != nil {
		f.err = errMalformedList
	}
	return int(n)
}
