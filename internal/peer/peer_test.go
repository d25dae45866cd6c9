package peer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// next returns the next message in inbox and skips link changes.
func next(t *testing.T, inbox <-chan any) peermsg.Received {
	t.Helper()
	for {
		select {
		case in := <-inbox:
			if p, ok := in.(peermsg.Received); ok {
				return p
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no message within 5 s")
		}
	}
}

// TestMesh checks that messages arrive complete, and that garbage on the peer port closes only its
// own connection.
func TestMesh(t *testing.T) {
	la, lb := listen(t), listen(t)
	ia, ib := make(chan any, 64), make(chan any, 64)
	a := New("a", []config.Seed{{HostName: "b", Endpoint: lb.Addr().String()}}, la, ia)
	New("b", []config.Seed{{HostName: "a", Endpoint: la.Addr().String()}}, lb, ib)
	for up := false; !up; {
		select {
		case in := <-ia:
			l, ok := in.(peermsg.LinkChange)
			up = ok && l.Up && l.Name == "b"
		case <-time.After(5 * time.Second):
			t.Fatal("no link to b within 5 s")
		}
	}
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "{}\n", `{"from":"stranger","kind":"leader","term":99}` + "\n", "[1]\n",
		`{"from":"a","kind":"call","spec":{"id":"","tasks":0}}` + "\n", strings.Repeat("x", maxLineBytes+10)} {
		conn, err := net.Dial("tcp", lb.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(conn, garbage)
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%.20q: the connection is still open, want it closed", garbage)
		}
		conn.Close()
	}
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.Request, Ref: 7, Op: request.Submit, ID: "wk-1",
		Spec: &spec.Job{ID: "wk-1", Tasks: 3, CPUs: 1.5, Deadline: time.Minute, HasDeadline: true}}})
	if p := next(t, ib); p.From != "a" || p.Msg.Ref != 7 || p.Msg.Spec.Tasks != 3 || p.Msg.Spec.Deadline != time.Minute {
		t.Errorf("unexpected message %+v", p)
	}
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.Response, Ref: 8, Response: &request.Response{Status: 503, RetryAfter: time.Second, Reason: "x"}}})
	if p := next(t, ib); p.Msg.Response == nil || p.Msg.Response.Status != 503 || p.Msg.Response.RetryAfter != time.Second {
		t.Errorf("unexpected message %+v", p)
	}
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.Request, Ref: 9, Op: request.SchedulePut, Schedule: &request.ScheduleParams{Name: "n", IfMatch: "e", File: &schedule.File{Rule: "FREQ=DAILY"}}}})
	if p := next(t, ib); p.Msg.Schedule == nil || p.Msg.Schedule.File.Rule != "FREQ=DAILY" || p.Msg.Schedule.IfMatch != "e" {
		t.Errorf("unexpected message %+v", p)
	}
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.Response, Ref: 9, Response: &request.Response{Status: 201, ETag: "e2", Document: schedule.ListPage{Truncated: true}}}})
	if p := next(t, ib); p.Msg.Response.ETag != "e2" || fmt.Sprintf("%s", p.Msg.Response.Document) != `{"schedules":null,"truncated":true}` {
		t.Errorf("unexpected message %+v", p.Msg.Response)
	}
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.Ack, Term: 3, Version: 1}})
	if p := next(t, ib); p.Msg.Version != 1 {
		t.Errorf("unexpected message %+v", p)
	}
	at := uint64(4)
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.Request, Ref: 10, Op: request.ConfigSet, Config: &request.ConfigParams{
		Teams: []liveconfig.TeamChange{{Team: liveconfig.Team{Name: "t", CPUsMax: 7.5, Retired: true}, IfRevision: &at}}}}})
	if p := next(t, ib); p.Msg.Config == nil || p.Msg.Config.Teams[0].CPUsMax != 7.5 || !p.Msg.Config.Teams[0].Retired || *p.Msg.Config.Teams[0].IfRevision != at {
		t.Errorf("unexpected message %+v", p.Msg.Config)
	}
	a.Send(peermsg.Outgoing{To: "b", Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: 3, Ref: 12}})
	if p := next(t, ib); p.Msg.Kind != peermsg.ConfigRevision || p.Msg.Ref != 12 {
		t.Errorf("unexpected message %+v", p.Msg)
	}
}
