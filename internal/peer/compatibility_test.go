package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yewpass/internal/config"
	"yewpass/internal/heartbeat"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/relay"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// goldenLines was written by the controller "a" of version 5990396. The file must not be
// regenerated: a version that reads or writes other lines cannot join a cluster of that version.
const goldenLines = "testdata/lines-5990396.jsonl"

type goldenLine struct {
	Name string          `json:"name"`
	Line json.RawMessage `json:"line"`
}

func readGoldenLines(t *testing.T) []goldenLine {
	t.Helper()
	data, err := os.ReadFile(goldenLines)
	if err != nil {
		t.Fatal(err)
	}
	var all []goldenLine
	for line := range bytes.Lines(data) {
		var one goldenLine
		if err := json.Unmarshal(line, &one); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		all = append(all, one)
	}
	return all
}

// sender is the controller "a", whose only peer is the test.
type sender struct {
	mesh  *Mesh
	lines *bufio.Scanner
}

// newSender starts the controller "a" and returns it with the first line that it sends.
func newSender(t *testing.T) (s *sender, first string) {
	t.Helper()
	peer := listen(t)
	seeds := []config.Seed{{HostName: "b", Endpoint: peer.Addr().String()}}
	s = &sender{mesh: New("a", seeds, listen(t), make(chan any, 64))}
	conn, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	go func() {
		for { // keeps the link alive
			if _, err := io.WriteString(conn, "\n"); err != nil {
				return
			}
			time.Sleep(pingInterval)
		}
	}()
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	s.lines = bufio.NewScanner(conn)
	s.lines.Buffer(nil, maxLineBytes)
	return s, s.nextLine(t)
}

func (s *sender) nextLine(t *testing.T) string {
	t.Helper()
	if !s.lines.Scan() {
		t.Fatalf("no line received: %v", s.lines.Err())
	}
	return s.lines.Text()
}

// encode returns the line that the controller sends for a message.
func (s *sender) encode(t *testing.T, message peermsg.Message) string {
	t.Helper()
	s.mesh.Send(peermsg.Outgoing{To: "b", Msg: message})
	for {
		if line := s.nextLine(t); line != pingLine {
			return line
		}
	}
}

// pingLine is the keep-alive line of the controller "a".
const pingLine = `{"from":"a","kind":"ping"}`

// receiver is the controller "b", whose only peer, "a", is the test.
type receiver struct {
	conn   net.Conn
	inbox  chan any
	closed chan struct{} // closed when the controller closes the connection
}

func newReceiver(t *testing.T) *receiver {
	t.Helper()
	own, peer := listen(t), listen(t)
	r := &receiver{inbox: make(chan any, 64), closed: make(chan struct{})}
	New("b", []config.Seed{{HostName: "a", Endpoint: peer.Addr().String()}}, own, r.inbox)
	var err error
	if r.conn, err = net.Dial("tcp", own.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.conn.Close() })
	go func() {
		io.Copy(io.Discard, r.conn)
		close(r.closed)
	}()
	return r
}

// decode sends a line to the controller and returns the message that it delivers.
func (r *receiver) decode(t *testing.T, line []byte) peermsg.Message {
	t.Helper()
	if _, err := r.conn.Write(append(bytes.Clone(line), '\n')); err != nil {
		t.Fatal(err)
	}
	for {
		select {
		case input := <-r.inbox:
			in, ok := input.(peermsg.Received)
			if !ok {
				continue // a link change
			}
			if in.From != "a" {
				t.Errorf("message is from %q, want a", in.From)
			}
			return in.Msg
		case <-r.closed:
			t.Fatal("the controller closed the connection instead of delivering the line")
		case <-time.After(5 * time.Second):
			t.Fatal("no message within 5 s")
		}
	}
}

func pointer[T any](v T) *T { return &v }

