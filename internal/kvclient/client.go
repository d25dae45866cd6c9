// Package kvclient speaks the protocol of the key-value store.
package kvclient

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/wire"
)

// Client is the actor that calls the state service: each call runs in its own
// goroutine and its reply goes to the core's inbox. The core bounds how many
// are on their way.
type Client struct {
	caller *wire.Caller
	inbox  chan<- any
}

// New returns a client of the service at addr that delivers to inbox.
func New(addr string, inbox chan<- any) *Client {
	return &Client{wire.NewCaller(addr, time.Second, 8, maxAnswer), inbox}
}

// Do makes the call and delivers its reply.
func (c *Client) Do(call kv.Request) {
	go func() {
		r := c.call(call)
		r.Ref = call.Ref
		c.inbox <- r
	}()
}

type entryJSON struct {
	K      string          `json:"k"`
	V      json.RawMessage `json:"v,omitempty"`
	KeyRev uint64          `json:"keyRev"`
}

type condJSON struct {
	K      string `json:"k"`
	KeyRev uint64 `json:"keyRev"`
}

type writeJSON struct {
	Write string `json:"write,omitempty"`
	V     any    `json:"v,omitempty"`
	Grant uint64 `json:"grant,omitempty"`
	Drop  string `json:"drop,omitempty"`
}

type txnJSON struct {
	When []condJSON  `json:"when"`
	Then []writeJSON `json:"then"`
}

type ttlJSON struct {
	TTLMS int64 `json:"ttlMs"`
}

// answerJSON is the union of the service's answers. Pointers tell what is
// missing, because an answer without what it must hold is no success.
type answerJSON struct {
	entryJSON
	StoreRev  *uint64     `json:"storeRev"`
	Grant     *uint64     `json:"grant"`
	Failed    []string    `json:"failed"`
	Entries   []entryJSON `json:"entries"`
	Truncated bool        `json:"truncated"`
}

// maxAnswer bounds what is read of an answer; a listing has at most 512 KiB of
// items.
const maxAnswer = 2 << 20

func (c *Client) call(call kv.Request) kv.Response {
	method, path, body := Request(call)
	status, data, ok := c.caller.Call(method, path, body, call.Timeout)
	if !ok {
		return kv.Response{Outcome: rpc.Unknown}
	}
	return Decode(call, status, data)
}

// Request writes a call as the service's protocol has it.
func Request(call kv.Request) (method, path string, body []byte) {
	var v any
	switch call.Op {
	case kv.Get:
		method, path = http.MethodGet, "/store/"+call.Key
	case kv.List:
		q := url.Values{"under": {call.Key}, "limit": {strconv.Itoa(call.Limit)}}
		if call.From != "" {
			q.Set("from", call.From)
		}
		method, path = http.MethodGet, "/store?"+q.Encode()
	case kv.Watch:
		q := url.Values{"under": {call.Key}, "from": {strconv.FormatUint(call.FromRev, 10)},
			"blockMs": {strconv.FormatInt(call.Block.Milliseconds(), 10)}}
		method, path = http.MethodGet, "/follow?"+q.Encode()
	case kv.Txn:
		method, path, v = http.MethodPost, "/multi", encodeTxn(call)
	case kv.GrantLease:
		method, path, v = http.MethodPost, "/grants", ttlJSON{call.TTL.Milliseconds()}
	case kv.KeepAlive:
		method, path, v = http.MethodPost, fmt.Sprintf("/grants/%d/extend", call.LeaseID), ttlJSON{call.TTL.Milliseconds()}
	case kv.RevokeLease:
		method, path = http.MethodDelete, fmt.Sprintf("/grants/%d", call.LeaseID)
	}
	if v != nil {
		body, _ = json.Marshal(v) // plain structs of ours: cannot fail
	}
	return method, path, body
}

