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

// plans is the plan that the operator's file says to follow, until it ends.
type plans struct {
	gate *gateway.Gateway

	mu    sync.Mutex
	now   *operator.Plan // followed
	timer *time.Timer    // of its end
	turn  int            // rises with each: a timer of an earlier one comes to nothing
}

// follow takes over what the file says. The same plan with another end is no new one.
func (p *plans) follow(f operator.File) {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := f.Plan
	if plan != nil && plan.UntilNS != 0 && plan.UntilNS <= monotonic.Now() {
		plan = nil
	}
	p.take(plan)
	if plan == nil || plan.UntilNS == 0 {
		return
	}
	turn := p.turn
	p.timer = time.AfterFunc(time.Duration(plan.UntilNS-monotonic.Now()), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if turn == p.turn {
			slog.Info("plan_ended")
			p.take(nil)
		}
	})
}

// take follows a plan, or none any more. The lock is held.
func (p *plans) take(plan *operator.Plan) {
	if p.turn++; p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	was := p.now
	p.now = plan
	switch {
	case plan == nil && was == nil:
	case plan == nil:
		p.gate.Follow(nil)
	case was == nil || was.DemandFactor != plan.DemandFactor || !reflect.DeepEqual(was.Answer, plan.Answer):
		p.gate.Follow(&gateway.Plan{Steps: plan.Answer.Steps, Factor: plan.DemandFactor})
	}
}

// close ends the timer; what is followed stays.
func (p *plans) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turn++; p.timer != nil {
		p.timer.Stop()
	}
}
