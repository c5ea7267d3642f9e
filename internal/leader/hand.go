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
	quotaItem = "parts.json"
	planItem  = "plan.json"
)

// handEvery is from one look at the fleet to the next: parts and plans are renewed at each.
const assignmentInterval = time.Second

// planned is a plan as it is agreed: numbered by the reign that made it, and a count under that.
type planRecord struct {
	Term     Term          `json:"reign"`
	Sequence int64         `json:"count"`
	Digest   change.Digest `json:"digest"`
	Reason   string        `json:"why"`
	Answer   solve.Answer  `json:"answer"`
}

// hands is the duty of planning and of parting what controllers carry, under one reign. It decides nothing: parts and planner
// do; it asks, has agreed on what they want, and only then hands it out.
type distributor struct {
	duties       *Duties
	replicated   agreement
	fleet        *coordinator.FleetClient
	startedAt    time.Time
	lastStatuses []memberObservation
	demand       *quota.Demand
	ledger       *quota.Ledger    // nil: nothing is parted
	planner      *planner.Planner // nil: nothing is planned
	currentPlan  planRecord       // followed; no digest: none
	planText     json.RawMessage  // of its answer
	solving      chan outcome     // of the one solve under way
}

// seen is what is remembered of a member from look to look.
type memberObservation struct {
	status     supervisor.Status
	observedAt int64 // owner's time; 0: never
}

type outcome struct {
	answer solve.Answer
	why    string
	took   time.Duration
}

func newDistributor(d *Duties, a agreement) (*distributor, error) {
	h := &distributor{duties: d, replicated: a, fleet: coordinator.NewFleetClient(d.fleet.Members, requestTimeout, assignmentInterval/2), startedAt: time.Now(), lastStatuses: make([]memberObservation, len(d.fleet.Members)), demand: quota.NewDemand()}
	if p := d.fleet.Parts; p != nil {
		var r quota.Record
		if err := h.read(quotaItem, &r); err != nil {
			return nil, err
		}
		h.ledger = quota.NewLedger(r, p.LifeMS*1e6, h.time())
	}
	if p := d.fleet.Planning; p != nil {
		h.fleet.IncludeEngines = true
		h.planner = planner.New(*d.problem, planner.Timing{MaxInterval: p.EveryMS * 1e6, MinInterval: p.LeastMS * 1e6}, h.time())
		if err := h.read(planItem, &h.currentPlan); err != nil {
			return nil, err
		}
		if h.currentPlan.Digest != "" {
			h.planText, _ = json.Marshal(h.currentPlan.Answer)
		}
	}
	return h, nil
}

func (h *distributor) read(name string, into any) error {
	text, is := h.replicated.Read(name)
	if !is {
		return nil
	}
	return json.Unmarshal(text, into)
}

func (h *distributor) time() int64 { return int64(time.Since(h.startedAt)) + 1 }