// Decode reads an answer. Whatever is not what the protocol promises for this very
// call is an unknown outcome: between us and the service there may be something that
// answers in its place, and what is believed here decides who leads and what exists.
func Decode(call kv.Request, status int, data []byte) kv.Response {
	unknown := kv.Response{Outcome: rpc.Unknown}
	var a answerJSON
	parsed := json.Unmarshal(data, &a) == nil
	switch status {
	case http.StatusOK:
	case http.StatusConflict:
		if call.Op == kv.Txn && parsed && len(a.Failed) > 0 {
			return kv.Response{Outcome: rpc.Conflict, FailedKeys: a.Failed}
		}
		return unknown
	case http.StatusNotFound:
		r := kv.Response{Outcome: rpc.NotFound}
		if call.Op == kv.Get {
			// That a record does not exist is believed from the service alone.
			if !parsed || a.StoreRev == nil {
				return unknown
			}
			r.Rev = *a.StoreRev
		}
		return r
	case http.StatusGone:
		return kv.Response{Outcome: rpc.NotFound}
	case http.StatusBadRequest:
		return kv.Response{Outcome: rpc.Invalid}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kv.Response{Outcome: rpc.Refused}
	default:
		return unknown
	}
	if call.Op == kv.RevokeLease {
		return kv.Response{Outcome: rpc.OK}
	}
	if !parsed {
		return unknown
	}
	r := kv.Response{Outcome: rpc.OK, More: a.Truncated}
	if a.StoreRev != nil {
		r.Rev = *a.StoreRev
	}
	switch call.Op {
	case kv.Get:
		if a.K != call.Key || a.KeyRev == 0 {
			return unknown
		}
		e := decodeEntry(a.entryJSON)
		if a.Grant != nil {
			e.LeaseID = *a.Grant
		}
		r.Entries = []kv.Entry{e}
	case kv.List:
		if a.Entries == nil && a.StoreRev == nil {
			return unknown
		}
		after := call.From
		for _, e := range a.Entries {
			// In order and behind what was asked for: a page that is not would
			// have us read for ever, or pass records over.
			if e.K <= after || !strings.HasPrefix(e.K, call.Key) {
				return unknown
			}
			after = e.K
			r.Entries = append(r.Entries, decodeEntry(e))
		}
		if r.More && len(r.Entries) == 0 {
			return unknown
		}
	case kv.GrantLease, kv.KeepAlive:
		if a.Grant == nil || call.Op == kv.KeepAlive && *a.Grant != call.LeaseID {
			return unknown
		}
		r.LeaseID = *a.Grant
	case kv.Txn, kv.Watch:
		if a.StoreRev == nil {
			return unknown
		}
	}
	return r
}

func encodeTxn(call kv.Request) txnJSON {
	t := txnJSON{When: make([]condJSON, 0, len(call.Conditions)), Then: make([]writeJSON, 0, len(call.Writes))}
	for _, w := range call.Conditions {
		t.When = append(t.When, condJSON{w.Key, w.Rev})
	}
	for _, w := range call.Writes {
		if w.Value == nil {
			t.Then = append(t.Then, writeJSON{Drop: w.Key})
		} else {
			t.Then = append(t.Then, writeJSON{Write: w.Key, V: encodeValue(w.Value), Grant: w.LeaseID})
		}
	}
	return t
}

// Values carry a tag, so that a reader knows a record without its key.

type jobJSON struct {
	Type      string     `json:"type"` // "job"
	Spec      SpecRecord `json:"spec"`
	Submitted int64      `json:"submittedMs"`
	Cancelled bool       `json:"cancelled,omitempty"`
}

type finalJSON struct {
	Type  string        `json:"type"` // "final"
	State spec.JobState `json:"state"`
	Done  int           `json:"done"`
}

type progressJSON struct {
	Type   string `json:"type"` // "progress"
	Ranges string `json:"ranges"`
}

// machineJSON names machines: one by its key ("machine", as the first version
// wrote it), or many ("machines").
type machineJSON struct {
	Type         string     `json:"type"`
	Machines     []hostJSON `json:"machines,omitempty"`
	InstanceType string     `json:"flavor,omitempty"`
	Zone         string     `json:"zone,omitempty"`
	Spot         bool       `json:"reclaimable,omitempty"`
}

