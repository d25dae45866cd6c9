// Package api serves users and workers over HTTP. Each request becomes an input
// of the core and waits for its answer on a channel of its own.
package api

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// Call is a request on its way to the core: a core.UserCall or core.ReportIn
// whose Ref the receiver sets. Exactly one answer is sent to Reply, which never
// blocks.
type Call struct {
	Input any
	Reply chan<- any
}

// Gone says that the caller of Reply has left.
type Gone struct{ Reply chan<- any }

const (
	maxBody = 64 << 10
	// A user's request is answered at once in the ordinary case; this bounds it
	// when the core is behind.
	userWait = 4500 * time.Millisecond
	// Workers give up on a reply after 4 s.
	reportWait = 3900 * time.Millisecond
	// transferWait bounds how long a request may take to come in, and its answer
	// to be taken: whoever is slower does not keep a connection.
	transferWait = 10 * time.Second
)

// Server is the actor that serves client_listen.
type Server struct {
	inbox chan<- any
	ready func() bool
	conns *connections
}

// Serve serves on ln until it fails. At most maxConns connections are open at a
// time.
func Serve(ln net.Listener, maxConns int, inbox chan<- any, ready func() bool) error {
	s := &Server{inbox, ready, newConnections(maxConns)}
	r := httprouter.New()
	r.POST("/v2/runs", s.submit)
	r.GET("/v2/runs/:id", s.get)
	r.POST("/v2/runs/:id/cancel", s.cancel)
	s.schedules(r)
	s.configuration(r)
	r.GET("/v2/cluster", s.cluster(request.Cluster))
	r.POST("/v2/cluster/hand-over", s.cluster(request.HandOver))
	r.POST("/hello", s.hello)
	r.GET("/ready", s.isReady)
	r.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		metrics.WritePrometheus(w, true)
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, "", "no such resource", 0)
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusMethodNotAllowed, "", "method not allowed", 0)
	})
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	srv := &http.Server{
		Handler: r, ReadTimeout: transferWait, WriteTimeout: transferWait, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10,
	}
	s.conns.watch(srv)
	return srv.Serve(ln)
}

func write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(data))}
	w.WriteHeader(status)
	w.Write(data)
}

type errorJSON struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

func fail(w http.ResponseWriter, status int, field, reason string, retry time.Duration) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	write(w, status, errorJSON{reason, field})
}

func (s *Server) isReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.ready() {
		write(w, http.StatusOK, struct{}{})
		return
	}
	fail(w, http.StatusServiceUnavailable, "", "not ready", time.Second)
}

// raw reads a request's body; false if an answer has been sent.
func raw(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	switch {
	case err != nil:
		fail(w, http.StatusBadRequest, "", "the body cannot be read", 0)
	case len(data) > maxBody:
		fail(w, http.StatusBadRequest, "", "the body is larger than 64 KiB", 0)
	default:
		return data, true
	}
	return nil, false
}

// body reads a request's body into v; false if an answer has been sent.
func body(w http.ResponseWriter, r *http.Request, v any) bool {
	data, ok := raw(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(data, v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) && te.Field != "" {
			fail(w, http.StatusBadRequest, te.Field, te.Field+": wrong type or out of range", 0)
		} else if errors.As(err, &te) {
			fail(w, http.StatusBadRequest, "", "the body is not a JSON object", 0)
		} else {
			fail(w, http.StatusBadRequest, "", "the body is not JSON", 0)
		}
		return false
	}
	return true
}

type viewJSON struct {
	ID      string        `json:"id"`
	Status  spec.JobState `json:"status"`
	Done    int           `json:"done"`
	Running int           `json:"running"`
	Reason  string        `json:"reason,omitempty"` // what the job waits for, where that is known
}

var (
	userSeconds = metrics.NewHistogram(`yewpass_user_request_seconds`)
	reports     = metrics.NewCounter(`yewpass_reports_total`)
)

func (s *Server) user(w http.ResponseWriter, r *http.Request, call request.Request) {
	began := time.Now()
	s.conns.hasRequest(r, false)
	reply := make(chan any, 1)
	s.inbox <- Call{call, reply}
	t := time.NewTimer(userWait)
	defer t.Stop()
	defer userSeconds.UpdateDuration(began)
	select {
	case v := <-reply:
		a := v.(request.Response)
		if a.Status >= 400 {
			fail(w, a.Status, a.Field, a.Reason, a.RetryAfter)
			return
		}
		if a.ETag != "" {
			w.Header().Set("ETag", a.ETag)
		}
		if a.Doc != nil {
			write(w, a.Status, a.Doc)
			return
		}
		if call.Schedule != nil {
			call.ID = a.View.ID // the job that a request to run has made
		}
		write(w, a.Status, viewJSON{call.ID, a.View.State, a.View.Done, a.View.Running, a.Reason})
	case <-t.C:
		s.inbox <- Gone{reply}
		fail(w, http.StatusServiceUnavailable, "", "the service is behind", time.Second)
	case <-r.Context().Done():
		s.inbox <- Gone{reply}
	}
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var j spec.Submission
	if !body(w, r, &j) {
		return
	}
	job, field, reason := j.Job()
	if job == nil {
		fail(w, http.StatusBadRequest, field, field+": "+reason, 0)
		return
	}
	s.user(w, r, request.Request{Op: request.Submit, ID: job.ID, Spec: job})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.known(w, r, request.Get, p.ByName("id"))
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.known(w, r, request.Cancel, p.ByName("id"))
}

// cluster serves what operators ask of the controllers.
func (s *Server) cluster(op request.Operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.user(w, r, request.Request{Op: op})
	}
}

func (s *Server) known(w http.ResponseWriter, r *http.Request, op request.Operation, id string) {
	if !spec.ValidID(id) {
		fail(w, http.StatusNotFound, "id", "no such job", 0)
		return
	}
	s.user(w, r, request.Request{Op: op, ID: id})
}
