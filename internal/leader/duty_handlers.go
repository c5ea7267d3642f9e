package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/schema"
)

// Size limits of requests, in bytes.
const (
	maxChangeBytes = 4 << 20
	maxActionBytes = 1024
)

// errPlanFile rejects a change to a plan, because its file is on the operator's machine.
var errPlanFile = errors.New("/kind: a plan's file is not on the leader's machine; use swiftreel rollout start")

// RegisterHandlers adds the handlers for operator requests to the leader: to start a change, and to control the rollout
// in progress.
func (d *Duties) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/owner/change", d.requireLeader(d.beginChange))
	mux.HandleFunc("POST /v1/owner/wish", d.requireLeader(d.requestAction))
}

// requireLeader rejects requests to a member that is not the active leader.
func (d *Duties) requireLeader(serve func(*http.Request, termStore) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		store := termStore{node: d.node, term: d.node.ActiveTerm()}
		err := ErrNotLeader
		if store.term != 0 {
			err = serve(r, store)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// beginChange starts the rollout of a change.
func (d *Duties) beginChange(r *http.Request, store termStore) error {
	var requested change.Change
	if err := decodeRequest(r, maxChangeBytes, &requested); err != nil {
		return fmt.Errorf("/: %w", err)
	}
	if faults := requested.Validate(); len(faults) > 0 {
		return &schema.ValidationError{File: "the change", Problems: faults}
	}
	if requested.Kind == change.KindPlan {
		return errPlanFile
	}
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	fleet := coordinator.NewFleetClient(d.fleet.Members, requestTimeout, requestTimeout)
	ctx, cancel := context.WithTimeout(r.Context(), beginTimeout)
	defer cancel()
	return coordinator.Begin(ctx, coordinator.NewReplicatedStore(store), requested, fleet, false)
}

// requestAction records an operator request for the rollout in progress.
func (d *Duties) requestAction(r *http.Request, store termStore) error {
	var request coordinator.OperatorRequest
	if err := decodeRequest(r, maxActionBytes, &request); err != nil {
		return err
	}
	return coordinator.NewReplicatedStore(store).Submit(request.Request)
}
