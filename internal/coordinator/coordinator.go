package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/rollout"
)

// ErrFenced is returned once a supervisor has accepted a later order, or this process leads no longer: another
// coordinates, or a later change was begun.
var ErrFenced = errors.New("a later order was taken: another coordinates")

// Coordinator carries one change on, from the state in which it was recorded.
type Coordinator struct {
	store   *RecordStore
	record  Record
	fleet   *FleetClient
	machine *rollout.Machine
	members []memberView // by the member's index
	start   time.Time    // zero of the coordinator's own clock

	baseline  *canary.Baseline
	evaluator *canary.Analysis     // of the stage; nil before the first
	recovery  canary.RecoveryCheck // of the fleet, while a stage is rolled back
	evaluated stageInPhase         // what evaluator and recovery were begun for

	recordPending bool   // the state has changed and could not be recorded yet
	lastRejection string // of an order, as logged
}

// stageInPhase identifies a part of a rollout for which an evaluation begins.
type stageInPhase struct {
	phase rollout.Phase
	stage int
}

// TakeOver continues the recorded change under a term of its own, which is recorded before it returns.
func TakeOver(store *RecordStore, fleet *FleetClient) (*Coordinator, error) {
	record, found, err := store.Record()
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fmt.Errorf("%s: no change is recorded", store.folder)
	}
	baseline, err := store.Baseline()
	if err != nil {
		return nil, err
	}
	record.State.Fence.Term, err = store.nextTerm(record.State.Fence.Term)
	if err != nil {
		return nil, err
	}
	if err := store.write(recordFile, record); err != nil {
		return nil, err
	}
	fleet.patience = min(fleet.patience, milliseconds(record.Change.Timing.PollIntervalMS)) // silence holds up no poll
	slog.Info("rollout_taken", "number", record.Change.Number, "fence", record.State.Fence.String(),
		"phase", record.State.Phase)
	return &Coordinator{
		store:     store,
		record:    record,
		fleet:     fleet,
		machine:   rollout.New(record.State, record.plan(), 0),
		members:   make([]memberView, len(fleet.Members)),
		start:     time.Now(),
		baseline:  baseline,
		evaluated: stageInPhase{stage: -1},
	}, nil
}

// plan is what the state machine is told of the change.
func (r Record) plan() rollout.Plan {
	return rollout.Plan{
		Kind:     r.Change.Kind,
		FromSpec: r.FromSpec.Digest(),
		ToSpec:   r.ToSpec.Digest(),
		Stages:   r.Stages,
		Timing:   r.Change.Timing,
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// State returns the state of the change. It may be ahead of the record while that cannot be written.
func (c *Coordinator) State() rollout.State { return c.machine.State }

// elapsed is the coordinator's own clock, in nanoseconds.
func (c *Coordinator) elapsed() int64 { return int64(time.Since(c.start)) }

// Run coordinates until the change has ended and that is recorded, or an error, or the end of ctx.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(milliseconds(c.record.Change.Timing.PollIntervalMS))
	defer ticker.Stop()
	for {
		if err := c.Step(ctx); err != nil {
			return err
		}
		if c.machine.State.Phase.IsTerminal() && !c.recordPending {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Step polls the fleet once and does what follows from that.
func (c *Coordinator) Step(ctx context.Context) error {
	replies := c.fleet.Poll(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.checkFences(replies); err != nil {
		return err
	}
	seen, counts := c.observe(replies)
	if c.recordPending { // nothing further is decided until the last decision is recorded
		c.recordState()
		return nil
	}
	c.evaluate(&seen, counts)
	if c.advance(&seen) {
		c.recordState()
		if c.recordPending {
			return nil
		}
	}
	if !c.store.mayAct() { // it was so when the poll began; later orders are up to the supervisors' fences
		return ErrFenced
	}
	c.sendOrders(ctx, c.machine.Orders(seen))
	return nil
}

// checkFences returns ErrFenced where a supervisor has accepted a later order than this coordinator's.
func (c *Coordinator) checkFences(replies []StatusReply) error {
	own := c.machine.State.Fence
	for _, reply := range replies {
		if reply.Err != nil || reply.Status.Fence.Compare(own) <= 0 {
			continue
		}
		slog.Error("rollout_fenced", "number", c.record.Change.Number, "member", reply.Status.Name,
			"taken", reply.Status.Fence.String(), "by", reply.Status.OrderedBy, "ours", own.String())
		return ErrFenced
	}
	return nil
}

// advance steps the state machine, with an operator's request that was not carried out yet. It reports whether there
// is a new state to record.
func (c *Coordinator) advance(seen *rollout.Observation) bool {
	request := c.store.PendingRequest()
	isNew := request.ID != c.record.LastRequestID
	if isNew {
		seen.Request = request.Request
		c.record.LastRequestID = request.ID
	}
	changed := c.machine.Step(*seen)
	return changed || isNew
}
