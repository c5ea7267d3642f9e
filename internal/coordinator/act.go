package coordinator

import (
	"context"
	"log/slog"
	"strings"

	"swiftreel/internal/change"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/rollout"
)

// recordState records the state machine's state. If that fails, the coordinator continues to poll but sends no orders:
// a state is recorded before its orders are sent, so that a successor knows of every order that may have been sent.
func (c *Coordinator) recordState() {
	state := c.machine.State
	previous := c.record.State
	err := c.planStages(state)
	if err == nil {
		c.record.State = state
		err = c.store.write(recordFile, c.record)
	}
	if err != nil {
		if !c.recordPending {
			slog.Error("rollout_not_recorded", "number", c.record.Change.Number, "reason", err)
		}
		c.record.State = previous
		c.recordPending = true
		return
	}
	c.recordPending = false
	if state.Phase != previous.Phase || state.Stage != previous.Stage {
		c.reportTransition(state)
	}
}

// planStages determines the members of each stage when the first stage begins, and stores the baseline, with which the
// stages are compared.
func (c *Coordinator) planStages(state rollout.State) error {
	if state.Phase != rollout.PhaseApplying || len(c.record.Stages) > 0 {
		return nil
	}
	stages, err := change.PlanStages(c.record.Change.Stages, candidates(c.fleet.Members, c.baseline))
	if err != nil {
		return err
	}
	if err := c.store.write(baselineFile, c.baseline); err != nil {
		return err
	}
	c.record.Stages = stages
	c.machine.SetStages(stages)
	return nil
}

func (c *Coordinator) reportTransition(state rollout.State) {
	number := c.record.Change.Number
	slog.Info("rollout_phase", "number", number, "phase", state.Phase, "stage", state.Stage+1,
		"fence", state.Fence.String(), "on", strings.Join(c.machine.TargetMembers(), ","), "why", state.Reason)
	c.store.addTransition(Transition{
		Time:    failpoint.WallClock().UTC(),
		Number:  number,
		Phase:   state.Phase,
		Stage:   state.Stage,
		Fence:   state.Fence,
		Reason:  state.Reason,
		Outcome: state.Outcome,
	})
}

// sendOrders sends the state machine's orders. An order that is lost is sent again after the next poll.
func (c *Coordinator) sendOrders(ctx context.Context, wanted []rollout.Order) {
	if len(wanted) == 0 {
		return
	}
	byName := map[string]rollout.Order{}
	for _, order := range wanted {
		byName[order.Member] = order
	}
	messages := map[int]change.Order{}
	for i, member := range c.fleet.Members {
		if order, found := byName[member.Name]; found {
			messages[i] = c.message(order).ForFormat(change.FormatFor(c.members[i].status.Format))
		}
	}
	for i, err := range c.fleet.SendOrders(ctx, messages) {
		c.reportRejection(c.fleet.Members[i].Name, err)
	}
}

// message returns an order in the form that is sent to its recipient.
func (c *Coordinator) message(order rollout.Order) change.Order {
	spec := c.record.FromSpec
	if order.UseTarget {
		spec = c.record.ToSpec
	}
	state := c.machine.State
	return change.Order{
		Format:        change.Format,
		Fence:         state.Fence,
		CoordinatorID: c.store.coordinatorID(c.record.ID),
		Member:        order.Member,
		Spec:          spec,
		Drain:         order.Drain,
		Reason:        state.Reason,
	}
}

// reportRejection logs an order that was refused or lost, unless the previous log entry was the same.
func (c *Coordinator) reportRejection(member string, err error) {
	text := member + ": " + err.Error()
	if text == c.lastRejection {
		return
	}
	c.lastRejection = text
	slog.Warn("order_not_taken", "member", member, "reason", err)
}
