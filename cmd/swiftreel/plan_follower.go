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

// planFollower makes the gateway follow the plan in the operator's file until the plan expires.
type planFollower struct {
	gateway *gateway.Gateway

	mu         sync.Mutex
	current    *operator.Plan // nil if none is followed
	timer      *time.Timer    // fires when current expires; nil if it does not expire
	generation int            // incremented with each change, so that a timer of an earlier plan has no effect
}

// follow replaces the current plan; nil ends it. A plan that differs only in its expiry continues without interruption.
func (p *planFollower) follow(plan *operator.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if plan != nil && plan.UntilNS != 0 && plan.UntilNS <= monotonic.Now() {
		plan = nil
	}
	p.set(plan)
	if plan != nil && plan.UntilNS != 0 {
		p.expireAfter(time.Duration(plan.UntilNS - monotonic.Now()))
	}
}

// expireAfter starts the timer that ends the current plan. The caller must hold the lock.
func (p *planFollower) expireAfter(delay time.Duration) {
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

// set makes plan the current one and passes it to the gateway if it differs from the previous one. The caller must hold
// the lock.
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

// stopTimer stops the timer of the current plan. The caller must hold the lock.
func (p *planFollower) stopTimer() {
	p.generation++
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// close stops the timer. The gateway keeps following the current plan.
func (p *planFollower) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopTimer()
}
