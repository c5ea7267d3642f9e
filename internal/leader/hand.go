package leader

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/operator"
	"swiftreel/internal/plan"
	"swiftreel/internal/planner"
	"swiftreel/internal/quota"
	"swiftreel/internal/solve"
	"swiftreel/internal/supervisor"
)

// Names of what is agreed for it.
const (
	partsItem = "parts.json"
	planItem  = "plan.json"
)

// handEvery is from one look at the fleet to the next: parts and plans are renewed at each.
const handEvery = time.Second

// planned is a plan as it is agreed: numbered by the reign that made it, and a count under that.
type planned struct {
	Reign  Reign         `json:"reign"`
	Count  int64         `json:"count"`
	Digest change.Digest `json:"digest"`
	Why    string        `json:"why"`
	Answer solve.Answer  `json:"answer"`
}

// hands is the duty of planning and of parting what controllers carry, under one reign. It decides nothing: parts and planner
// do; it asks, has agreed on what they want, and only then hands it out.
type hands struct {
	d      *Duties
	a      agreement
	fleet  *coordinator.Fleet
	began  time.Time
	seen   []seen
	demand *quota.Demand
	ledger *quota.Ledger    // nil: nothing is parted
	plans  *planner.Planner // nil: nothing is planned
	now    planned          // followed; no digest: none
	text   json.RawMessage  // of its answer
	solved chan outcome     // of the one solve under way
}

// seen is what is remembered of a member from look to look.
type seen struct {
	status supervisor.Status
	heard  int64 // owner's time; 0: never
}

type outcome struct {
	answer solve.Answer
	why    string
	took   time.Duration
}

func newHands(d *Duties, a agreement) (*hands, error) {
	h := &hands{d: d, a: a, fleet: coordinator.NewFleet(d.fleet.Members, askTime, handEvery/2), began: time.Now(), seen: make([]seen, len(d.fleet.Members)), demand: quota.NewDemand()}
	if p := d.fleet.Parts; p != nil {
		var r quota.Record
		if err := h.read(partsItem, &r); err != nil {
			return nil, err
		}
		h.ledger = quota.NewLedger(r, p.LifeMS*1e6, h.time())
	}
	if p := d.fleet.Planning; p != nil {
		h.fleet.Engines = true
		h.plans = planner.New(*d.problem, planner.Pace{Every: p.EveryMS * 1e6, Least: p.LeastMS * 1e6}, h.time())
		if err := h.read(planItem, &h.now); err != nil {
			return nil, err
		}
		if h.now.Digest != "" {
			h.text, _ = json.Marshal(h.now.Answer)
		}
	}
	return h, nil
}

func (h *hands) read(name string, into any) error {
	text, is := h.a.Read(name)
	if !is {
		return nil
	}
	return json.Unmarshal(text, into)
}

func (h *hands) time() int64 { return int64(time.Since(h.began)) + 1 }

