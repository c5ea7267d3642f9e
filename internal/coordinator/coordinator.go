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

// ErrFenced is returned once a supervisor has accepted a later order, or this process is no longer the leader: another
// coordinator is active, or a later change was begun.
var ErrFenced = errors.New("a later order was taken: another coordinates")

// Coordinator continues one change from its recorded state.
type Coordinator struct {
	store   *RecordStore
	record  Record
	fleet   *FleetClient
	machine *rollout.Machine
	members []memberView // by the member's index
	start   time.Time    // origin of the coordinator's own clock

	baseline  *canary.Baseline
	analysis  *canary.Analysis     // of the stage; nil before the first
	recovery  canary.RecoveryCheck // of the fleet, after a stage was rolled back
	evaluated stageInPhase         // the stage and phase that analysis and recovery belong to

	recordPending bool   // the state has changed but could not be recorded yet
	lastRejection string // of an order, as last logged
}

// stageInPhase identifies the part of a rollout that an evaluation covers.
type stageInPhase struct {
	phase rollout.Phase
	stage int
}

// TakeOver returns a coordinator that continues the recorded change under a new term, which is recorded already.
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
	// An unresponsive supervisor must not delay polls.
	fleet.maxWait = min(fleet.maxWait, milliseconds(record.Change.Timing.PollIntervalMS))
	slog.Info("rollout_taken", "number", record.Change.Number, "fence", record.State.Fence.String(),
		"phase", record.State.Phase)
	return &Coordinator{
		store:     store,
		record:    record,
		fleet:     fleet,
		machine:   rollout.New(record.State, record.rolloutConfig(), 0),
		members:   make([]memberView, len(fleet.Members)),
		start:     time.Now(),
		baseline:  baseline,
		evaluated: stageInPhase{stage: -1},
	}, nil
}

// rolloutConfig returns the state machine's configuration for the change.
func (r Record) rolloutConfig() rollout.Config {
	return rollout.Config{
		Kind:     r.Change.Kind,
		FromSpec: r.FromSpec.Digest(),
		ToSpec:   r.ToSpec.Digest(),
		Stages:   r.Stages,
		Timing:   r.Change.Timing,
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// State returns the state of the rollout. It is ahead of the record while that cannot be written.
func (c *Coordinator) State() rollout.State { return c.machine.State }

// elapsed returns the time of the coordinator's own clock, in nanoseconds.
func (c *Coordinator) elapsed() int64 { return int64(time.Since(c.start)) }

// Run coordinates the change until its end is recorded, an error occurs, or ctx ends.
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

// Step polls the fleet once, advances the rollout and sends the orders that result.
func (c *Coordinator) Step(ctx context.Context) error {
	replies := c.fleet.Poll(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.checkFences(replies); err != nil {
		return err
	}
	seen, counts := c.observe(replies)
	if c.recordPending { // the previous state has to be recorded before the rollout may advance
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
	if !c.store.maySendOrders() { // leadership may end at any time after this check; the supervisors' fences cover that
		return ErrFenced
	}
	c.sendOrders(ctx, c.machine.Orders(seen))
	return nil
}

// checkFences returns ErrFenced if a supervisor has accepted an order with a higher fence than this coordinator's.
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

// advance steps the state machine, with the operator's pending request if it is a new one. It reports whether there is
// a new state to record.
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
