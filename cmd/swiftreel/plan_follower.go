package main

import (
	"log/slog"
	"reflect"
	"sync"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/operator"
)

// planFollower has the gateway follow the plan of the operator's file until the plan ends.
type planFollower struct {
	gateway *gateway.Gateway

	mu         sync.Mutex
	current    *operator.Plan // followed now; nil: none
	timer      *time.Timer    // of its end; nil: it does not end
	generation int            // increases with each change, so that a timer of an earlier plan has no effect
}

// follow changes to another plan; nil ends the one before. The same plan with another end is not a new one.
func (p *planFollower) follow(plan *operator.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if plan != nil && plan.UntilNS != 0 && plan.UntilNS <= monotonic.Now() {
		plan = nil
	}
	p.set(plan)
	if plan != nil && plan.UntilNS != 0 {
		p.endAfter(time.Duration(plan.UntilNS - monotonic.Now()))
	}
}

// endAfter sets the timer that ends the current plan. The caller holds the lock.
func (p *planFollower) endAfter(delay time.Duration) {
	generation := p.generation
	p.timer = time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if generation == p.generation {
			slog.Info("plan_ended")
			p.set(nil)
		}
	})
}

// set makes a plan the current one, and tells the gateway if it differs from the one before. The caller holds the lock.
func (p *planFollower) set(plan *operator.Plan) {
	p.stopTimer()
	previous := p.current
	p.current = plan
	switch {
	case plan == nil && previous == nil:
	case plan == nil:
		p.gateway.FollowPlan(nil)
	case previous == nil || !samePlan(previous, plan):
		p.gateway.FollowPlan(&gateway.Plan{Steps: plan.Answer.Steps, DemandFactor: plan.DemandFactor})
	}
}

func samePlan(a, b *operator.Plan) bool {
	return a.DemandFactor == b.DemandFactor && reflect.DeepEqual(a.Answer, b.Answer)
}

// stopTimer stops the timer of the current plan. The caller holds the lock.
func (p *planFollower) stopTimer() {
	p.generation++
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// close stops the timer. The current plan stays.
func (p *planFollower) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopTimer()
}
