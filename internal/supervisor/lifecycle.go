package supervisor

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/operator"
)

// startController starts a controller with the ordered spec: as the next one if there is a current one, otherwise as
// the current one.
func (s *Supervisor) startController(order change.AcceptedOrder, assigned assignment.Accepted) {
	c := &controller{
		program:      order.Spec.Program,
		operatorFile: s.nextOperatorFilePath(),
		startedAt:    time.Now(),
		exited:       make(chan struct{}),
		onAddress:    s.wakeUp,
	}
	s.mu.Lock()
	hasCurrent := s.current != nil
	predecessor := s.predecessor()
	s.mu.Unlock()
	if !s.writeOperatorFile(c, order, assigned, predecessor != nil) {
		return
	}
	err := c.start(s.environment(c, predecessor), s.options.LogOutput)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.recordCrash(0, err)
	case hasCurrent:
		s.next = c
	default:
		s.current = c
	}
}

// predecessor returns the process that a controller started now replaces, or nil. The lock must be held.
func (s *Supervisor) predecessor() *controller {
	if s.current == nil && len(s.draining) > 0 {
		return s.draining[len(s.draining)-1]
	}
	return s.current
}

// environment returns the environment of a controller.
func (s *Supervisor) environment(c, predecessor *controller) []string {
	environment := append(slices.Clone(s.options.Environment), operatorFileVariable+"="+c.operatorFile,
		operator.DrainEnvironment(s.options.DrainTimeout), operator.NoticesEnvironment())
	if predecessor == nil {
		return environment
	}
	if identity, known := predecessor.identity(); known {
		environment = append(environment, operator.PredecessorEnvironment(identity))
	}
	return environment
}

// reapExited removes controllers that have exited and kills those that exceed the drain timeout.
func (s *Supervisor) reapExited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range []**controller{&s.current, &s.next} {
		if c := *slot; c != nil && c.hasExited() {
			*slot = nil
			s.recordCrash(time.Since(c.startedAt), c.exitErr)
		}
	}
	s.draining = slices.DeleteFunc(s.draining, func(c *controller) bool {
		if !c.hasExited() && time.Since(c.drainStartedAt) > s.options.DrainTimeout {
			slog.Error("controller_killed", "drain_timeout_ms", s.options.DrainTimeout.Milliseconds())
			c.kill()
		}
		return c.hasExited()
	})
}

// recordCrash records an unexpected exit or a failed start and schedules the restart. The lock must be held.
func (s *Supervisor) recordCrash(runTime time.Duration, reason error) {
	delay := s.backoff.recordCrash(runTime)
	s.startNotBefore = time.Now().Add(delay)
	slog.Error("controller_exited", "reason", fmt.Sprint(reason), "crashes", s.backoff.crashes,
		"restart_delay_ms", delay.Milliseconds())
}

// drain makes a controller finish its outstanding jobs and exit. It does nothing if c is nil.
func (s *Supervisor) drain(c *controller) {
	if c == nil {
		return
	}
	c.terminate()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.drainStartedAt = time.Now()
	s.draining = append(s.draining, c)
}

// stopAll drains all controllers.
func (s *Supervisor) stopAll() {
	s.mu.Lock()
	current, next := s.current, s.next
	s.current, s.next = nil, nil
	s.mu.Unlock()
	s.drain(current)
	s.drain(next)
}
