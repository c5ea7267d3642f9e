package gateway

import (
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

// perMillion is the denominator of shares and weights in plans.
const perMillion = 1e6

// Plan is a sequence of plan steps for the module to follow.
type Plan struct {
	Steps        []solve.Step
	DemandFactor float64 // the plan is ignored where demand differs from it by more than this factor
}

// activePlan is the plan that the module currently follows.
type activePlan struct {
	generation int         // incremented with each plan, so that timers of earlier plans have no effect
	timer      *time.Timer // starts the next step; nil if there is none
}

func (a *activePlan) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}

// FollowPlan replaces the plan that the module follows; nil removes it. The steps of the plan begin at their times,
// relative to now. Since engine IDs are derived from names, a plan may arrive before its engines are listed.
func (g *Gateway) FollowPlan(plan *Plan) {
	g.mu.Lock()
	g.activePlan.generation++
	generation := g.activePlan.generation
	g.activePlan.stopTimer()
	g.mu.Unlock()
	if plan == nil {
		g.notify(choice.Event{Kind: choice.PlanUpdated})
		return
	}
	slog.Info("plan_taken", "steps", len(plan.Steps))
	g.beginStep(plan, 0, generation, time.Now())
}

// beginStep passes a step of a plan to the module and sets the timer for the next step.
func (g *Gateway) beginStep(plan *Plan, step, generation int, planStart time.Time) {
	modulePlan := g.modulePlan(plan.Steps[step], plan.DemandFactor)
	g.mu.Lock()
	if g.closed || generation != g.activePlan.generation {
		g.mu.Unlock()
		return
	}
	actions := g.decide(choice.Event{Kind: choice.PlanUpdated, Plan: modulePlan})
	if next := step + 1; next < len(plan.Steps) {
		beginsAt := planStart.Add(time.Duration(plan.Steps[next].FromMS) * time.Millisecond)
		g.activePlan.timer = time.AfterFunc(time.Until(beginsAt), func() { g.beginStep(plan, next, generation, planStart) })
	}
	g.mu.Unlock()
	g.perform(actions)
}

// modulePlan converts a step to the module's representation. It includes only the weights for this controller's zone,
// and ignores tenants and job types that are not in the settings.
func (g *Gateway) modulePlan(step solve.Step, demandFactor float64) *choice.Plan {
	plan := &choice.Plan{MaxDemandRatio: demandFactor}
	for _, share := range step.Shares {
		if id, known := g.ids.tenants[share.Tenant]; known {
			plan.Tenants = append(plan.Tenants, choice.PlanTenant{Tenant: id, Share: float64(share.PerMillion) / perMillion})
		}
	}
	for _, use := range step.Use {
		id := engineID(use.Engine)
		if use.Threads > 0 {
			plan.Engines = append(plan.Engines, choice.PlanEngine{Engine: id, Threads: float64(use.Threads)})
		} else {
			plan.IdleEngines = append(plan.IdleEngines, id)
		}
	}
	plan.Weights = g.planWeights(step.Weights)
	for _, served := range step.Served {
		plan.DemandThreads += float64(served.Requested)
	}
	return plan
}

// planWeights converts the weights of this controller's zone. They are scaled so that the largest weight of each job
// type is 1.
func (g *Gateway) planWeights(weights []solve.Weight) []choice.PlanWeight {
	maxByType := map[string]int64{}
	for _, weight := range weights {
		if weight.Zone == g.ids.ownZone {
			maxByType[weight.Type] = max(maxByType[weight.Type], weight.PerMillion)
		}
	}
	var list []choice.PlanWeight
	for _, weight := range weights {
		id, known := g.ids.types[weight.Type]
		if !known || weight.Zone != g.ids.ownZone || weight.PerMillion <= 0 {
			continue
		}
		list = append(list, choice.PlanWeight{
			Type:   id,
			Engine: engineID(weight.Engine),
			Weight: float64(weight.PerMillion) / float64(maxByType[weight.Type]),
		})
	}
	return list
}