// run hands out until ctx ends.
func (h *distributor) run(ctx context.Context) {
	defer h.duties.registerPoll(h.fleet)()
	tick := time.NewTicker(assignmentInterval)
	defer tick.Stop()
	for {
		if err := h.distribute(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("hands_empty", "reign", h.replicated.term, "reason", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look is one look at the fleet and what follows from it.
func (h *distributor) distribute(ctx context.Context) error {
	answers := h.fleet.Poll(ctx)
	now := h.time()               // what the answers tell of their members' time is older than this
	if !h.replicated.IsLeader() { // asked after the answers came: what is handed out ends by times that they told
		return nil
	}
	rates, engines := h.observe(answers, now)
	want := h.demand.Targets(now)
	if h.ledger != nil {
		if next, differs := h.ledger.NextRecord(want, now); differs {
			text, err := json.Marshal(next)
			if err == nil {
				err = h.replicated.Write(quotaItem, text)
			}
			if err != nil {
				h.ledger.MarkUncertain()
				return err
			}
			h.ledger.Commit(next)
		}
	}
	if h.planner != nil {
		if err := h.plan(ctx, now, rates, engines); err != nil {
			return err
		}
	}
	if !h.replicated.IsLeader() {
		return nil
	}
	words := map[int]assignment.Assignment{}
	for i, m := range h.fleet.Members {
		s := &h.lastStatuses[i]
		if answers[i].Err != nil || s.status.Format < 2 { // one of the form before takes no words: it goes on as without an owner
			continue
		}
		h.duties.sequence++
		w := assignment.Assignment{Format: change.Format, Term: int64(h.replicated.term), Sequence: h.duties.sequence, Leader: h.replicated.LeaderName(), Member: m.Name, Incarnation: s.status.Life}
		if h.ledger != nil {
			if w.Shares = h.ledger.Grant(m.Name, want[m.Name], now, w.Sequence); len(w.Shares) > 0 {
				w.SharesUntil = s.status.BootNS + h.duties.fleet.Parts.LifeMS*1e6
			}
		}
		if h.currentPlan.Digest != "" && h.duties.fleet.Planning != nil {
			w.Plan, w.PlanUntil = h.currentPlan.Digest, s.status.BootNS+h.duties.fleet.Planning.LifeMS*1e6
			if s.status.Word.Plan != w.Plan {
				w.PlanText = h.planText
			}
		}
		words[i] = w
	}
	for i, err := range h.fleet.SendAssignments(ctx, words) {
		if text := h.fleet.Members[i].Name + ": " + err.Error(); text != h.duties.lastRejection {
			h.duties.lastRejection = text
			slog.Warn("word_not_taken", "reign", h.replicated.term, "member", h.fleet.Members[i].Name, "reason", err)
		}
	}
	if h.ledger != nil {
		h.ledger.DropExpired(now)
	}
	return nil
}

// take turns keepers' answers into what parts and planner are told.
func (h *distributor) observe(answers []coordinator.StatusReply, now int64) (rates map[string]map[canary.Group]float64, engines [][]string) {
	var list []quota.Observation
	for i, a := range answers {
		m, k := h.fleet.Members[i], &h.lastStatuses[i]
		s := quota.Observation{Member: m.Name, Reachable: a.Err == nil}
		if a.Err == nil {
			if k.observedAt != 0 && k.status.Started == a.Status.Started {
				s.Interval, s.Work = now-k.observedAt, map[canary.Group]canary.Work{}
				for g, w := range a.Status.Work {
					s.Work[g] = w.Less(k.status.Work[g])
				}
			}
			if h.ledger != nil && a.Status.Word.Term == int64(h.replicated.term) {
				h.ledger.Confirm(m.Name, a.Status.Carried)
			}
			if len(a.Status.Engines) > 0 {
				engines = append(engines, a.Status.Engines)
			}
			k.status, k.observedAt = a.Status, now
		}
		list = append(list, s)
	}
	h.demand.Observe(now, list, func(took []uint64) float64 { return float64(jobstats.Quantile(took, 50)) })
	rates = map[string]map[canary.Group]float64{}
	for name, by := range h.demand.Rates() {
		m, _ := h.duties.fleet.Find(name)
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
func (h *distributor) plan(ctx context.Context, now int64, rates map[string]map[canary.Group]float64, engines [][]string) error {
	if h.solving != nil {
		select {
		case o := <-h.solving:
			h.solving = nil
			is := len(o.answer.Steps) > 0
			h.planner.ReportResult(is)
			if !is {
				slog.Warn("fleet_not_planned", "reign", h.replicated.term, "status", o.answer.Status, "why", o.why)
				break
			}
			next := planRecord{Term: h.replicated.term, Sequence: 1, Reason: o.why, Answer: o.answer, Digest: change.JSONDigest(o.answer)}
			if h.currentPlan.Term == next.Term {
				next.Sequence = h.currentPlan.Sequence + 1
			}
			text, err := json.Marshal(next)
			if err == nil {
				err = h.replicated.Write(planItem, text)
			}
			if err != nil {
				return err
			}
			h.currentPlan = next
			h.planText, _ = json.Marshal(next.Answer)
			slog.Info("fleet_planned", "reign", next.Term, "count", next.Sequence, "plan", next.Digest, "status", next.Answer.Status, "why", next.Reason, "took_ms", o.took.Milliseconds())
		default:
		}
		return nil
	}
	p, why := h.planner.Next(now, planner.Observation{Rates: rates, Engines: engines})
	if p == nil {
		return nil
	}
	if list := h.planner.UnknownEngines(); len(list) > 0 {
		slog.Warn("engines_not_planned", "engines", strings.Join(list, ","))
	}
	if faults := p.Check(); len(faults) > 0 {
		h.planner.ReportResult(false)
		return errors.New("the problem: " + faults[0].String())
	}
	done := make(chan outcome, 1)
	h.solving = done
	go func() {
		from := time.Now()
		within := time.Duration(h.duties.fleet.Planning.SolveMS) * time.Millisecond
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
