package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yewpass/internal/heartbeat"
	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/view"
)

// goldenExchanges holds requests and the responses of version 5990396. The file must not be
// regenerated: clients depend on these exact responses.
const goldenExchanges = "testdata/exchanges-5990396.jsonl"

type goldenExchange struct {
	Name       string          `json:"name"`
	Method     string          `json:"method"`
	Path       string          `json:"path"`
	IfMatch    string          `json:"ifMatch,omitempty"`
	Body       json.RawMessage `json:"body,omitempty"`
	Status     int             `json:"status"`
	ETag       string          `json:"etag,omitempty"`
	RetryAfter string          `json:"retryAfter,omitempty"`
	Answer     json.RawMessage `json:"answer"`
}

func readGoldenExchanges(t *testing.T) []goldenExchange {
	t.Helper()
	data, err := os.ReadFile(goldenExchanges)
	if err != nil {
		t.Fatal(err)
	}
	var all []goldenExchange
	for line := range bytes.Lines(data) {
		var one goldenExchange
		if err := json.Unmarshal(line, &one); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		all = append(all, one)
	}
	return all
}

// coreExchange is the input that the core receives for a request, and the output that it returns.
type coreExchange struct {
	input  any
	output any
}

func pointer[T any](v T) *T { return &v }

func goldenCoreExchanges() map[string]coreExchange {
	scheduled := func(op request.Operation, call request.ScheduleParams, doc any) coreExchange {
		return coreExchange{request.Request{Op: op, Schedule: &call}, request.Response{Status: 200, Document: doc}}
	}
	configured := func(op request.Operation, call request.ConfigParams, doc any) coreExchange {
		return coreExchange{request.Request{Op: op, Config: &call}, request.Response{Status: 200, Document: doc}}
	}
	nightly := request.ScheduleParams{Name: "nightly"}
	based := request.ScheduleParams{Name: "nightly", IfMatch: `"7-4"`}
	put := based
	put.File = fullScheduleFile()
	all := map[string]coreExchange{
		"submit": {
			request.Request{Op: request.Submit, ID: "wk-000412", Spec: fullSpec()},
			request.Response{Status: 201, Job: request.JobStatus{State: spec.Queued}},
		},
		"get job": {
			request.Request{Op: request.Get, ID: "wk-7"},
			request.Response{Status: 200, Job: request.JobStatus{State: spec.Running, Done: 3, Running: 13}, Reason: "room on g8"},
		},
		"cancel job": {
			request.Request{Op: request.Cancel, ID: "wk-7"},
			request.Response{Status: 429, RetryAfter: 1500 * time.Millisecond, Field: "id", Reason: "later"},
		},
		"cluster": {
			request.Request{Op: request.Cluster},
			request.Response{Status: 200, Document: fullCluster()},
		},
		"hand over": {
			request.Request{Op: request.TransferLeadership},
			request.Response{Status: 200, Document: &view.Cluster{Node: "n2"}},
		},
		"schedule: put":      scheduled(request.SchedulePut, put, fullScheduleView()),
		"schedule: get":      scheduled(request.ScheduleGet, nightly, schedule.View{Schedule: json.RawMessage(`{"name":"nightly"}`)}),
		"schedule: delete":   scheduled(request.ScheduleDelete, based, map[string]string{"name": "nightly", "status": "removed"}),
		"schedule: pause":    scheduled(request.SchedulePause, based, schedule.View{Schedule: json.RawMessage(`{"name":"nightly"}`), Paused: true}),
		"schedule: resume":   scheduled(request.ScheduleResume, nightly, schedule.View{Schedule: json.RawMessage(`{"name":"nightly"}`)}),
		"schedule: list":     scheduled(request.ScheduleList, request.ScheduleParams{After: "n", Count: 5}, fullSchedulePage()),
		"schedule: upcoming": scheduled(request.ScheduleUpcoming, request.ScheduleParams{Name: "nightly", Count: 3}, schedule.UpcomingList{Upcoming: []schedule.Upcoming{fullUpcoming()}}),
		"schedule: history":  scheduled(request.ScheduleHistory, nightly, fullHistory()),
		"schedule: run": {
			request.Request{Op: request.ScheduleRun, Schedule: &request.ScheduleParams{Name: "nightly", IdempotencyKey: "r-1"}},
			request.Response{Status: 201, Job: request.JobStatus{ID: "wk-9", State: spec.Queued}},
		},
		"configuration: status": configured(request.ConfigStatus, request.ConfigParams{}, fullConfigStatus()),
		"configuration: here":   configured(request.ConfigLocal, request.ConfigParams{}, view.LocalConfig{Revision: 12, AgeSeconds: 0.5}),
		"configuration: change": configured(request.ConfigSet, fullConfigChange(), view.ConfigChanged{Revision: 13}),
		"configuration: teams":  configured(request.ConfigList, request.ConfigParams{After: "tools", Count: 5}, fullTeamPage()),
		"configuration: team":   configured(request.ConfigGet, request.ConfigParams{Name: "vision"}, fullTeamView()),
		"configuration: change one team": configured(request.ConfigSet, request.ConfigParams{
			Teams: []liveconfig.TeamChange{{Team: fullTeam(), IfRevision: pointer(uint64(3))}},
		}, view.ConfigChanged{Revision: 13}),
		"worker: report": {
			heartbeat.Received{Report: fullReport()},
			heartbeat.Reply{Status: 200, FencingToken: 41, Orders: []heartbeat.Order{
				{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-7", Index: 3}, Attempt: 18_000_000_000_000_000_001},
				{Verb: heartbeat.Stop, Task: heartbeat.TaskID{Job: "wk-8"}, Attempt: 1, Drain: 10500 * time.Millisecond},
				{Verb: heartbeat.Reap, Task: heartbeat.TaskID{Job: "wk-9"}, Attempt: 2},
			}},
		},
		"worker: nothing to do": {heartbeat.Received{Report: minimalReport()}, heartbeat.Reply{Status: 200, FencingToken: 41}},
		"worker: report elsewhere": {
			heartbeat.Received{Report: minimalReport()},
			heartbeat.Reply{Status: 421, Upstream: "n3"},
		},
		"worker: no leader": {heartbeat.Received{Report: minimalReport()}, heartbeat.Reply{Status: 503}},
	}
	withETag := all["schedule: put"]
	withETag.output = request.Response{Status: 201, Document: fullScheduleView(), ETag: `"7-5"`}
	all["schedule: put"] = withETag
	return all
}

func fullSpec() *spec.Job {
	return &spec.Job{
		ID:                 "wk-000412",
		Class:              "train",
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
		Runtime:            240500 * time.Millisecond,
		CheckpointInterval: 30 * time.Second,
		CheckpointTime:     4 * time.Second,
		Deadline:           900 * time.Second,
		HasDeadline:        true,
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
		Job:            spec.Submission{JobClass: pointer("train"), Shards: pointer(16)},
	}
}

func fullUpcoming() schedule.Upcoming {
	start := time.Date(2027, time.January, 31, 1, 0, 0, 0, time.UTC)
	return schedule.Upcoming{ID: "wk-00000007202701310100", Start: start, Due: pointer(start.Add(5 * time.Hour)), Remark: "moved"}
}

func fullScheduleView() schedule.View {
	return schedule.View{
		Schedule: json.RawMessage(`{"name":"nightly"}`),
		Number:   7,
		ETag:     `"7-5"`,
		Paused:   true,
		Problem:  "no such calendar",
		Next:     pointer(fullUpcoming()),
		Made:     4,
		Missed:   2,
		Late:     1,
	}
}

func fullSchedulePage() schedule.ListPage {
	brief := schedule.Summary{
		Name:     "nightly",
		Zone:     "Europe/Berlin",
		Rule:     "FREQ=DAILY",
		Calendar: "de",
		Paused:   true,
		Problem:  "no such calendar",
		Next:     pointer(fullUpcoming()),
		Made:     4,
		Missed:   2,
		Late:     1,
	}
	return schedule.ListPage{Schedules: []schedule.Summary{brief, {Name: "weekly"}}, Truncated: true}
}

func fullHistory() schedule.History {
	at := func(hour int) *time.Time {
		return pointer(time.Date(2027, time.January, 31, hour, 0, 0, 0, time.UTC))
	}
	return schedule.History{History: []schedule.HistoryEntry{
		{ID: "wk-1", Planned: at(1), Due: at(2), Made: at(3), Started: at(4), Done: at(5), State: schedule.StateDone, Late: true},
		{ID: "wk-2", State: schedule.StateMissed, Reason: "late"},
	}}
}

func fullTeam() liveconfig.Team {
	return liveconfig.Team{Name: "vision", CPUs: 10.5, CPUsMax: 20, GPUs: 4, GPUsMax: 8.25, Retired: true}
}

func fullTeamView() view.Team {
	v := view.Team{Team: fullTeam(), Revision: 12, Damaged: true}
	v.InUse.CPUs, v.InUse.GPUs = 3.5, 2
	return v
}

func fullTeamPage() view.TeamPage {
	return view.TeamPage{Revision: 12, Teams: []view.Team{fullTeamView(), {}}, Truncated: true}
}

func fullConfigStatus() view.ConfigStatus {
	return view.ConfigStatus{
		Revision:           12,
		Changes:            5,
		Waiting:            1,
		PropagationSeconds: 0.25,
		Damaged:            []string{"team/tools"},
		Refusal:            "restoring",
		Nodes:              []view.ConfigNodeStatus{{Name: "n1", Revision: 12, AgeSeconds: 0.5, SupportsLiveConfig: true}, {Name: "n2", AgeSeconds: -1}},
	}
}

func fullConfigChange() request.ConfigParams {
	return request.ConfigParams{
		Teams:      []liveconfig.TeamChange{{Team: fullTeam(), IfRevision: pointer(uint64(3))}, {Team: liveconfig.Team{Name: "tools"}}},
		IfRevision: pointer(uint64(12)),
	}
}

func fullCluster() *view.Cluster {
	return &view.Cluster{
		Node:             "n1",
		Leader:           "n2",
		Term:             41,
		LeadingSeconds:   12.5,
		Authority:        true,
		FailoverComplete: true,
		Machines:         100,
		Unaccounted:      3,
		MaxMachines:      5000,
		Nodes:            []view.ClusterNode{{Name: "n1", Zone: "hall-a", Role: "relay", Link: true, Workers: 40, LagSeconds: 0.5}},
		Zones:            []view.ClusterZone{{Name: "hall-a", State: "doubtful", StateSeconds: 3.5, Reporting: 60, Silent: 40, UnconfirmedTasks: 7}},
		Regions:          []view.ClusterRegion{{Name: "north", State: "up", StateSeconds: 4.5, Zones: 3, ZonesUnreachable: 1, Reporting: 60, Silent: 40}},
		Records: &view.Records{
			Era:            9,
			LossReason:     "the state service's revision has fallen",
			Source:         "n2",
			SinceSeconds:   5.5,
			Restored:       12,
			Pending:        3,
			UnreadableJobs: []string{"wk-7"},
			Replicas:       []string{"n2", "n3"},
		},
	}
}

func fullReport() heartbeat.Report {
	return heartbeat.Report{
		Host:         "host-000231",
		Address:      "10.1.0.232:9000",
		InstanceType: "g8",
		Zone:         "hall-a",
		Spot:         true,
		Incarnation:  1_801_386_061_234,
		Counter:      88,
		FencingToken: 41,
		Notice:       119500 * time.Millisecond,
		HasNotice:    true,
		Tasks: []heartbeat.Task{
			{ID: heartbeat.TaskID{Job: "wk-7", Index: 3}, Attempt: 18_000_000_000_000_000_001, Phase: heartbeat.Running},
			{ID: heartbeat.TaskID{Job: "wk-8"}, Attempt: 1, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone},
			{ID: heartbeat.TaskID{Job: "wk-9"}, Attempt: 2, Phase: heartbeat.Pulling},
			{ID: heartbeat.TaskID{Job: "wk-9", Index: 1}, Attempt: 2, Phase: heartbeat.Checkpointing},
		},
	}
}

func minimalReport() heartbeat.Report {
	return heartbeat.Report{Host: "host-1", InstanceType: "g8", Zone: "hall-a", Incarnation: 1, Tasks: []heartbeat.Task{}}
}

// TestExchangesOf5990396 checks that requests are decoded as in version 5990396 and answered with
// the same bytes.
func TestExchangesOf5990396(t *testing.T) {
	wants := goldenCoreExchanges()
	golden := readGoldenExchanges(t)
	if len(golden) != len(wants) {
		t.Errorf("%d golden exchanges, want %d", len(golden), len(wants))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			want := wants[g.Name]
			inputs := make(chan any, 1)
			url := serve(t, func(input any) any {
				inputs <- input
				return want.output
			})
			answer := perform(t, url, g)
			select {
			case got := <-inputs:
				if !reflect.DeepEqual(got, want.input) {
					t.Errorf("decoded\n%+v, want\n%+v", got, want.input)
				}
			default:
				t.Error("the core received no input")
			}
			if !reflect.DeepEqual(answer, g) {
				t.Errorf("answered\n%+v %s, want\n%+v %s", answer, answer.Answer, g, g.Answer)
			}
		})
	}
}

// perform sends the request of a golden exchange and returns it with the response received.
func perform(t *testing.T, url string, g goldenExchange) goldenExchange {
	t.Helper()
	request, err := http.NewRequest(g.Method, url+g.Path, strings.NewReader(string(g.Body)))
	if err != nil {
		t.Fatal(err)
	}
	if g.IfMatch != "" {
		request.Header.Set("If-Match", g.IfMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	g.Status = response.StatusCode
	g.ETag = response.Header.Get("ETag")
	g.RetryAfter = response.Header.Get("Retry-After")
	if g.Answer, err = io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	return g
}
