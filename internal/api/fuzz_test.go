package api

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"yewpass/internal/spec"
)

// FuzzBody checks that the body of a heartbeat, probe reply or submission is either rejected with
// the name of a field or decoded to values within bounds.
func FuzzBody(f *testing.F) {
	for _, s := range []string{
		`{"host":"h","address":"h:1","flavor":"s","hall":"a","tenure":1,"counter":18446744073709551615,"epoch":18446744073709551615,"warningS":1e308,"shards":[{"shard":"wk-1/0","try":1,"status":"running"},{"shard":"wk-1/0","try":1,"status":"?"}]}`,
		`{"host":"h","flavor":"s","hall":"a","tenure":0,"counter":1,"shards":[{"shard":"wk-1/100000"}]}`,
		`{"host":"h h","flavor":"s","hall":"a","tenure":1,"counter":1,"warningS":-3,"shards":null}`,
		`{"id":"wk-1","jobclass":"c","owner":"o","shape":"array","urgency":"idle","shards":100000,"vcpus":1e6,"gpus":0,"memGb":1e7,"bundle":"i","sizeGb":0,"flavors":null,"hall":null,"samePlace":false,"apart":false,"reclaimable":true,"runtimeS":1e8,"snapshotEveryS":0,"snapshotS":0,"dueS":0}`,
		`{"id":"wk-1","shards":1e5,"vcpus":-0.0,"dueS":null}`, `{"id":"wk-0000000000000000000000000000000000","jobclass":"\ud800"}`,
		`null`, `[]`, `"x"`, ``, "\xff", strings.Repeat(`{"a":`, 12000),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r heartbeatJSON
		if json.Unmarshal(data, &r) == nil {
			if report, invalid := r.decode(); invalid == "" {
				if report.Host == "" || report.InstanceType == "" || report.Incarnation == 0 || report.Notice > 200*365*24*time.Hour || report.Notice < -200*365*24*time.Hour {
					t.Fatalf("decode accepted %+v", report)
				}
				for _, x := range report.Tasks {
					if x.ID.Index < 0 || x.ID.Index >= spec.MaxTasks || x.ID.Job == "" {
						t.Fatalf("decode accepted task %+v", x)
					}
				}
			}
		}
		var s spec.Submission
		if json.Unmarshal(data, &s) == nil {
			job, field, reason := s.Job()
			if job == nil && (field == "" || reason == "") || job != nil && !job.Valid() {
				t.Fatalf("Job() = %+v, %q, %q, want a valid job, or a field and a reason", job, field, reason)
			}
		}
	})
}
