package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/operator"
	"swiftreel/internal/plan"
	"swiftreel/internal/planner"
	"swiftreel/internal/solve"
)

// planRecord is the replicated plan. It is numbered by the term in which it was computed and a sequence number within
// that term.
type planRecord struct {
	Term     Term          `json:"reign"`
	Sequence int64         `json:"count"`
	Digest   change.Digest `json:"digest"` // of Answer; empty if there is no plan
	Reason   string        `json:"why"`    // why a new plan was due
	Answer   solve.Answer  `json:"answer"`
}

// solution is the outcome of a solver run.
type solution struct {
	answer   solve.Answer
	reason   string
	duration time.Duration
}

// planning computes plans under one term. At most one solver runs at a time.
type planning struct {
	store      termStore
	planner    *planner.Planner
	solveLimit time.Duration
	current    planRecord
	text       json.RawMessage // of current.Answer
	running    chan solution   // nil while no solver runs
}

// newPlanning creates a planning that resumes from the replicated plan.
func newPlanning(store termStore, settings *operator.Planning, problem *solve.Problem, now int64) (*planning, error) {
	timing := planner.Timing{MaxInterval: settings.IntervalMS * nsPerMS, MinInterval: settings.MinIntervalMS * nsPerMS}
	p := &planning{
		store:      store,
		planner:    planner.New(*problem, timing, now),
		solveLimit: time.Duration(settings.SolveTimeoutMS) * time.Millisecond,
	}
	if err := store.readJSON(planItem, &p.current); err != nil {
		return nil, err
	}
	if p.current.Digest == "" {
		return p, nil
	}
	var err error
	p.text, err = json.Marshal(p.current.Answer)
	return p, err
}

// update adopts the solution of a finished solver, or starts a solver if none runs and a new plan is due.
func (p *planning) update(ctx context.Context, now int64, load planner.Observation) error {
	if p.running == nil {
		return p.startIfDue(ctx, now, load)
	}
	select {
	case solved := <-p.running:
		p.running = nil
		return p.adopt(solved)
	default:
		return nil
	}
}

// adopt commits a solution as the current plan.
func (p *planning) adopt(solved solution) error {
	hasPlan := len(solved.answer.Steps) > 0
	p.planner.ReportResult(hasPlan)
	if !hasPlan {
		slog.Warn("fleet_not_planned", "term", p.store.term, "status", solved.answer.Status, "reason", solved.reason)
		return nil
	}
	next := planRecord{
		Term:     p.store.term,
		Sequence: 1,
		Digest:   change.JSONDigest(solved.answer),
		Reason:   solved.reason,
		Answer:   solved.answer,
	}
	if p.current.Term == next.Term {
		next.Sequence = p.current.Sequence + 1
	}
	text, err := json.Marshal(next.Answer)
	if err != nil {
		return err
	}
	if err := p.store.writeJSON(planItem, next); err != nil {
		return err
	}
	p.current = next
	p.text = text
	slog.Info("fleet_planned", "term", next.Term, "sequence", next.Sequence, "plan", next.Digest,
		"status", next.Answer.Status, "reason", next.Reason, "duration_ms", solved.duration.Milliseconds())
	return nil
}

func (p *planning) startIfDue(ctx context.Context, now int64, load planner.Observation) error {
	problem, reason := p.planner.Next(now, load)
	if problem == nil {
		return nil
	}
	if unknown := p.planner.UnknownEngines(); len(unknown) > 0 {
		slog.Warn("engines_not_planned", "engines", strings.Join(unknown, ","))
	}
	if faults := problem.Check(); len(faults) > 0 {
		p.planner.ReportResult(false)
		return fmt.Errorf("invalid planning problem: %s", faults[0])
	}
	running := make(chan solution, 1) // buffered, so that the solver can finish after the term has ended
	p.running = running
	go func() { running <- p.solve(ctx, problem, reason) }()
	return nil
}

// solve computes a plan within the time limit, and stops early if ctx ends. A plan that fails verification is
// discarded.
func (p *planning) solve(ctx context.Context, problem *solve.Problem, reason string) solution {
	startedAt := time.Now()
	stop := func(perMille int) bool {
		return ctx.Err() != nil || time.Since(startedAt) >= p.solveLimit*time.Duration(perMille)/1000
	}
	answer := solve.Solve(problem, solve.Options{Method: solve.Solver{}, Stop: stop})
	if len(answer.Steps) > 0 && plan.Verify(problem, answer) != nil {
		answer.Steps = nil
	}
	return solution{answer: answer, reason: reason, duration: time.Since(startedAt)}
}
