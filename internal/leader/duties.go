package leader

import (
	"context"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/plan"
	"swiftreel/internal/rollout"
	"swiftreel/internal/solve"
)

const (
	// beginTimeout bounds the start of a change. The client that requests the change waits only slightly longer.
	beginTimeout = 3 * time.Second

	// requestTimeout bounds a request to a supervisor.
	requestTimeout = 2 * time.Second
	// dutyInterval is the pause between two checks for work.
	dutyInterval = 100 * time.Millisecond
	// activeCheckInterval is the pause between two checks that the term is still active.
	activeCheckInterval = dutyInterval / 2
)

// Duties performs the leader's work for the whole fleet: it coordinates rollouts, distributes quota shares and plans,
// and transfers the leadership if this member is unfit and another voter is fit. All methods are safe for concurrent
// use.
type Duties struct {
	node     *Node
	fleet    *operator.Fleet
	problem  *solve.Problem // nil if the fleet is not planned
	changeMu sync.Mutex     // held while a change is started
	fitness  FitnessMonitor // used by the running term

	mu    sync.Mutex                 // guards polls
	polls []*coordinator.FleetClient // of running duties that poll all members

	// Used by the distributor of the running term.
	sequence      int64  // of the assignments sent by this process; it increases across terms
	lastRejection string // last logged, to avoid repeating it
}

// termStore gives duties access to the replicated items under one term. The coordinator uses it as its store.
type termStore struct {
	node *Node
	term Term
}

// Read returns a replicated item.
func (s termStore) Read(name string) ([]byte, bool) { return s.node.Item(name) }

// Write replicates an item under the term and waits until it is committed.
func (s termStore) Write(name string, value []byte) error {
	return s.node.Propose(s.term, name, value)
}

// IsLeader reports whether this member may act under the term now.
func (s termStore) IsLeader() bool { return s.node.ActiveTerm() == s.term }

// Term returns the term as the fencing token.
func (s termStore) Term() int64 { return int64(s.term) }

// LeaderName returns this member's name.
func (s termStore) LeaderName() string { return s.node.name }

// NewDuties returns the duties of a process. Relative paths in the operator's settings are resolved against folder.
func NewDuties(node *Node, fleet *operator.Fleet, folder string) (*Duties, error) {
	problem, err := loadProblem(fleet, folder)
	if err != nil {
		return nil, err
	}
	return &Duties{node: node, fleet: fleet, problem: problem}, nil
}

// loadProblem reads the planning problem. It returns nil if the fleet is not planned.
func loadProblem(fleet *operator.Fleet, folder string) (*solve.Problem, error) {
	if fleet.Planning == nil {
		return nil, nil
	}
	path := fleet.Planning.Problem
	if !filepath.IsAbs(path) {
		path = filepath.Join(folder, path)
	}
	return plan.LoadProblem(path)
}

// Run performs the duties whenever this process is the leader, until ctx ends.
func (d *Duties) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if term := d.node.ActiveTerm(); term != 0 {
			d.runTerm(ctx, term)
		}
		pause(ctx, dutyInterval)
	}
}

// runTerm performs the duties until the term ends. The term may end at any point: each step is committed before it is
// carried out, so the next leader can resume it, and orders carry the term, so receivers reject orders that arrive
// late.
func (d *Duties) runTerm(ctx context.Context, term Term) {
	slog.Info("leader_term_started", "term", term)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	defer duties.Wait() // they end with ctx
	duties.Go(func() {
		defer cancel()
		d.awaitTermEnd(ctx, term)
	})
	store := termStore{node: d.node, term: term}
	d.startDistributor(ctx, store, &duties)
	duties.Go(func() { d.watchHealth(ctx, term) })
	for ctx.Err() == nil {
		if err := d.continueRollout(ctx, store); err != nil && ctx.Err() == nil {
			slog.Warn("leader_duty_failed", "duty", "rollout", "term", term, "reason", err)
		}
		pause(ctx, dutyInterval)
	}
	slog.Info("leader_term_ended", "term", term)
}

// awaitTermEnd waits until the term is no longer active or ctx ends.
func (d *Duties) awaitTermEnd(ctx context.Context, term Term) {
	for ctx.Err() == nil && d.node.ActiveTerm() == term {
		pause(ctx, activeCheckInterval)
	}
}

func (d *Duties) startDistributor(ctx context.Context, store termStore, duties *sync.WaitGroup) {
	if d.fleet.Shares == nil && d.fleet.Planning == nil {
		return
	}
	distributor, err := newDistributor(d, store)
	if err != nil {
		slog.Error("leader_duty_failed", "duty", "distribution", "term", store.term, "reason", err)
		return
	}
	duties.Go(func() { distributor.run(ctx) })
}

// continueRollout coordinates the rollout in progress, if any, until the rollout or ctx ends.
func (d *Duties) continueRollout(ctx context.Context, store termStore) error {
	records := coordinator.NewReplicatedStore(store)
	record, isPresent, err := records.Record()
	if err != nil || !isPresent {
		return err
	}
	if record.State.Phase.IsTerminal() && !hasRollbackRequest(records, record) {
		return nil
	}
	fleet := coordinator.NewFleetClient(d.fleet.Members, requestTimeout, requestTimeout)
	rolloutCoordinator, err := coordinator.TakeOver(records, fleet)
	if err != nil {
		return err
	}
	unregister := d.registerPoll(fleet)
	defer unregister()
	return rolloutCoordinator.Run(ctx)
}

// hasRollbackRequest reports whether an operator has requested to roll back a stopped rollout.
func hasRollbackRequest(records *coordinator.RecordStore, record coordinator.Record) bool {
	request := records.PendingRequest()
	isNew := request.ID != "" && request.ID != record.LastRequestID
	return isNew && request.Request == rollout.RequestRollback && record.State.Phase == rollout.PhaseStopped
}

// registerPoll registers a duty's fleet client, which polls all members, with the health watch until the returned
// function is called.
func (d *Duties) registerPoll(fleet *coordinator.FleetClient) (unregister func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.polls = append(d.polls, fleet)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.polls = slices.DeleteFunc(d.polls, func(other *coordinator.FleetClient) bool { return other == fleet })
	}
}

func (d *Duties) activePolls() []*coordinator.FleetClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.polls)
}

// pause waits for a duration, or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