func goldenMessages() map[string]peermsg.Message {
	all := map[string]peermsg.Message{
		"leader":              {Kind: peermsg.Leader, Term: 41, Version: 1},
		"leader: no version":  {Kind: peermsg.Leader, Term: record.MaxTerm},
		"ack":                 {Kind: peermsg.Ack, Term: 41, Version: 1},
		"ack: asks again":     {Kind: peermsg.Ack, Term: 41, Ref: 1, Version: 1},
		"again":               {Kind: peermsg.ReplicaRestart, Term: 41, Ref: 9_000_000_000_000_000_003},
		"ask":                 {Kind: peermsg.PeerStateRequest, Term: 41},
		"want":                {Kind: peermsg.ReplicaRequest, Term: 41},
		"configuration: tell": {Kind: peermsg.ConfigRevision, Term: 41, Ref: 12},
		"tell": {Kind: peermsg.PeerStateResponse, Term: 41, PeerState: &peermsg.PeerState{
			Observed:    recovery.Observed{Era: 9_000_000_000_000_000_002, Term: 40, ProcessID: 18_000_000_000_000_000_001, Revision: 777, HighestPastTerm: 39},
			ReplicaEra:  9_000_000_000_000_000_004,
			ReplicaTerm: 38,
			ReplicaSeq:  1234,
			LiveDigest:  replica.Digest{Count: 3, Hash: 17_000_000_000_000_000_005},
		}},
		"tell: nothing known": {Kind: peermsg.PeerStateResponse, Term: 41, PeerState: &peermsg.PeerState{}},
		"alone": {Kind: peermsg.LeaderlessJob, Replica: &replica.Line{Term: 41, Session: 7, Puts: []replica.Record{
			{Key: "yewpass/live/job/wk-7", Value: jobRecord(), Rev: 90},
		}}},
		"copy: every field":     {Kind: peermsg.Replica, Replica: fullReplicaLine()},
		"copy: least":           {Kind: peermsg.Replica, Replica: &replica.Line{Term: 41, Session: 7, Number: 1}},
		"reports: every field":  {Kind: peermsg.Heartbeats, Term: 41, Heartbeats: fullBatch()},
		"reports: nothing":      {Kind: peermsg.Heartbeats, Term: 41, Heartbeats: &relay.Batch{Session: 6, Number: 2}},
		"replies: every field":  {Kind: peermsg.HeartbeatReplies, Term: 41, HeartbeatReplies: fullReplies()},
		"replies: begin again":  {Kind: peermsg.HeartbeatReplies, Term: 41, HeartbeatReplies: &relay.Replies{Session: 6, Resync: true}},
		"answer: every field":   {Kind: peermsg.Response, Ref: 5, Response: fullResponse()},
		"answer: status alone":  {Kind: peermsg.Response, Ref: 5, Response: &request.Response{Status: 204}},
		"call: submit":          {Kind: peermsg.Request, Ref: 5, Op: request.Submit, ID: "wk-000412", Spec: fullSpec()},
		"call: get":             {Kind: peermsg.Request, Ref: 5, Op: request.Get, ID: "wk-7"},
		"call: cancel":          {Kind: peermsg.Request, Ref: 5, Op: request.Cancel, ID: "wk-7"},
		"call: cluster":         {Kind: peermsg.Request, Ref: 5, Op: request.Cluster},
		"call: hand over":       {Kind: peermsg.Request, Ref: 5, Op: request.TransferLeadership},
		"call: set teams":       {Kind: peermsg.Request, Ref: 5, Op: request.ConfigSet, Config: fullConfigChange()},
		"call: get team":        {Kind: peermsg.Request, Ref: 5, Op: request.ConfigGet, Config: &request.ConfigParams{Name: "vision"}},
		"call: list teams":      {Kind: peermsg.Request, Ref: 5, Op: request.ConfigList, Config: &request.ConfigParams{After: "tools", Count: 20}},
		"call: config status":   {Kind: peermsg.Request, Ref: 5, Op: request.ConfigStatus, Config: &request.ConfigParams{}},
		"call: put schedule":    {Kind: peermsg.Request, Ref: 5, Op: request.SchedulePut, Schedule: &request.ScheduleParams{Name: "nightly", File: fullScheduleFile(), IfMatch: `"7-4"`}},
		"call: put new":         {Kind: peermsg.Request, Ref: 5, Op: request.SchedulePut, Schedule: &request.ScheduleParams{Name: "n", File: minimalScheduleFile(), IfMatch: request.IfAbsent}},
		"call: get schedule":    {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleGet, Schedule: &request.ScheduleParams{Name: "nightly"}},
		"call: list schedules":  {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleList, Schedule: &request.ScheduleParams{After: "n", Count: 20}},
		"call: delete schedule": {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleDelete, Schedule: &request.ScheduleParams{Name: "nightly", IfMatch: `"7-4"`}},
		"call: pause schedule":  {Kind: peermsg.Request, Ref: 5, Op: request.SchedulePause, Schedule: &request.ScheduleParams{Name: "nightly"}},
		"call: resume schedule": {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleResume, Schedule: &request.ScheduleParams{Name: "nightly"}},
		"call: run schedule":    {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleRun, Schedule: &request.ScheduleParams{Name: "nightly", IdempotencyKey: "r-1"}},
		"call: upcoming":        {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleUpcoming, Schedule: &request.ScheduleParams{Name: "nightly", Count: 3}},
		"call: history":         {Kind: peermsg.Request, Ref: 5, Op: request.ScheduleHistory, Schedule: &request.ScheduleParams{Name: "nightly"}},
	}
	return all
}

