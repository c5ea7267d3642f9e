package supervisor

import (
	"context"
	"log/slog"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/handover"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

// snapshot is the state that one step works on, copied while the lock is held.
type snapshot struct {
	order          change.AcceptedOrder
	assigned       assignment.Accepted
	current        *controller
	next           *controller
	hasPredecessor bool          // an older process is still draining
	ready          []*controller // controllers that responded to the last poll and are ready
	situation      situation
	recheckDue     bool // it is time to check whether the cause of a failed order is gone
}

// step polls the controllers and performs the next action.
func (s *Supervisor) step(ctx context.Context) {
	s.reapExited()
	s.noticeSuccessor(ctx)
	s.pollControllers(ctx)
	state := s.observe()
	if state.recheckDue {
		s.recheckFailure(state.order.Spec.Program)
	}
	s.deliverShare(ctx, state)
	s.perform(state)
}

// noticeSuccessor tells the current controller whether the next one may admit jobs without a link to it. It does so
// before the polls, which may take long: clients wait only some hundred milliseconds between two jobs of a key.
func (s *Supervisor) noticeSuccessor(ctx context.Context) {
	s.mu.Lock()
	current, next := s.current, s.next
	s.mu.Unlock()
	if current == nil {
		return
	}
	unlinked := next != nil && next.servesUnlinked()
	if unlinked == current.successorNoticed {
		return
	}
	if err := current.postNotice(ctx, &s.httpClient, handover.Notice{Running: unlinked}); err != nil {
		s.noticeLog.Warn("successor_not_noticed", "reason", err)
		return // retried in the next step
	}
	current.successorNoticed = unlinked
}

// pollControllers requests the reports of the current and the next controller.
func (s *Supervisor) pollControllers(ctx context.Context) {
	for _, c := range []*controller{s.current, s.next} {
		if c != nil {
			s.poll(ctx, c)
		}
	}
}

// poll requests a controller's report. A controller that rejects its operator file keeps its former configuration; poll
// then records the failure of the order.
func (s *Supervisor) poll(ctx context.Context, target *controller) {
	report, err := target.fetchReport(ctx, &s.httpClient)
	s.mu.Lock()
	if err != nil {
		target.report.Ready = false
		s.mu.Unlock()
		return
	}
	previous := target.report
	target.report = report
	runsOrder := report.SpecDigest == s.order.Spec.Digest() && target.program == s.order.Spec.Program
	if target == s.current && runsOrder {
		s.failure = ""
	}
	s.mu.Unlock()
	sameProcess := previous.StartedUnixNS == report.StartedUnixNS
	if sameProcess && report.ReloadsFailed > previous.ReloadsFailed && report.SpecDigest != target.config.spec {
		s.recordFailure(errFileRefused)
	}
}

// observe returns a consistent snapshot of the state.
func (s *Supervisor) observe() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotonic.Now()
	s.assignment = s.assignment.ValidAt(now)
	state := snapshot{
		order:          s.order,
		assigned:       s.assignment,
		current:        s.current,
		next:           s.next,
		hasPredecessor: len(s.draining) > 0,
	}
	for _, c := range []*controller{s.current, s.next} {
		if c != nil && c.report.Ready {
			state.ready = append(state.ready, c)
		}
	}
	state.situation = state.assess(now)
	state.situation.drainingCount = len(s.draining)
	state.situation.backingOff = time.Now().Before(s.startNotBefore)
	s.outOfService = state.order.Drain && state.current == nil && state.next == nil && !state.hasPredecessor
	checkedLongAgo := time.Since(s.failureCheckedAt) >= failureCheckInterval
	state.recheckDue = s.outOfService && s.failure != "" && checkedLongAgo
	return state
}

// assess compares the current and the next controller with the order. now is in nanoseconds of the monotonic clock.
func (state *snapshot) assess(now int64) situation {
	at := situation{
		drainOrdered: state.order.Drain,
		hasCurrent:   state.current != nil,
		hasNext:      state.next != nil,
	}
	ordered := state.order.Spec.Program
	if state.current != nil {
		wanted := wantedConfig(state.order, state.assigned, state.hasPredecessor)
		at.currentMatches = state.current.program == ordered
		at.currentConfigured = state.current.config.covers(wanted, now)
	}
	if state.next != nil {
		at.nextMatches = state.next.program == ordered
		at.nextReady = state.next.report.Ready && state.next.report.SpecDigest == state.order.Spec.Digest()
	}
	return at
}

// deliverShare sends the assigned share to the controllers that have not accepted it yet. Only ready controllers are
// contacted: waiting for one that hangs would delay orders.
func (s *Supervisor) deliverShare(ctx context.Context, state snapshot) {
	if state.assigned.Shares[quota.FleetThreads] <= 0 {
		return
	}
	id := idOf(state.assigned)
	share := shareOf(state.assigned)
	for _, c := range state.ready {
		if c.appliedAssignment == id {
			continue
		}
		if err := c.postShare(ctx, &s.httpClient, share); err != nil {
			continue // retried in the next step
		}
		s.mu.Lock()
		c.appliedAssignment = id
		s.mu.Unlock()
	}
}

// perform carries out the action that the snapshot calls for.
func (s *Supervisor) perform(state snapshot) {
	switch state.situation.decide() {
	case startController:
		if s.verifyProgram(state.order.Spec.Program) {
			s.startController(state.order, state.assigned)
		}
	case promoteNext:
		s.promoteNext(state)
	case discardNext:
		s.discardNext(state)
	case configureCurrent:
		s.reconfigure(state)
	case stopControllers:
		s.stopAll()
	case noAction:
	}
}

// promoteNext makes the next controller the current one and drains the former one.
func (s *Supervisor) promoteNext(state snapshot) {
	slog.Info("controller_promoted", "program", state.next.program.Path, "digest", state.next.program.Digest)
	s.mu.Lock()
	s.current = state.next
	s.next = nil
	s.mu.Unlock()
	s.drain(state.current)
}

// discardNext drains the next controller, which has never served.
func (s *Supervisor) discardNext(state snapshot) {
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	s.drain(state.next)
}

// reconfigure rewrites the current controller's operator file and reloads it.
func (s *Supervisor) reconfigure(state snapshot) {
	if s.writeOperatorFile(state.current, state.order, state.assigned, state.hasPredecessor) {
		state.current.reload()
	}
}
