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

// Exchange is a request on its way to the core: a core.UserCall or core.ReportIn
// whose Ref the receiver sets. Exactly one answer is sent to Reply, which never
// blocks.
type Exchange struct {
	Input any
	Reply chan<- any
}

// Abandoned says that the caller of Reply has left.
type Abandoned struct{ Reply chan<- any }

const (
	maxBody = 64 << 10
	// A user's request is answered at once in the ordinary case; this bounds it
	// when the core is behind.
	userTimeout = 4500 * time.Millisecond
	// Workers give up on a reply after 4 s.
	heartbeatTimeout = 3900 * time.Millisecond
	// transferTimeout bounds how long a request may take to come in, and its answer
	// to be taken: whoever is slower does not keep a connection.
	transferTimeout = 10 * time.Second
)

// Server is the actor that serves client_listen.
type Server struct {
	inbox chan<- any
	ready func() bool
	conns *connectionLimiter
}

// Serve serves on ln until it fails. At most maxConns connections are open at a
// time.
func Serve(ln net.Listener, maxConns int, inbox chan<- any, ready func() bool) error {
	s := &Server{inbox, ready, newConnectionLimiter(maxConns)}
	r := httprouter.New()
	r.POST("/v2/runs", s.submit)
	r.GET("/v2/runs/:id", s.get)
	r.POST("/v2/runs/:id/cancel", s.cancel)
	s.schedules(r)
	s.configuration(r)
	r.GET("/v2/cluster", s.cluster(request.Cluster))
	r.POST("/v2/cluster/hand-over", s.cluster(request.TransferLeadership))
	r.POST("/hello", s.handleHeartbeat)
	r.GET("/ready", s.isReady)
	r.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		metrics.WritePrometheus(w, true)
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, "", "no such resource", 0)
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, "", "method not allowed", 0)
	})
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	srv := &http.Server{
		Handler: r, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10,
	}
	s.conns.watch(srv)
	return srv.Serve(ln)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
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

func writeError(w http.ResponseWriter, status int, field, reason string, retry time.Duration) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	writeJSON(w, status, errorJSON{reason, field})
}

func (s *Server) isReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.ready() {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	writeError(w, http.StatusServiceUnavailable, "", "not ready", time.Second)
}

// readBody reads a request's body; false if an answer has been sent.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	switch {
	case err != nil:
		writeError(w, http.StatusBadRequest, "", "the body cannot be read", 0)
	case len(data) > maxBody:
		writeError(w, http.StatusBadRequest, "", "the body is larger than 64 KiB", 0)
	default:
		return data, true
	}
	return nil, false
}

// readJSON reads a request's body into v; false if an answer has been sent.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(data, v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) && te.Field != "" {
			writeError(w, http.StatusBadRequest, te.Field, te.Field+": wrong type or out of range", 0)
		} else if errors.As(err, &te) {
			writeError(w, http.StatusBadRequest, "", "the body is not a JSON object", 0)
		} else {
			writeError(w, http.StatusBadRequest, "", "the body is not JSON", 0)
		}
		return false
	}
	return true
}

type jobJSON struct {
	ID      string        `json:"id"`
	Status  spec.JobState `json:"status"`
	Done    int           `json:"done"`
	Running int           `json:"running"`
	Reason  string        `json:"reason,omitempty"` // what the job waits for, where that is known
}

var (
	userRequestSeconds = metrics.NewHistogram(`yewpass_user_request_seconds`)
	heartbeatsReceived = metrics.NewCounter(`yewpass_reports_total`)
)

func (s *Server) answerUser(w http.ResponseWriter, r *http.Request, call request.Request) {
	began := time.Now()
	s.conns.hasRequest(r, false)
	reply := make(chan any, 1)
	s.inbox <- Exchange{call, reply}
	t := time.NewTimer(userTimeout)
	defer t.Stop()
	defer userRequestSeconds.UpdateDuration(began)
	select {
	case v := <-reply:
		a := v.(request.Response)
		if a.Status >= 400 {
			writeError(w, a.Status, a.Field, a.Reason, a.RetryAfter)
			return
		}
		if a.ETag != "" {
			w.Header().Set("ETag", a.ETag)
		}
		if a.Document != nil {
			writeJSON(w, a.Status, a.Document)
			return
		}
		if call.Schedule != nil {
			call.ID = a.Job.ID // the job that a request to run has made
		}
		writeJSON(w, a.Status, jobJSON{call.ID, a.Job.State, a.Job.Done, a.Job.Running, a.Reason})
	case <-t.C:
		s.inbox <- Abandoned{reply}
		writeError(w, http.StatusServiceUnavailable, "", "the service is behind", time.Second)
	case <-r.Context().Done():
		s.inbox <- Abandoned{reply}
	}
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var j spec.Submission
	if !readJSON(w, r, &j) {
		return
	}
	job, field, reason := j.Job()
	if job == nil {
		writeError(w, http.StatusBadRequest, field, field+": "+reason, 0)
		return
	}
	s.answerUser(w, r, request.Request{Op: request.Submit, ID: job.ID, Spec: job})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.answerJobRequest(w, r, request.Get, p.ByName("id"))
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.answerJobRequest(w, r, request.Cancel, p.ByName("id"))
}

// cluster serves what operators ask of the controllers.
func (s *Server) cluster(op request.Operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.answerUser(w, r, request.Request{Op: op})
	}
}

func (s *Server) answerJobRequest(w http.ResponseWriter, r *http.Request, op request.Operation, id string) {
	if !spec.ValidID(id) {
		writeError(w, http.StatusNotFound, "id", "no such job", 0)
		return
	}
	s.answerUser(w, r, request.Request{Op: op, ID: id})
}