func fullSpec() *spec.Job {
	return &spec.Job{
		ID:                 "wk-000412",
		Class:              "train <a&b>",
		Owner:              "vision",
		Service:            true,
		Urgency:            spec.Production,
		Tasks:              16,
		CPUs:               8.25,
		GPUs:               0.5,
		MemGB:              64.125,
		Image:              "img-07",
		ImageGB:            6.2,
		InstanceTypes:      []string{"g8", "g4"},
		Zone:               "hall-a",
		SamePlace:          true,
		Apart:              true,
		AllowSpot:          true,
		Runtime:            240 * time.Second,
		CheckpointInterval: 30 * time.Second,
		CheckpointTime:     4 * time.Second,
		Deadline:           900 * time.Second,
		HasDeadline:        true,
	}
}

func jobRecord() *record.Job {
	return &record.Job{Spec: spec.Job{ID: "wk-7", Class: "build", Owner: "tools", Tasks: 1}, Submitted: time.UnixMilli(1_801_386_061_234)}
}

// fullReplicaLine returns a line of a replica with a record of each kind.
func fullReplicaLine() *replica.Line {
	nominal := time.UnixMilli(60_000).UTC()
	return &replica.Line{
		Era:      9_000_000_000_000_000_002,
		Term:     41,
		Session:  9_000_000_000_000_000_003,
		Number:   12,
		Seq:      345,
		Complete: true,
		Puts: []replica.Record{
			{Key: "yewpass/live/job/wk-7", Value: jobRecord(), Rev: 90},
			{Key: "yewpass/final/wk-8", Value: &record.Final{State: spec.Done, Done: 3}},
			{Key: "yewpass/live/progress/wk-7/0", Value: &record.Progress{Ranges: "0-5,9"}, Rev: 91},
			{Key: "yewpass/live/machine/41-1", Value: &record.Machines{Machines: []record.Machine{{Host: "host-1", InstanceType: "g8", Zone: "hall-a"}}}, Rev: 92},
			{Key: "yewpass/leader", Value: &record.Leader{Node: "a", Term: 41, ProcessID: 6, Era: 8}, Rev: 93},
			{Key: "yewpass/term", Value: &record.Term{Term: 41, Era: 8}, Rev: 94},
			{Key: "yewpass/schedules", Value: &record.ScheduleNumber{Number: 99}, Rev: 95},
			{Key: "yewpass/schedule/n", Value: &schedule.Record{Number: 1, Seq: 1, Edition: 1, File: json.RawMessage(`{"name":"n"}`), Cursor: schedule.Cursor{Nominal: nominal}}, Rev: 96},
			{Key: "yewpass/live/config/head", Value: &liveconfig.HeadRecord{Revision: 12}, Rev: 97},
			{Key: "yewpass/live/config/team/vision", Value: &liveconfig.TeamRecord{Team: liveconfig.Team{Name: "vision", CPUs: 10.5}, Revision: 12}, Rev: 98},
		},
		Deletes: []string{"yewpass/live/job/wk-8", "yewpass/live/progress/wk-8/0"},
	}
}

