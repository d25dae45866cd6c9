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

// Bounds of what one answer lists.
const (
	defaultCount = 20
	maxUpcoming  = 100
	maxListed    = request.MaxCount
	maxRequest   = 200 // bytes of a request's name
)

// schedules serves recurring work, from any node.
func (s *Server) schedules(r *httprouter.Router) {
	const one = "/v2/schedules/:name"
	r.GET("/v2/schedules", s.listSchedules)
	r.PUT(one, s.putSchedule)
	r.GET(one, s.schedule(request.ScheduleGet, nil))
	r.DELETE(one, s.schedule(request.ScheduleDelete, ifMatch))
	r.POST(one+"/pause", s.schedule(request.SchedulePause, ifMatch))
	r.POST(one+"/resume", s.schedule(request.ScheduleResume, ifMatch))
	r.POST(one+"/run", s.schedule(request.ScheduleRun, runRequest))
	r.GET(one+"/upcoming", s.schedule(request.ScheduleUpcoming, func(w http.ResponseWriter, r *http.Request, q *request.ScheduleParams) bool {
		return count(w, r, "count", maxUpcoming, &q.Count)
	}))
	r.GET(one+"/history", s.schedule(request.ScheduleHistory, nil))
}

// schedule serves an operation on one schedule; more reads what it needs besides
// the name and is false if an answer has been sent.
func (s *Server) schedule(op request.Operation, more func(http.ResponseWriter, *http.Request, *request.ScheduleParams) bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		q := &request.ScheduleParams{Name: p.ByName("name")}
		if !schedule.ValidName(q.Name) {
			writeError(w, http.StatusNotFound, "name", "no such schedule", 0)
			return
		}
		if more == nil || more(w, r, q) {
			s.answerUser(w, r, request.Request{Op: op, Schedule: q})
		}
	}
}

func ifMatch(_ http.ResponseWriter, r *http.Request, q *request.ScheduleParams) bool {
	if q.IfMatch = r.Header.Get("If-Match"); q.IfMatch == "*" {
		q.IfMatch = ""
	}
	return true
}

// runRequest reads the caller's name for a request to run now, without which a
// repetition could not be told from another request.
func runRequest(w http.ResponseWriter, r *http.Request, q *request.ScheduleParams) bool {
	var v struct {
		Request string `json:"request"`
	}
	if !readJSON(w, r, &v) {
		return false
	}
	if v.Request == "" || len(v.Request) > maxRequest {
		writeError(w, http.StatusBadRequest, "request", "request: missing, empty or longer than "+strconv.Itoa(maxRequest)+" bytes", 0)
		return false
	}
	q.IdempotencyKey = v.Request
	return true
}

func count(w http.ResponseWriter, r *http.Request, name string, most int, n *int) bool {
	*n = defaultCount
	if text := r.URL.Query().Get(name); text != "" {
		k, err := strconv.Atoi(text)
		if err != nil || k < 1 || k > most {
			writeError(w, http.StatusBadRequest, name, name+": not a number from 1 to "+strconv.Itoa(most), 0)
			return false
		}
		*n = k
	}
	return true
}

func (s *Server) listSchedules(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := &request.ScheduleParams{After: r.URL.Query().Get("after")}
	if count(w, r, "limit", maxListed, &q.Count) {
		s.answerUser(w, r, request.Request{Op: request.ScheduleList, Schedule: q})
	}
}

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
	ifMatch(w, r, q)
	if r.Header.Get("If-None-Match") == "*" {
		q.IfMatch = request.IfAbsent
	}
	s.answerUser(w, r, request.Request{Op: request.SchedulePut, Schedule: q})
}
