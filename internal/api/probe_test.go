package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/rpc"
)

func TestProbe(t *testing.T) {
	const report = `{"host":"host-1","address":"x","flavor":"g8","hall":"a","tenure":2,"counter":9,"epoch":7,"shards":[{"shard":"wk-1/3","try":2,"status":"running"}]}`
	for _, c := range []struct {
		name    string
		status  int
		body    string
		outcome rpc.Outcome
	}{
		{"accepted", 200, report, rpc.OK},
		{"newer incarnation or fencing token", 409, report, rpc.Conflict},
		{"no heartbeat", 200, `{}`, rpc.Unknown},
		{"not JSON", 200, `<`, rpc.Unknown},
		{"refused", 400, report, rpc.Unknown},
		{"too large", 200, report + strings.Repeat(" ", 4*maxBodyBytes), rpc.Unknown},
	} {
		var sent string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			sent = r.Method + r.URL.Path + string(data)
			w.WriteHeader(c.status)
			io.WriteString(w, c.body)
		}))
		inbox := make(chan any, 1)
		NewProber(inbox).Do(heartbeat.Probe{Ref: 5, Address: srv.Listener.Addr().String(), FencingToken: 7, Incarnation: 2, Timeout: time.Second})
		got := (<-inbox).(heartbeat.ProbeReply)
		srv.Close()
		if got.Ref != 5 || got.Outcome != c.outcome || got.Outcome != rpc.Unknown && (got.Report.Host != "host-1" || len(got.Report.Tasks) != 1) {
			t.Errorf("%s: unexpected reply %+v", c.name, got)
		}
		if want := `POST/do{"epoch":7,"tenure":2,"orders":[]}`; sent != want {
			t.Errorf("%s: sent %s, want %s", c.name, sent, want)
		}
	}
}