func fullBatch() *relay.Batch {
	return &relay.Batch{
		Session: 6,
		Number:  2,
		Reports: []relay.Delta{
			{
				Ref:          77,
				Handle:       3,
				Identity:     &relay.Identity{Host: "host-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "hall-a", Spot: true},
				Incarnation:  1_801_386_061_234,
				Counter:      88,
				FencingToken: 41,
				Notice:       pointer(int64(0)),
				Added: relay.Tasks{
					{ID: heartbeat.TaskID{Job: "wk-7", Index: 3}, Attempt: 18_000_000_000_000_000_001, Phase: heartbeat.Pulling},
					{ID: heartbeat.TaskID{Job: "odd, name/50%", Index: 99_999}, Attempt: 1, Phase: heartbeat.Running},
					{ID: heartbeat.TaskID{Job: "wk-8"}, Attempt: 2, Phase: heartbeat.Checkpointing},
					{ID: heartbeat.TaskID{Job: "wk-9"}, Attempt: 2, Phase: heartbeat.Exited, Cause: heartbeat.CauseNoRoom},
				},
			},
			{Handle: 4, Identity: &relay.Identity{Host: "host-2"}, Incarnation: 1, Counter: 2},
			{
				Handle:      5,
				Incarnation: 1,
				Counter:     3,
				Notice:      pointer(int64(119_500)),
				Dropped:     []int{0, 2},
				Changed:     []relay.TaskChange{{Index: 1, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone}, {Index: 2, Phase: heartbeat.Running}},
			},
		},
		Abandoned: []uint64{70, 71},
		Released:  []uint64{1, 2},
	}
}

func fullReplies() *relay.Replies {
	return &relay.Replies{
		Session: 6,
		List: []relay.Reply{
			{Ref: 77, Orders: relay.Orders{
				{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-7", Index: 3}, Attempt: 18_000_000_000_000_000_001},
				{Verb: heartbeat.Stop, Task: heartbeat.TaskID{Job: "odd, name/50%"}, Attempt: 1, Drain: 10500 * time.Millisecond},
				{Verb: heartbeat.Reap, Task: heartbeat.TaskID{Job: "wk-9"}, Attempt: 2},
			}},
			{Ref: 78, Status: 421, Upstream: "n3"},
			{Ref: 79, Status: 503},
			{Ref: 80},
		},
	}
}

func fullResponse() *request.Response {
	return &request.Response{
		Status:     429,
		RetryAfter: 1500 * time.Millisecond,
		Job:        request.JobStatus{ID: "wk-7", State: spec.Running, Done: 3, Running: 13},
		Field:      "owner",
		Reason:     "the team's <limit>",
		Document:   json.RawMessage(`{"schedules":[],"truncated":true}`),
		ETag:       `"7-4"`,
	}
}

func fullConfigChange() *request.ConfigParams {
	return &request.ConfigParams{
		Teams: []liveconfig.TeamChange{
			{Team: liveconfig.Team{Name: "vision", CPUs: 10.5, CPUsMax: 20, GPUs: 4, GPUsMax: 8.25, Retired: true}, IfRevision: pointer(uint64(0))},
			{Team: liveconfig.Team{Name: "tools"}},
		},
		IfRevision: pointer(uint64(12)),
	}
}

func fullScheduleFile() *schedule.File {
	return &schedule.File{
		Name:           "nightly",
		Zone:           "Europe/Berlin",
		Rule:           "FREQ=DAILY",
		At:             []string{"01:00", "13:30"},
		Calendar:       "de",
		OnHoliday:      "next",
		Starts:         &toml.LocalDate{Year: 2027, Month: 1, Day: 31},
		Ends:           &toml.LocalDate{Year: 2028, Month: 12, Day: 1},
		DueAt:          "06:00",
		Overlap:        string(schedule.OverlapWait),
		CatchUp:        string(schedule.CatchUpLatest),
		CatchUpWithinS: pointer(3600.5),
		Job: spec.Submission{
			ID:             pointer("wk-1"),
			JobClass:       pointer("train"),
			Owner:          pointer("vision"),
			Shape:          pointer("array"),
			Urgency:        pointer("urgent"),
			Shards:         pointer(16),
			VCPUs:          pointer(8.25),
			GPUs:           pointer(0.0),
			MemGB:          pointer(64.0),
			Bundle:         pointer("img-07"),
			SizeGB:         pointer(6.2),
			Flavors:        &[]string{"g8", "g4"},
			Hall:           pointer("hall-a"),
			SamePlace:      pointer(true),
			Apart:          pointer(false),
			Reclaimable:    pointer(true),
			RuntimeS:       pointer(240.0),
			SnapshotEveryS: pointer(30.0),
			SnapshotS:      pointer(4.0),
			DueS:           pointer(900.0),
		},
	}
}

func minimalScheduleFile() *schedule.File {
	return &schedule.File{Name: "n", Zone: "UTC", Rule: "FREQ=DAILY"}
}

// TestLinesOf5990396 checks that lines of version 5990396 are decoded correctly and messages are
// encoded to the same bytes.
func TestLinesOf5990396(t *testing.T) {
	sender, first := newSender(t)
	if first != pingLine {
		t.Errorf("first line is %s, want %s", first, pingLine)
	}
	wants := goldenMessages()
	golden := readGoldenLines(t)
	if len(golden) != len(wants) {
		t.Errorf("%d golden lines, %d messages", len(golden), len(wants))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			want := wants[g.Name]
			got := newReceiver(t).decode(t, g.Line)
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded\n%+v, want\n%+v", got, want)
			}
			if line := sender.encode(t, got); line != string(g.Line) {
				t.Errorf("encoded again\n%s, want\n%s", line, g.Line)
			}
			if line := sender.encode(t, want); line != string(g.Line) {
				t.Errorf("encoded\n%s, want\n%s", line, g.Line)
			}
		})
	}
}

