package api

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// serve starts a server whose core inputs are answered by f, and returns its base URL.
func serve(t *testing.T, f func(in any) any) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inbox := make(chan any, 16)
	var ready atomic.Bool
	go Serve(ln, 16, inbox, ready.Load)
	go func() {
		for in := range inbox {
			if c, ok := in.(Exchange); ok {
				c.Reply <- f(c.Input)
			}
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return "http://" + ln.Addr().String()
}

const validSubmission = `{"id":"wk-000412","jobclass":"train","owner":"vision","shape":"array","urgency":"urgent","shards":16,
"vcpus":8.0,"gpus":1.0,"memGb":64.0,"bundle":"img-07","sizeGb":6.2,"flavors":["g8"],"hall":null,"samePlace":true,
"apart":false,"reclaimable":true,"runtimeS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"new":[1]}`

func post(t *testing.T, url, body string) (int, map[string]any, http.Header) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var v map[string]any
	if err := json.Unmarshal(data, &v); err != nil {
		t.Errorf("response is not JSON: %q", data)
	}
	return resp.StatusCode, v, resp.Header
}

func TestSubmit(t *testing.T) {
	var got *spec.Job
	url := serve(t, func(in any) any {
		got = in.(request.Request).Spec
		return request.Response{Status: 201, Job: request.JobStatus{State: spec.Queued}}
	})
	status, v, _ := post(t, url+"/v2/runs", validSubmission)
	if status != 201 || v["id"] != "wk-000412" || v["status"] != "queued" {
		t.Fatalf("submit: %d %v, want 201 for wk-000412 in state queued", status, v)
	}
	if got.Tasks != 16 || got.Urgency != spec.Urgent || got.Deadline != 900*time.Second || !got.HasDeadline || got.Zone != "" || got.Runtime != 240*time.Second {
		t.Errorf("unexpected decoded job %+v", got)
	}
	edit := func(from, to string) string {
		if !strings.Contains(validSubmission, from) {
			t.Fatalf("%q is not in the submission", from)
		}
		return strings.Replace(validSubmission, from, to, 1)
	}
	for _, c := range []struct{ name, body, field string }{
		{"not JSON", `{"id":`, ""},
		{"not an object", `[1]`, ""},
		{"null", `null`, "id"},
		{"empty", ``, ""},
		{"too large", validSubmission[:len(validSubmission)-1] + `,"x":"` + strings.Repeat("y", 64<<10) + `"}`, ""},
		{"no id", edit(`"id":"wk-000412",`, ``), "id"},
		{"bad id", edit(`wk-000412`, `job-1`), "id"},
		{"bad digits", edit(`wk-000412`, `wk-0x1`), "id"},
		{"null in a required field", edit(`"owner":"vision"`, `"owner":null`), "owner"},
		{"wrong type", edit(`"shards":16`, `"shards":"16"`), "shards"},
		{"not a whole number", edit(`"shards":16`, `"shards":1.5`), "shards"},
		{"no tasks", edit(`"shards":16`, `"shards":0`), "shards"},
		{"too many tasks", edit(`"shards":16`, `"shards":100001`), "shards"},
		{"unknown shape", edit(`"array"`, `"ensemble"`), "shape"},
		{"unknown urgency", edit(`"urgent"`, `"soon"`), "urgency"},
		{"negative", edit(`"vcpus":8.0`, `"vcpus":-1`), "vcpus"},
		{"out of range", edit(`"memGb":64.0`, `"memGb":1e300`), "memGb"},
		{"flag missing", edit(`"apart":false,`+"", ``), "apart"},
		{"bad list", edit(`["g8"]`, `[3]`), "flavors"},
		{"empty list", edit(`["g8"]`, `[]`), "flavors"},
	} {
		status, v, _ := post(t, url+"/v2/runs", c.body)
		if status != 400 || c.field != "" && v["field"] != c.field {
			t.Errorf("%s: %d %v, want 400 for %q", c.name, status, v, c.field)
		}
	}
	for _, omit := range []string{`"flavors":["g8"],`, `"hall":null,`, `,"dueS":900.0`} {
		if status, v, _ := post(t, url+"/v2/runs", edit(omit, ``)); status != 201 {
			t.Errorf("without %s: %d %v, want 201", omit, status, v)
		}
	}
}

