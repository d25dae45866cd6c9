package relay

import (
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/heartbeat"
)

// Each list of tasks or orders is encoded as one string, which the leader decodes faster than JSON
// objects: those would cost it more to decode than to process, and a large fleet sends a hundred
// thousand of them after a change of leader. Fields are separated by spaces and list members by commas, and names are escaped as in a
// URL query.

var errMalformedList = errors.New("malformed list of tasks or orders")

// Tasks is a list of tasks that is encoded as "JOB INDEX TRY PHASE CAUSE,…".
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

func decodeList[T any](text []byte, readMember func(f *fields) T) ([]T, error) {
	f := fields{rest: string(text)}
	list := make([]T, 0, 1+strings.Count(f.rest, ","))
	for f.hasNext() {
		list = append(list, readMember(&f))
	}
	return list, f.err
}

func appendTask(b []byte, id heartbeat.TaskID, attempt uint64) []byte {
	b = append(b, url.QueryEscape(id.Job)...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(id.Index), 10)
	b = append(b, ' ')
	return strconv.AppendUint(b, attempt, 10)
}

// UnmarshalText implements encoding.TextUnmarshaler. It validates only the syntax. The caller must
// check that the phases are known.
func (ts *Tasks) UnmarshalText(text []byte) (err error) {
	*ts, err = decodeList(text, func(f *fields) heartbeat.Task {
		t := heartbeat.Task{ID: heartbeat.TaskID{Job: f.text(' '), Index: f.index(' ')}, Attempt: f.number(' ')}
		t.Phase = heartbeat.Phase(f.text(' '))
		t.Cause = f.text(',')
		return t
	})
	return err
}

// Orders is a list of orders that is encoded as "VERB JOB INDEX TRY DRAIN,…", with the drain time
// in milliseconds.
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

// UnmarshalText implements encoding.TextUnmarshaler. It validates the syntax and the range of the
// drain time. The caller must check that the verbs are known.
func (os *Orders) UnmarshalText(text []byte) (err error) {
	*os, err = decodeList(text, func(f *fields) heartbeat.Order {
		o := heartbeat.Order{Verb: heartbeat.Verb(f.text(' ')), Task: heartbeat.TaskID{Job: f.text(' '), Index: f.index(' ')}, Attempt: f.number(' ')}
		ms := f.number(',')
		if ms > uint64(maxDrain.Milliseconds()) {
			f.err = errMalformedList
		}
		o.Drain = time.Duration(ms) * time.Millisecond
		return o
	})
	return err
}

// maxDrain bounds the time that an order gives a task to save its checkpoint.
const maxDrain = 30 * 24 * time.Hour

// fields reads the fields of an encoded list one by one. After an error hasNext returns false.
type fields struct {
	rest string
	err  error
}

func (f *fields) hasNext() bool { return f.rest != "" && f.err == nil }

// next returns the next field, which must be terminated by sep or, if sep is a comma, by the end
// of the list.
func (f *fields) next(sep byte) string {
	i := strings.IndexByte(f.rest, sep)
	if i < 0 {
		if sep != ',' { // only the last field of a member may end the list
			f.err = errMalformedList
		}
		s := f.rest
		f.rest = ""
		return s
	}
	s := f.rest[:i]
	if f.rest = f.rest[i+1:]; sep == ',' && f.rest == "" {
		f.err = errMalformedList // trailing comma
	}
	return s
}

// text returns the next field unescaped.
func (f *fields) text(sep byte) string {
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

// index returns the next field as a non-negative number that fits into 31 bits.
func (f *fields) index(sep byte) int {
	n, err := strconv.ParseUint(f.next(sep), 10, 31)
	if err != nil {
		f.err = errMalformedList
	}
	return int(n)
}