type hostJSON struct {
	Host         string `json:"host"`
	Address      string `json:"address,omitempty"`
	InstanceType string `json:"flavor"`
	Zone         string `json:"zone"`
	Spot         bool   `json:"reclaimable,omitempty"`
}

type leaderJSON struct {
	Type string `json:"type"` // "leader" or "term"
	Node string `json:"node,omitempty"`
	Term uint64 `json:"term"`
	Life uint64 `json:"life,omitempty"`
	Era  uint64 `json:"era,omitempty"`
}

// scheduleJSON is a schedule. Times are in milliseconds, 0 where unknown.
type scheduleJSON struct {
	Type    string          `json:"type"` // "schedule"
	Number  uint64          `json:"number"`
	Seq     uint64          `json:"seq"`
	Edition uint64          `json:"edition"`
	File    json.RawMessage `json:"file"`
	Paused  bool            `json:"paused,omitempty"`
	Cursor  int64           `json:"cursorMs"`
	Rule    int64           `json:"ruleMs,omitempty"`
	LastJob string          `json:"lastJob,omitempty"`
	Made    int64           `json:"made,omitempty"`
	Missed  int64           `json:"missed,omitempty"`
	Late    int64           `json:"late,omitempty"`
	Past    string          `json:"past,omitempty"`
}

// numberJSON is up to which number schedules may have been numbered.
type numberJSON struct {
	Type   string `json:"type"` // "number"
	Number uint64 `json:"number"`
}

// teamJSON is a team's configuration as it was changed.
type teamJSON struct {
	Type     string  `json:"type"` // "configTeam"
	Revision uint64  `json:"revision"`
	Name     string  `json:"name"`
	CPUs     float64 `json:"cpus,omitempty"`
	CPUsMax  float64 `json:"cpusMax,omitempty"`
	GPUs     float64 `json:"gpus,omitempty"`
	GPUsMax  float64 `json:"gpusMax,omitempty"`
	Retired  bool    `json:"retired,omitempty"`
}

// headJSON is the revision of the whole configuration.
type headJSON struct {
	Type     string `json:"type"` // "configHead"
	Revision uint64 `json:"revision"`
}

// decodeTeam reads a team's configuration; nil if it cannot be one.
func decodeTeam(e entryJSON) *liveconfig.TeamRecord {
	var j teamJSON
	if json.Unmarshal(e.V, &j) != nil || j.Revision == 0 || !strings.HasSuffix(e.K, "/"+j.Name) {
		return nil
	}
	r := &liveconfig.TeamRecord{Team: liveconfig.Team{Name: j.Name, CPUs: j.CPUs, CPUsMax: j.CPUsMax, GPUs: j.GPUs, GPUsMax: j.GPUsMax, Retired: j.Retired}, Revision: j.Revision}
	if (&liveconfig.Change{Teams: []liveconfig.TeamChange{{Team: r.Team}}}).Check(1) != nil {
		return nil
	}
	return r
}

// maxTime is in the year 2500: a schedule at a later time was never written.
const maxTime = 16_725_225_600_000

func toMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func encodeSchedule(r *schedule.Record) scheduleJSON {
	return scheduleJSON{"schedule", r.Number, r.Seq, r.Edition, r.File, r.Paused, toMS(r.Cursor.Nominal), toMS(r.Cursor.Rule), r.LastJob, r.Made, r.Missed, r.Late, r.Past}
}

func (j *scheduleJSON) decode() (*schedule.Record, bool) {
	r := &schedule.Record{Number: j.Number, Seq: j.Seq, Edition: j.Edition, File: j.File, Paused: j.Paused, Cursor: schedule.Cursor{Nominal: fromMS(j.Cursor), Rule: fromMS(j.Rule)},
		LastJob: j.LastJob, Made: j.Made, Missed: j.Missed, Late: j.Late, Past: j.Past}
	_, ok := r.Entries()
	for _, ms := range []int64{j.Cursor, j.Rule} {
		ok = ok && ms >= 0 && ms < maxTime
	}
	return r, ok && j.Number > 0 && j.Number <= schedule.MaxNumber && len(j.File) > 0
}

