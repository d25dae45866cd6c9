// Package api serves the HTTP interface for users and workers. Each request becomes an input of the
// core, whose response its handler awaits.
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

// Exchange is a request for the core: a request.Request or a heartbeat.Received, whose Ref the
// receiver sets. The receiver sends exactly one response to Reply, which is buffered.
type Exchange struct {
	Input any
	Reply chan<- any
}

// Abandoned reports that the handler that waits on Reply has timed out or its client has
// disconnected.
type Abandoned struct{ Reply chan<- any }

const (
	maxBodyBytes = 64 << 10 // bytes of a request body
	// userTimeout bounds the response time of a user's request when the core is overloaded.
	userTimeout = 4500 * time.Millisecond
	// heartbeatTimeout is shorter than the 4 s after which workers stop waiting for a reply.
	heartbeatTimeout = 3900 * time.Millisecond
	// transferTimeout bounds the time to read a request and the time to write its response.
	transferTimeout = 10 * time.Second
)

// Server serves HTTP requests on client_listen.
type Server struct {
	inbox chan<- any
	ready func() bool
	conns *connectionLimiter
}

// Serve serves up to maxConns connections on ln until accepting fails. It sends an Exchange to
// inbox for each request, and calls ready to answer GET /ready.
func Serve(ln net.Listener, maxConns int, inbox chan<- any, ready func() bool) error {
	s := &Server{inbox, ready, newConnectionLimiter(maxConns)}
	r := httprouter.New()
	r.POST("/v2/runs", s.submitJob)
	r.GET("/v2/runs/:id", s.getJob)
	r.POST("/v2/runs/:id/cancel", s.cancelJob)
	s.registerScheduleRoutes(r)
	s.registerConfigRoutes(r)
	r.GET("/v2/cluster", s.clusterHandler(request.Cluster))
	r.POST("/v2/cluster/hand-over", s.clusterHandler(request.TransferLeadership))
	r.POST("/hello", s.handleHeartbeat)
	r.GET("/ready", s.handleReady)
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
	s.conns.attach(srv)
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

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.ready() {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	writeError(w, http.StatusServiceUnavailable, "", "not ready", time.Second)
}

// readBody reads the body of a request. It returns false after sending an error response.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		writeError(w, http.StatusBadRequest, "", "the body cannot be read", 0)
	case len(data) > maxBodyBytes:
		writeError(w, http.StatusBadRequest, "", "the body is larger than 64 KiB", 0)
	default:
		return data, true
	}
	return nil, false
}

// readJSON decodes the body of a request into v. It returns false after sending an error response.
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
	Reason  string        `json:"reason,omitempty"` // why the job is waiting, if known
}

var (
	userRequestSeconds = metrics.NewHistogram(`yewpass_user_request_seconds`)
	heartbeatsReceived = metrics.NewCounter(`yewpass_reports_total`)
)

// serveUserRequest passes a user's request to the core and writes the response.
func (s *Server) serveUserRequest(w http.ResponseWriter, r *http.Request, req request.Request) {
	start := time.Now()
	s.conns.markBusy(r, false)
	reply := make(chan any, 1)
	s.inbox <- Exchange{req, reply}
	t := time.NewTimer(userTimeout)
	defer t.Stop()
	defer userRequestSeconds.UpdateDuration(start)
	select {
	case v := <-reply:
		resp := v.(request.Response)
		if resp.Status >= 400 {
			writeError(w, resp.Status, resp.Field, resp.Reason, resp.RetryAfter)
			return
		}
		if resp.ETag != "" {
			w.Header().Set("ETag", resp.ETag)
		}
		if resp.Document != nil {
			writeJSON(w, resp.Status, resp.Document)
			return
		}
		if req.Schedule != nil {
			req.ID = resp.Job.ID // the job that a ScheduleRun request created
		}
		writeJSON(w, resp.Status, jobJSON{req.ID, resp.Job.State, resp.Job.Done, resp.Job.Running, resp.Reason})
	case <-t.C:
		s.inbox <- Abandoned{reply}
		writeError(w, http.StatusServiceUnavailable, "", "the service is behind", time.Second)
	case <-r.Context().Done():
		s.inbox <- Abandoned{reply}
	}
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var j spec.Submission
	if !readJSON(w, r, &j) {
		return
	}
	job, field, reason := j.Job()
	if job == nil {
		writeError(w, http.StatusBadRequest, field, field+": "+reason, 0)
		return
	}
	s.serveUserRequest(w, r, request.Request{Op: request.Submit, ID: job.ID, Spec: job})
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.serveJobRequest(w, r, request.Get, p.ByName("id"))
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.serveJobRequest(w, r, request.Cancel, p.ByName("id"))
}

func (s *Server) clusterHandler(op request.Operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.serveUserRequest(w, r, request.Request{Op: op})
	}
}

func (s *Server) serveJobRequest(w http.ResponseWriter, r *http.Request, op request.Operation, id string) {
	if !spec.ValidID(id) {
		writeError(w, http.StatusNotFound, "id", "no such job", 0)
		return
	}
	s.serveUserRequest(w, r, request.Request{Op: op, ID: id})
}
