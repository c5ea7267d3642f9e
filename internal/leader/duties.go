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
	// beginTimeout is how long a change may take to begin: whoever requests it waits for little more.
	beginTimeout = 3 * time.Second

	// requestTimeout is how long a supervisor may take to answer.
	requestTimeout = 2 * time.Second
	// dutyInterval is the pause between two looks for work.
	dutyInterval = 100 * time.Millisecond
	// activeCheckInterval is the pause between two checks that the term has not ended.
	activeCheckInterval = dutyInterval / 2
)

// Duties is the work that the leader does once for the whole fleet: it coordinates rollouts, distributes quota shares
// and plans, and hands the leadership over if another voter is fitter. All methods are safe for concurrent use.
type Duties struct {
	node     *Node
	fleet    *operator.Fleet
	problem  *solve.Problem // nil: no planning
	changeMu sync.Mutex     // held while a change is begun
	fitness  FitnessMonitor // used by the term that runs

	mu    sync.Mutex
	polls []*coordinator.FleetClient // of running duties that poll all members

	// Used by the distributor of the term that runs.
	sequence      int64  // of assignments sent by this process: it rises across terms
	lastRejection string // as logged
}

// termStore gives duties access to the replicated items under one term. It is the coordinator's view of the leader.
type termStore struct {
	node *Node
	term Term
}

// Read returns a replicated item.
func (s termStore) Read(name string) ([]byte, bool) { return s.node.Item(name) }

// Write replicates an item under the term, and waits until that is committed.
func (s termStore) Write(name string, value []byte) error {
	return s.node.Propose(s.term, name, value)
}

// IsLeader reports whether the term is active now.
func (s termStore) IsLeader() bool { return s.node.ActiveTerm() == s.term }

// Term returns the fencing token.
func (s termStore) Term() int64 { return int64(s.term) }

// LeaderName returns the name of this member.
func (s termStore) LeaderName() string { return s.node.name }

// NewDuties returns the duties of a process. Files named in the operator's settings are relative to folder.
func NewDuties(node *Node, fleet *operator.Fleet, folder string) (*Duties, error) {
	problem, err := loadProblem(fleet, folder)
	if err != nil {
		return nil, err
	}
	return &Duties{node: node, fleet: fleet, problem: problem}, nil
}

// loadProblem reads the problem from which plans are computed; nil: the fleet is not planned.
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

// runTerm performs the duties until the term ends. Whatever ends it, nothing is left half done: each step is
// committed before it is carried out, and orders carry the term, so that late ones are refused where they arrive.
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

// awaitTermEnd returns once the term is no longer active, or ctx has ended.
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

// continueRollout coordinates the rollout that is under way, if there is one, until it ends or ctx does.
func (d *Duties) continueRollout(ctx context.Context, store termStore) error {
	folder := coordinator.Replicated(store)
	record, isPresent, err := folder.Record()
	if err != nil || !isPresent {
		return err
	}
	if record.State.Phase.IsTerminal() && !hasRollbackRequest(folder, record) {
		return nil
	}
	fleet := coordinator.NewFleetClient(d.fleet.Members, requestTimeout, requestTimeout)
	rolloutCoordinator, err := coordinator.TakeOver(folder, fleet)
	if err != nil {
		return err
	}
	unregister := d.registerPoll(fleet)
	defer unregister()
	return rolloutCoordinator.Run(ctx)
}

// hasRollbackRequest reports whether an operator has asked to roll back a rollout that was stopped.
func hasRollbackRequest(folder *coordinator.RecordStore, record coordinator.Record) bool {
	request := folder.PendingRequest()
	isNew := request.ID != "" && request.ID != record.LastRequestID
	return isNew && request.Request == rollout.RequestRollback && record.State.Phase == rollout.PhaseStopped
}

// registerPoll makes the health watch aware of a duty that polls all members, until the returned function is called.
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
