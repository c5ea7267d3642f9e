package gateway

import (
	"hash/fnv"
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

// Plan is a plan to follow, and how far demand may be off.
type Plan struct {
	Steps  []solve.Step
	Factor float64
}

// following is the plan at hand; the timer of its next step empties with it.
type following struct {
	turn  int // rises with each plan: a timer of an earlier one comes to nothing
	timer *time.Timer
}

// Follow takes a plan over from now on, its steps in their time; nil: none is followed any more. All that a plan knows
// by names is numbered here: engines by their names as the roster does, so that a plan may come before its engines.
func (g *Gateway) Follow(p *Plan) {
	g.mu.Lock()
	g.following.turn++
	turn := g.following.turn
	if g.following.timer != nil {
		g.following.timer.Stop()
		g.following.timer = nil
	}
	g.mu.Unlock()
	if p == nil {
		g.tell(choice.Event{Kind: choice.PlanUpdated})
		return
	}
	slog.Info("plan_taken", "steps", len(p.Steps))
	g.step(p, 0, turn, time.Now())
}

// step tells the module of a step, and waits for the next.
func (g *Gateway) step(p *Plan, i, turn int, began time.Time) {
	told := g.planned(p.Steps[i], p.Factor)
	g.mu.Lock()
	if g.ended || turn != g.following.turn {
		g.mu.Unlock()
		return
	}
	rest := g.decide(choice.Event{Kind: choice.PlanUpdated, Plan: told})
	if i+1 < len(p.Steps) {
		at := began.Add(time.Duration(p.Steps[i+1].FromMS) * time.Millisecond)
		g.following.timer = time.AfterFunc(time.Until(at), func() { g.step(p, i+1, turn, began) })
	}
	g.mu.Unlock()
	g.carry(rest)
}

// planned puts a step into the module's numbers, as far as it bears on jobs from this controller's zone. What the
// settings do not name is passed over.
func (g *Gateway) planned(s solve.Step, factor float64) *choice.Plan {
	p := &choice.Plan{MaxDemandRatio: factor}
	for _, share := range s.Shares {
		if id, is := g.names.tenants[share.Tenant]; is {
			p.Tenants = append(p.Tenants, choice.PlanTenant{Tenant: id, Share: float64(share.PerMio) / 1e6})
		}
	}
	for _, u := range s.Use {
		if id := engineNumber(u.Engine); u.Threads > 0 {
			p.Engines = append(p.Engines, choice.PlanEngine{Engine: id, Threads: float64(u.Threads)})
		} else {
			p.IdleEngines = append(p.IdleEngines, id)
		}
	}
	most := map[string]int64{}
	for _, w := range s.Weights {
		if w.Zone == g.names.own {
			most[w.Type] = max(most[w.Type], w.PerMio)
		}
	}
	for _, w := range s.Weights {
		if id, is := g.names.types[w.Type]; is && w.Zone == g.names.own && w.PerMio > 0 {
			p.Weights = append(p.Weights, choice.PlanWeight{Type: id, Engine: engineNumber(w.Engine),
				Weight: float64(w.PerMio) / float64(most[w.Type])})
		}
	}
	for _, t := range s.Served {
		p.DemandThreads += float64(t.Asked)
	}
	return p
}

// engineNumber is the number of an engine's name, where no other has it already.
func engineNumber(name string) choice.EngineID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return choice.EngineID(h.Sum32())
}