// TestLinesCoverEveryKind checks that the golden lines include every kind of message.
func TestLinesCoverEveryKind(t *testing.T) {
	seen := map[peermsg.Kind]bool{}
	for _, m := range goldenMessages() {
		seen[m.Kind] = true
	}
	for _, kind := range []peermsg.Kind{
		peermsg.Leader, peermsg.Ack, peermsg.Request, peermsg.Response, peermsg.Replica, peermsg.LeaderlessJob, peermsg.ReplicaRestart,
		peermsg.PeerStateRequest, peermsg.PeerStateResponse, peermsg.ReplicaRequest, peermsg.ConfigRevision, peermsg.Heartbeats, peermsg.HeartbeatReplies,
	} {
		if !seen[kind] {
			t.Errorf("no golden line of kind %q", kind)
		}
	}
}

// TestDamagedReplicaLineIsRejected checks that a replica line whose records do not match its
// checksum is rejected.
func TestDamagedReplicaLineIsRejected(t *testing.T) {
	for _, g := range readGoldenLines(t) {
		if g.Name != "copy: every field" {
			continue
		}
		damaged := strings.Replace(string(g.Line), `"ranges":"0-5,9"`, `"ranges":"0-5,8"`, 1)
		if damaged == string(g.Line) {
			t.Fatal("the golden line has no progress record to damage")
		}
		if _, err := decodeMessage([]byte(damaged), map[string]bool{"a": true}); err == nil {
			t.Error("decodeMessage accepted a damaged line, want an error")
		}
		return
	}
	t.Fatal("no golden line of a replica")
}
