package supervisor

import (
	"encoding/json"
	"errors"
	"net/http"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
)

// Handler returns the HTTP API for the rollout coordinator and the fleet's leader:
//
//	GET  /v1/status             returns the status; with ?engines=1 also the names of the ready engines
//	POST /v1/order              accepts an order from the coordinator
//	POST /v1/word               accepts an assignment from the leader
//
// POST requests are answered with 204 if accepted, 422 if malformed, 409 if refused, and 507 if an order cannot be
// stored.
func (s *Supervisor) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.serveStatus)
	mux.HandleFunc("POST /v1/order", s.serveOrder)
	mux.HandleFunc("POST /v1/word", s.serveAssignment)
	return mux
}

func (s *Supervisor) serveStatus(w http.ResponseWriter, r *http.Request) {
	status := s.Status()
	if r.URL.Query().Get("engines") == "" { // up to hundreds of names, which only the planner needs
		status.ReadyEngines = nil
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails only if the client has disconnected
}

func (s *Supervisor) serveOrder(w http.ResponseWriter, r *http.Request) {
	order, err := change.ReadOrder(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	err = s.AcceptOrder(order)
	switch {
	case errors.Is(err, ErrOrderNotRecorded):
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Supervisor) serveAssignment(w http.ResponseWriter, r *http.Request) {
	incoming, err := assignment.Read(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	if err := s.AcceptAssignment(incoming); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
