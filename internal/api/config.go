package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
)

// registerConfigRoutes adds the routes of the live configuration.
func (s *Server) registerConfigRoutes(r *httprouter.Router) {
	r.GET("/v2/config", s.configHandler(request.ConfigStatus, nil))
	r.POST("/v2/config", s.configHandler(request.ConfigSet, readConfigChange))
	r.GET("/v2/config/here", s.configHandler(request.ConfigLocal, nil))
	r.GET("/v2/config/teams", s.configHandler(request.ConfigList, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params, q *request.ConfigParams) bool {
		q.After = r.URL.Query().Get("after")
		return readCount(w, r, "limit", maxListed, &q.Count)
	}))
	r.GET("/v2/config/teams/:name", s.configHandler(request.ConfigGet, readTeamName))
	r.PUT("/v2/config/teams/:name", s.configHandler(request.ConfigSet, readTeamChange))
}

// configReader reads the parameters of an operation. It returns false after sending an error
// response.
type configReader func(http.ResponseWriter, *http.Request, httprouter.Params, *request.ConfigParams) bool

// configHandler returns a handler for an operation on the configuration. A nil read means no
// parameters.
func (s *Server) configHandler(op request.Operation, read configReader) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		q := &request.ConfigParams{}
		if read == nil || read(w, r, p, q) {
			s.serveUserRequest(w, r, request.Request{Op: op, Config: q})
		}
	}
}

func readTeamName(w http.ResponseWriter, _ *http.Request, p httprouter.Params, q *request.ConfigParams) bool {
	q.Name = p.ByName("name")
	if !liveconfig.ValidName(q.Name) {
		writeError(w, http.StatusNotFound, "name", "no such team", 0)
		return false
	}
	return true
}

// changeJSON is the request body of a configuration change.
type changeJSON struct {
	Teams      []liveconfig.TeamChange `json:"teams"`
	IfRevision *uint64                 `json:"ifRevision"`
}

func readConfigChange(w http.ResponseWriter, r *http.Request, _ httprouter.Params, q *request.ConfigParams) bool {
	var c changeJSON
	if !readJSON(w, r, &c) {
		return false
	}
	q.Teams, q.IfRevision = c.Teams, c.IfRevision
	return true
}

// readTeamChange reads a change of the team that the path names.
func readTeamChange(w http.ResponseWriter, r *http.Request, p httprouter.Params, q *request.ConfigParams) bool {
	var c liveconfig.TeamChange
	if !readTeamName(w, r, p, q) || !readJSON(w, r, &c) {
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
