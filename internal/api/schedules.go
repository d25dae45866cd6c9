package api

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"yewpass/internal/calendar"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

// Limits of list requests and of request parameters.
const (
	defaultCount   = 20
	maxUpcoming    = 100
	maxListed      = request.MaxCount
	maxRequestName = 200 // bytes of the name of a run request
)

// registerScheduleRoutes adds the routes of recurring jobs.
func (s *Server) registerScheduleRoutes(r *httprouter.Router) {
	const one = "/v2/schedules/:name"
	r.GET("/v2/schedules", s.listSchedules)
	r.PUT(one, s.putSchedule)
	r.GET(one, s.scheduleHandler(request.ScheduleGet, nil))
	r.DELETE(one, s.scheduleHandler(request.ScheduleDelete, readIfMatch))
	r.POST(one+"/pause", s.scheduleHandler(request.SchedulePause, readIfMatch))
	r.POST(one+"/resume", s.scheduleHandler(request.ScheduleResume, readIfMatch))
	r.POST(one+"/run", s.scheduleHandler(request.ScheduleRun, readRunRequest))
	r.GET(one+"/upcoming", s.scheduleHandler(request.ScheduleUpcoming, func(w http.ResponseWriter, r *http.Request, q *request.ScheduleParams) bool {
		return readCount(w, r, "count", maxUpcoming, &q.Count)
	}))
	r.GET(one+"/history", s.scheduleHandler(request.ScheduleHistory, nil))
}

// scheduleHandler returns a handler for an operation on one schedule. A non-nil read reads further
// parameters and returns false after sending an error response.
func (s *Server) scheduleHandler(op request.Operation, read func(http.ResponseWriter, *http.Request, *request.ScheduleParams) bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		q := &request.ScheduleParams{Name: p.ByName("name")}
		if !schedule.ValidName(q.Name) {
			writeError(w, http.StatusNotFound, "name", "no such schedule", 0)
			return
		}
		if read == nil || read(w, r, q) {
			s.serveUserRequest(w, r, request.Request{Op: op, Schedule: q})
		}
	}
}

// readIfMatch reads the If-Match header. "*" means no condition.
func readIfMatch(_ http.ResponseWriter, r *http.Request, q *request.ScheduleParams) bool {
	if q.IfMatch = r.Header.Get("If-Match"); q.IfMatch == "*" {
		q.IfMatch = ""
	}
	return true
}

// readRunRequest reads the idempotency key of a run request.
func readRunRequest(w http.ResponseWriter, r *http.Request, q *request.ScheduleParams) bool {
	var v struct {
		Request string `json:"request"`
	}
	if !readJSON(w, r, &v) {
		return false
	}
	if v.Request == "" || len(v.Request) > maxRequestName {
		writeError(w, http.StatusBadRequest, "request", "request: missing, empty or longer than "+strconv.Itoa(maxRequestName)+" bytes", 0)
		return false
	}
	q.IdempotencyKey = v.Request
	return true
}

// readCount reads a query parameter that is a number from 1 to limit. It returns false after
// sending an error response.
func readCount(w http.ResponseWriter, r *http.Request, name string, limit int, n *int) bool {
	*n = defaultCount
	if text := r.URL.Query().Get(name); text != "" {
		k, err := strconv.Atoi(text)
		if err != nil || k < 1 || k > limit {
			writeError(w, http.StatusBadRequest, name, name+": not a number from 1 to "+strconv.Itoa(limit), 0)
			return false
		}
		*n = k
	}
	return true
}

func (s *Server) listSchedules(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := &request.ScheduleParams{After: r.URL.Query().Get("after")}
	if readCount(w, r, "limit", maxListed, &q.Count) {
		s.serveUserRequest(w, r, request.Request{Op: request.ScheduleList, Schedule: q})
	}
}

// putSchedule creates a schedule, or replaces one unless If-None-Match is "*". If-Match names the
// ETag of the version to replace.
func (s *Server) putSchedule(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	f, err := schedule.ParseJSON(data)
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		reason := fe.Reason
		if fe.Field != "" {
			reason = fe.Error()
		}
		writeError(w, http.StatusBadRequest, fe.Field, reason, 0)
		return
	}
	q := &request.ScheduleParams{Name: p.ByName("name"), File: f}
	if f.Name == "" {
		f.Name = q.Name
	}
	if f.Name != q.Name || !schedule.ValidName(q.Name) {
		writeError(w, http.StatusBadRequest, "name", "name: not the one in the path, or not of lower-case letters, digits, dots, underscores and hyphens", 0)
		return
	}
	readIfMatch(w, r, q)
	if r.Header.Get("If-None-Match") == "*" {
		q.IfMatch = request.IfAbsent
	}
	s.serveUserRequest(w, r, request.Request{Op: request.SchedulePut, Schedule: q})
}