// run hands out until ctx ends.
func (h *hands) run(ctx context.Context) {
	defer h.d.asks(h.fleet)()
	tick := time.NewTicker(handEvery)
	defer tick.Stop()
	for {
		if err := h.look(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("hands_empty", "reign", h.a.reign, "reason", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look is one look at the fleet and what follows from it.
func (h *hands) look(ctx context.Context) error {
	answers := h.fleet.Ask(ctx)
	now := h.time() // what the answers tell of their members' time is older than this
	if !h.a.May() { // asked after the answers came: what is handed out ends by times that they told
		return nil
	}
	rates, engines := h.take(answers, now)
	want := h.demand.Want(now)
	if h.ledger != nil {
		if next, differs := h.ledger.Next(want, now); differs {
			text, err := json.Marshal(next)
			if err == nil {
				err = h.a.Write(partsItem, text)
			}
			if err != nil {
				h.ledger.Doubt()
				return err
			}
			h.ledger.Agreed(next)
		}
	}
	if h.plans != nil {
		if err := h.plan(ctx, now, rates, engines); err != nil {
			return err
		}
	}
	if !h.a.May() {
		return nil
	}
	words := map[int]assignment.Word{}
	for i, m := range h.fleet.Members {
		s := &h.seen[i]
		if answers[i].Err != nil || s.status.Format < 2 { // one of the form before takes no words: it goes on as without an owner
			continue
		}
		h.d.count++
		w := assignment.Word{Format: change.Format, Reign: int64(h.a.reign), Count: h.d.count, Owner: h.a.Name(), Member: m.Name, Life: s.status.Life}
		if h.ledger != nil {
			if w.Part = h.ledger.Give(m.Name, want[m.Name], now, w.Count); len(w.Part) > 0 {
				w.PartUntil = s.status.BootNS + h.d.fleet.Parts.LifeMS*1e6
			}
		}
		if h.now.Digest != "" && h.d.fleet.Planning != nil {
			w.Plan, w.PlanUntil = h.now.Digest, s.status.BootNS+h.d.fleet.Planning.LifeMS*1e6
			if s.status.Word.Plan != w.Plan {
				w.Text = h.text
			}
		}
		words[i] = w
	}
	for i, err := range h.fleet.Hand(ctx, words) {
		if text := h.fleet.Members[i].Name + ": " + err.Error(); text != h.d.refused {
			h.d.refused = text
			slog.Warn("word_not_taken", "reign", h.a.reign, "member", h.fleet.Members[i].Name, "reason", err)
		}
	}
	if h.ledger != nil {
		h.ledger.Forget(now)
	}
	return nil
}

// take turns keepers' answers into what parts and planner are told.
func (h *hands) take(answers []coordinator.Answer, now int64) (rates map[string]map[canary.Group]float64, engines [][]string) {
	var list []quota.Seen
	for i, a := range answers {
		m, k := h.fleet.Members[i], &h.seen[i]
		s := quota.Seen{Member: m.Name, Heard: a.Err == nil}
		if a.Err == nil {
			if k.heard != 0 && k.status.Started == a.Status.Started {
				s.Span, s.Work = now-k.heard, map[canary.Group]canary.Work{}
				for g, w := range a.Status.Work {
					s.Work[g] = w.Less(k.status.Work[g])
				}
			}
			if h.ledger != nil && a.Status.Word.Reign == int64(h.a.reign) {
				h.ledger.Holds(m.Name, a.Status.Carried)
			}
			if len(a.Status.Engines) > 0 {
				engines = append(engines, a.Status.Engines)
			}
			k.status, k.heard = a.Status, now
		}
		list = append(list, s)
	}
	h.demand.Look(now, list, func(took []uint64) float64 { return float64(jobstats.Quantile(took, 50)) })
	rates = map[string]map[canary.Group]float64{}
	for name, by := range h.demand.Rates() {
		m, _ := h.d.fleet.Find(name)
		if rates[m.Zone] == nil {
			rates[m.Zone] = map[canary.Group]float64{}
		}
		for g, n := range by {
			rates[m.Zone][g] += n
		}
	}
	return rates, engines
}

// plan takes up a solve that has ended, and begins one where it is due.
func (h *hands) plan(ctx context.Context, now int64, rates map[string]map[canary.Group]float64, engines [][]string) error {
	if h.solved != nil {
		select {
		case o := <-h.solved:
			h.solved = nil
			is := len(o.answer.Steps) > 0
			h.plans.Solved(is)
			if !is {
				slog.Warn("fleet_not_planned", "reign", h.a.reign, "status", o.answer.Status, "why", o.why)
				break
			}
			next := planned{Reign: h.a.reign, Count: 1, Why: o.why, Answer: o.answer, Digest: change.OfJSON(o.answer)}
			if h.now.Reign == next.Reign {
				next.Count = h.now.Count + 1
			}
			text, err := json.Marshal(next)
			if err == nil {
				err = h.a.Write(planItem, text)
			}
			if err != nil {
				return err
			}
			h.now = next
			h.text, _ = json.Marshal(next.Answer)
			slog.Info("fleet_planned", "reign", next.Reign, "count", next.Count, "plan", next.Digest, "status", next.Answer.Status, "why", next.Why, "took_ms", o.took.Milliseconds())
		default:
		}
		return nil
	}
	p, why := h.plans.Look(now, planner.Seen{Rates: rates, Engines: engines})
	if p == nil {
		return nil
	}
	if list := h.plans.Strange(); len(list) > 0 {
		slog.Warn("engines_not_planned", "engines", strings.Join(list, ","))
	}
	if faults := p.Check(); len(faults) > 0 {
		h.plans.Solved(false)
		return errors.New("the problem: " + faults[0].String())
	}
	done := make(chan outcome, 1)
	h.solved = done
	go func() {
		from := time.Now()
		within := time.Duration(h.d.fleet.Planning.SolveMS) * time.Millisecond
		a := solve.Solve(p, solve.Options{Method: solve.Solver{}, Stop: func(perMille int) bool {
			return ctx.Err() != nil || time.Since(from) >= within*time.Duration(perMille)/1000
		}})
		if len(a.Steps) > 0 && plan.Check(p, a) != nil {
			a.Steps = nil
		}
		done <- outcome{a, why, time.Since(from)}
	}()
	return nil
}

// problemOf reads what planning begins from.
func problemOf(f *operator.Fleet, folder string) (*solve.Problem, error) {
	if f.Planning == nil {
		return nil, nil
	}
	path := f.Planning.Problem
	if !filepath.IsAbs(path) {
		path = filepath.Join(folder, path)
	}
	return plan.Problem(path)
}