// SpecRecord is a job's description as records and peers carry it.
type SpecRecord struct {
	ID                   string       `json:"id"`
	Class                string       `json:"class"`
	Owner                string       `json:"owner"`
	Service              bool         `json:"service,omitempty"`
	Urgency              spec.Urgency `json:"urgency"`
	Tasks                int          `json:"tasks"`
	CPUs                 float64      `json:"cpus,omitempty"`
	GPUs                 float64      `json:"gpus,omitempty"`
	MemGB                float64      `json:"memGb,omitempty"`
	Image                string       `json:"image,omitempty"`
	ImageGB              float64      `json:"imageGb,omitempty"`
	InstanceTypes        []string     `json:"flavors,omitempty"`
	Zone                 string       `json:"zone,omitempty"`
	SamePlace            bool         `json:"samePlace,omitempty"`
	Apart                bool         `json:"apart,omitempty"`
	AllowSpot            bool         `json:"reclaimable,omitempty"`
	RuntimeMS            int64        `json:"runtimeMs,omitempty"`
	CheckpointIntervalMS int64        `json:"snapshotEveryMs,omitempty"`
	CheckpointTimeMS     int64        `json:"snapshotMs,omitempty"`
	DeadlineMS           int64        `json:"dueMs,omitempty"`
	HasDeadline          bool         `json:"dated,omitempty"`
}

// EncodeSpec turns a description into its record.
func EncodeSpec(s *spec.Job) SpecRecord {
	return SpecRecord{s.ID, s.Class, s.Owner, s.Service, s.Urgency, s.Tasks, s.CPUs, s.GPUs, s.MemGB, s.Image, s.ImageGB,
		s.InstanceTypes, s.Zone, s.SamePlace, s.Apart, s.AllowSpot, s.Runtime.Milliseconds(), s.CheckpointInterval.Milliseconds(),
		s.CheckpointTime.Milliseconds(), s.Deadline.Milliseconds(), s.HasDeadline}
}

// Decode turns a record into the description; false if it cannot be one.
func (r SpecRecord) Decode() (spec.Job, bool) {
	// Beyond this a number of milliseconds would turn round as a duration.
	ms := func(n int64) time.Duration {
		if n < 0 || n > int64(math.MaxInt64/time.Millisecond) {
			return -1
		}
		return time.Duration(n) * time.Millisecond
	}
	s := spec.Job{ID: r.ID, Class: r.Class, Owner: r.Owner, Service: r.Service, Urgency: r.Urgency, Tasks: r.Tasks,
		CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB, Image: r.Image, ImageGB: r.ImageGB, InstanceTypes: r.InstanceTypes, Zone: r.Zone,
		SamePlace: r.SamePlace, Apart: r.Apart, AllowSpot: r.AllowSpot, Runtime: ms(r.RuntimeMS),
		CheckpointInterval: ms(r.CheckpointIntervalMS), CheckpointTime: ms(r.CheckpointTimeMS), Deadline: ms(r.DeadlineMS), HasDeadline: r.HasDeadline}
	return s, s.Sound()
}

// EncodeRecord writes a record's value as the state service has it.
func EncodeRecord(v any) json.RawMessage {
	data, _ := json.Marshal(encodeValue(v)) // plain structs of ours: cannot fail
	return data
}

// DecodeRecord reads what EncodeRecord has written; nil for what is no record of ours.
func DecodeRecord(key string, data json.RawMessage) any {
	return decodeEntry(entryJSON{K: key, V: data}).Value
}

