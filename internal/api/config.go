package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
)

// configuration serves the configuration that changes while the service runs, from any node.
func (s *Server) configuration(r *httprouter.Router) {
	r.GET("/v2/config", s.configCall(request.ConfigStatus, nil))
	r.POST("/v2/config", s.configCall(request.ConfigSet, readChange))
	r.GET("/v2/config/here", s.configCall(request.ConfigLocal, nil))
	r.GET("/v2/config/teams", s.configCall(request.ConfigList, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params, q *request.ConfigParams) bool {
		q.After = r.URL.Query().Get("after")
		return count(w, r, "limit", maxListed, &q.Count)
	}))
	r.GET("/v2/config/teams/:name", s.configCall(request.ConfigGet, teamName))
	r.PUT("/v2/config/teams/:name", s.configCall(request.ConfigSet, readTeam))
}

// configReader reads what an operation needs of a request; false if an answer has been sent.
type configReader func(http.ResponseWriter, *http.Request, httprouter.Params, *request.ConfigParams) bool

// configCall serves an operation on the configuration.
func (s *Server) configCall(op request.Operation, read configReader) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		q := &request.ConfigParams{}
		if read == nil || read(w, r, p, q) {
			s.answerUser(w, r, request.Request{Op: op, Config: q})
		}
	}
}

func teamName(w http.ResponseWriter, _ *http.Request, p httprouter.Params, q *request.ConfigParams) bool {
	q.Name = p.ByName("name")
	if !liveconfig.ValidName(q.Name) {
		writeError(w, http.StatusNotFound, "name", "no such team", 0)
		return false
	}
	return true
}

// changeJSON is a change of the configuration.
type changeJSON struct {
	Teams      []liveconfig.TeamChange `json:"teams"`
	IfRevision *uint64                 `json:"ifRevision"`
}

func readChange(w http.ResponseWriter, r *http.Request, _ httprouter.Params, q *request.ConfigParams) bool {
	var c changeJSON
	if !readJSON(w, r, &c) {
		return false
	}
	q.Teams, q.IfRevision = c.Teams, c.IfRevision
	return true
}

// readTeam reads a change of one team, which the path names.
func readTeam(w http.ResponseWriter, r *http.Request, p httprouter.Params, q *request.ConfigParams) bool {
	var c liveconfig.TeamChange
	if !teamName(w, r, p, q) || !readJSON(w, r, &c) {
		return false
	}
	if c.Name != "" && c.Name != q.Name {
		writeError(w, http.StatusBadRequest, "name", "name: not the one in the path", 0)
		return false
	}
	c.Name = q.Name
	q.Teams, q.Name = []liveconfig.TeamChange{c}, ""
	return true
}