func TestOtherRequests(t *testing.T) {
	url := serve(t, func(in any) any {
		if in.(request.Request).Op == request.Cancel {
			return request.Response{Status: 429, RetryAfter: 1500 * time.Millisecond, Reason: "later"}
		}
		return request.Response{Status: 200, Job: request.JobStatus{State: spec.Running, Done: 3, Running: 13}}
	})
	get := func(method, path string) int {
		req, _ := http.NewRequest(method, url+path, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/v2/runs/wk-1", 200}, {"GET", "/v2/runs/nonsense", 404}, {"GET", "/v2/runs/wk-1/x", 404}, {"GET", "/nowhere", 404},
		{"DELETE", "/v2/runs/wk-1", 405}, {"GET", "/v2/runs", 405}, {"PUT", "/hello", 405}, {"GET", "/ready", 503}, {"GET", "/metrics", 200},
	} {
		if got := get(c.method, c.path); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if status, _, h := post(t, url+"/v2/runs/wk-1/cancel", ""); status != 429 || h.Get("Retry-After") != "2" {
		t.Errorf("cancel: %d, Retry-After %q, want 429 and 2", status, h.Get("Retry-After"))
	}
}

func TestHeartbeat(t *testing.T) {
	var got heartbeat.Report
	url := serve(t, func(in any) any {
		got = in.(heartbeat.Received).Report
		if got.Host == "elsewhere" {
			return heartbeat.Reply{Status: 421, Upstream: "n2"}
		}
		return heartbeat.Reply{Status: 200, FencingToken: 41, Orders: []heartbeat.Order{
			{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-1", Index: 4}, Attempt: 2},
			{Verb: heartbeat.Stop, Task: heartbeat.TaskID{Job: "wk-2", Index: 1}, Attempt: 1, Drain: 10 * time.Second}}}
	})
	body := `{"host":"host-000231","address":"10.1.0.232:9000","flavor":"g8","hall":"a","reclaimable":true,"tenure":1,"counter":88,
"epoch":41,"warningS":null,"shards":[{"shard":"wk-000412/3","try":2,"status":"running"},{"shard":"wk-000398/0","try":1,"status":"exited","cause":"done"}]}`
	status, v, _ := post(t, url+"/hello", body)
	orders, _ := v["orders"].([]any)
	if status != 200 || v["epoch"] != 41.0 || len(orders) != 2 {
		t.Fatalf("heartbeat: %d %v, want 200 with epoch 41 and 2 orders", status, v)
	}
	if stop := orders[1].(map[string]any); stop["drainS"] != 10.0 || stop["shard"] != "wk-2/1" {
		t.Errorf("stop order is %v, want task wk-2/1 with drainS 10", stop)
	}
	if len(got.Tasks) != 2 || got.Tasks[0].ID != (heartbeat.TaskID{Job: "wk-000412", Index: 3}) || got.HasNotice || got.Counter != 88 {
		t.Errorf("unexpected decoded heartbeat %+v", got)
	}
	if status, v, _ := post(t, url+"/hello", strings.Replace(body, "host-000231", "elsewhere", 1)); status != 421 || v["upstream"] != "n2" {
		t.Errorf("heartbeat to the wrong node: %d %v, want 421 with upstream n2", status, v)
	}
	for _, c := range [][2]string{{`"tenure":1,`, ``}, {`"counter":88,`, ``}, {`"tenure":1`, `"tenure":"x"`}, {`"host":"host-000231"`, `"host":""`},
		{`wk-000412/3`, `wk-000412`}, {`wk-000412/3`, `wk-000412/-1`}, {`"try":2`, `"try":-2`}, {`"hall":"a"`, `"hall":null`}, {`"hall":"a"`, `"hall":"` + strings.Repeat("a", 600) + `"`},
		{`"flavor":"g8"`, `"flavor":"` + strings.Repeat("a", 600) + `"`}, {`10.1.0.232:9000`, strings.Repeat("1", 200)}} {
		if status, v, _ := post(t, url+"/hello", strings.Replace(body, c[0], c[1], 1)); status != 400 {
			t.Errorf("%s: %d %v, want 400", c[1], status, v)
		}
	}
}

// TestSchedules checks that requests reach the core as the right operation, that errors name the
// invalid field, and that ETags are passed in both directions.
func TestSchedules(t *testing.T) {
	var got *request.ScheduleParams
	var op request.Operation
	url := serve(t, func(in any) any {
		c := in.(request.Request)
		got, op = c.Schedule, c.Op
		if op == request.ScheduleRun {
			return request.Response{Status: 201, Job: request.JobStatus{ID: "wk-9", State: spec.Queued}}
		}
		return request.Response{Status: 200, ETag: `"1-2"`, Document: schedule.UpcomingList{}}
	})
	file := `{"name":"n","zone":"UTC","rule":"FREQ=DAILY","at":["01:00"],"job":{}}`
	for _, c := range []struct {
		method, path, body, head string
		status                   int
		op                       request.Operation
		field                    string
	}{
		{"PUT", "/n", file, "", 200, request.SchedulePut, ""}, {"PUT", "/n", strings.Replace(file, `"name":"n",`, "", 1), "If-Match: \"1-1\"", 200, request.SchedulePut, ""},
		{"PUT", "/n", file, "If-None-Match: *", 200, request.SchedulePut, ""}, {"PUT", "/other", file, "", 400, "", "name"}, {"PUT", "/n", `{"rules":"x"}`, "", 400, "", "rules"},
		{"PUT", "/n", `{`, "", 400, "", ""}, {"PUT", "/n", strings.Repeat("x", maxBodyBytes+1), "", 400, "", ""}, {"GET", "/n", "", "", 200, request.ScheduleGet, ""},
		{"GET", "/N", "", "", 404, "", "name"}, {"DELETE", "/n", "", "If-Match: \"1-1\"", 200, request.ScheduleDelete, ""}, {"POST", "/n/pause", "", "", 200, request.SchedulePause, ""},
		{"POST", "/n/resume", "", "", 200, request.ScheduleResume, ""}, {"POST", "/n/run", `{"request":"r"}`, "", 201, request.ScheduleRun, ""}, {"POST", "/n/run", `{}`, "", 400, "", "request"},
		{"GET", "/n/upcoming?count=3", "", "", 200, request.ScheduleUpcoming, ""}, {"GET", "/n/upcoming?count=3000", "", "", 400, "", "count"}, {"GET", "/n/history", "", "", 200, request.ScheduleHistory, ""},
		{"GET", "?after=m&limit=5", "", "", 200, request.ScheduleList, ""}, {"GET", "?limit=x", "", "", 400, "", "limit"},
	} {
		got, op = nil, ""
		req, _ := http.NewRequest(c.method, url+"/v2/schedules"+c.path, strings.NewReader(c.body))
		if k, v, ok := strings.Cut(c.head, ": "); ok {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		var e errorJSON
		json.Unmarshal(data, &e)
		if resp.StatusCode != c.status || op != c.op || e.Field != c.field {
			t.Errorf("%s %s %.60s: unexpected response %d for operation %q: %s", c.method, c.path, c.body, resp.StatusCode, op, data)
			continue
		}
		switch {
		case got == nil:
		case c.head == "If-None-Match: *" && got.IfMatch != request.IfAbsent, strings.HasPrefix(c.head, "If-Match") && got.IfMatch != `"1-1"`:
			t.Errorf("%s %s %s: unexpected IfMatch in %+v", c.method, c.path, c.head, got)
		case op == request.SchedulePut && got.File.Name != "n", op == request.ScheduleUpcoming && got.Count != 3, op == request.ScheduleRun && !strings.Contains(string(data), "wk-9"):
			t.Errorf("%s %s: core received %+v, client received %s", c.method, c.path, got, data)
		case op != request.ScheduleRun && resp.Header.Get("ETag") != `"1-2"`:
			t.Errorf("%s %s: ETag is not \"1-2\"", c.method, c.path)
		}
	}
}