func encodeValue(v any) any {
	switch v := v.(type) {
	case *record.Job:
		return jobJSON{"job", EncodeSpec(&v.Spec), v.Submitted.UnixMilli(), v.Cancelled}
	case *record.Final:
		return finalJSON{"final", v.State, v.Done}
	case *record.Progress:
		return progressJSON{"progress", v.Ranges}
	case *record.Machines:
		m := machineJSON{Type: "machines"}
		for _, h := range v.Machines {
			m.Machines = append(m.Machines, hostJSON(h))
		}
		return m
	case *record.Leader:
		return leaderJSON{"leader", v.Node, v.Term, v.Life, v.Era}
	case *record.Term:
		return leaderJSON{"term", "", v.Term, 0, v.Era}
	case *schedule.Record:
		return encodeSchedule(v)
	case *record.ScheduleNumber:
		return numberJSON{"number", v.Number}
	case *liveconfig.HeadRecord:
		return headJSON{"configHead", v.Revision}
	case *liveconfig.TeamRecord:
		t := &v.Team
		return teamJSON{"configTeam", v.Revision, t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax, t.Retired}
	}
	return nil
}

// decodeEntry reads a record; its value is nil when it is not one of ours.
func decodeEntry(e entryJSON) kv.Entry {
	out := kv.Entry{Key: e.K, Rev: e.KeyRev}
	var tag struct {
		Type string `json:"type"`
	}
	// There may be thousands of schedules, and this is how we write them.
	if bytes.HasPrefix(e.V, []byte(`{"type":"schedule",`)) {
		tag.Type = "schedule"
	} else if json.Unmarshal(e.V, &tag) != nil {
		return out
	}
	switch tag.Type {
	case "job":
		var j jobJSON
		if json.Unmarshal(e.V, &j) == nil {
			if s, ok := j.Spec.Decode(); ok && strings.HasSuffix(e.K, "/"+s.ID) {
				out.Value = &record.Job{Spec: s, Submitted: time.UnixMilli(j.Submitted), Cancelled: j.Cancelled}
			}
		}
	case "final":
		var f finalJSON
		if json.Unmarshal(e.V, &f) == nil && (f.State == spec.Done || f.State == spec.Cancelled) && f.Done >= 0 {
			out.Value = &record.Final{State: f.State, Done: f.Done}
		}
	case "progress":
		var p progressJSON
		if json.Unmarshal(e.V, &p) == nil {
			out.Value = &record.Progress{Ranges: p.Ranges}
		}
	case "machine", "machines":
		var m machineJSON
		// A record that names nobody is none of ours: it would be dropped instead.
		if json.Unmarshal(e.V, &m) == nil && (tag.Type == "machine" || len(m.Machines) > 0) {
			rec := &record.Machines{}
			for _, h := range m.Machines {
				rec.Machines = append(rec.Machines, record.Machine(h))
			}
			if tag.Type == "machine" {
				rec.Machines = []record.Machine{{Host: e.K[strings.LastIndexByte(e.K, '/')+1:], InstanceType: m.InstanceType, Zone: m.Zone, Spot: m.Spot}}
			}
			out.Value = rec
		}
	case "leader":
		var l leaderJSON
		if json.Unmarshal(e.V, &l) == nil && l.Node != "" && l.Term > 0 && l.Term <= record.MaxTerm {
			out.Value = &record.Leader{Node: l.Node, Term: l.Term, Life: l.Life, Era: l.Era}
		}
	case "term":
		var l leaderJSON
		if json.Unmarshal(e.V, &l) == nil && l.Term > 0 && l.Term <= record.MaxTerm {
			out.Value = &record.Term{Term: l.Term, Era: l.Era}
		}
	case "schedule":
		var j scheduleJSON
		if json.Unmarshal(e.V, &j) == nil {
			if r, ok := j.decode(); ok {
				out.Value = r
			}
		}
	case "number":
		var n numberJSON
		if json.Unmarshal(e.V, &n) == nil {
			out.Value = &record.ScheduleNumber{Number: n.Number}
		}
	case "configHead":
		var h headJSON
		if json.Unmarshal(e.V, &h) == nil && h.Revision > 0 {
			out.Value = &liveconfig.HeadRecord{Revision: h.Revision}
		}
	case "configTeam":
		if r := decodeTeam(e); r != nil {
			out.Value = r
		}
	}
	return out
}
