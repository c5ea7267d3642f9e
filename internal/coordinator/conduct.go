// Package coordinator carries a recorded change through a fleet: it asks keepers how things are, has the stage judged and the
// machine stepped, records what has changed and only then sends orders. It decides nothing itself.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/rollout"
)

// ErrFenced: a keeper has taken a later order than ours. Another conducts, or a later change was begun.
var ErrFenced = errors.New("a later order was taken: another conducts")

// Conductor is one process's hold on a change.
type Conductor struct {
	folder  *Folder
	record  Record
	fleet   *Fleet
	machine *rollout.Machine
	base    *canary.Baseline
	judge   *canary.Analysis
	better  canary.RecoveryCheck
	seen    []known // by the member's place
	began   time.Time
	phase   rollout.Phase
	stage   int
	unsaid  bool // the state has changed and could not be recorded yet
	refused string
}

// Begin records a change that the fleet is to go through; nothing is ordered yet. Every controller has to answer, and to
// hold the same spec. take: it is known that whoever conducted this number before is gone.
func Begin(ctx context.Context, f *Folder, c change.Change, fleet *Fleet, take bool) error {
	old, is, err := f.Record()
	if err != nil {
		return err
	}
	if is && !old.State.Phase.Ends() {
		return fmt.Errorf("change %d is %s: resume it, or have it end first", old.Change.Number, old.State.Phase)
	}
	r := Record{By: name(), Change: c, State: rollout.State{Phase: rollout.Preparing, Fence: change.Fence{Number: c.Number, Term: 1, Turn: 1}}}
	for i, a := range fleet.Ask(ctx) {
		who := fleet.Members[i].Name
		switch s := a.Status; {
		case a.Err != nil:
			return fmt.Errorf("%s: %w", who, a.Err)
		case i > 0 && s.Spec.Digest() != r.From.Digest():
			return fmt.Errorf("%s holds spec %s, %s holds %s", who, s.Spec.Digest(), fleet.Members[0].Name, r.From.Digest())
		case s.Fence.Number > c.Number || s.Fence.Number == c.Number && !take:
			return fmt.Errorf("/number: %s has taken order %v by %s", who, s.Fence, s.OrderedBy)
		case s.Fence.Number == c.Number:
			r.State.Fence.Term = max(r.State.Fence.Term, s.Fence.Term+1)
		}
		if i == 0 {
			r.From = a.Status.Spec
		}
	}
	if r.To, err = c.Leads(r.From); err != nil {
		return err
	}
	if _, err := change.Layout(c.Stages, (&Conductor{fleet: fleet, base: canary.NewBaseline()}).places()); err != nil {
		return err
	}
	if f.agreed == nil {
		os.Remove(f.file("looks.jsonl"))
	}
	f.note(Step{At: failpoint.WallClock().UTC(), Number: c.Number, Phase: rollout.Preparing, Fence: r.State.Fence, Why: c.Title})
	return f.write("change.json", r)
}

// Take takes the recorded change over, under a term of its own.
func Take(f *Folder, fleet *Fleet) (*Conductor, error) {
	r, is, err := f.Record()
	if err != nil {
		return nil, err
	}
	if !is {
		return nil, fmt.Errorf("%s: no change is recorded", f.path)
	}
	base, err := f.Base()
	if err != nil {
		return nil, err
	}
	c := &Conductor{folder: f, record: r, fleet: fleet, base: base, seen: make([]known, len(fleet.Members)), began: time.Now(), stage: -1}
	fleet.patience = min(fleet.patience, time.Duration(r.Change.Pace.LookMS)*time.Millisecond) // one that is silent holds up no look
	if c.record.State.Fence.Term, err = f.term(r.State.Fence.Term); err != nil {
		return nil, err
	}
	if err := f.write("change.json", c.record); err != nil {
		return nil, err
	}
	c.machine = rollout.New(c.record.State, r.Change.Kind, r.From.Digest(), r.To.Digest(), r.Stages, r.Change.Pace, 0)
	slog.Info("rollout_taken", "number", r.Change.Number, "fence", c.record.State.Fence.String(), "phase", r.State.Phase)
	return c, nil
}

// State is where the change stands.
func (c *Conductor) State() rollout.State { return c.machine.State }

func (c *Conductor) now() int64 { return int64(time.Since(c.began)) }

// Run conducts until the change ends, or ctx does.
func (c *Conductor) Run(ctx context.Context) error {
	every := time.Duration(c.record.Change.Pace.LookMS) * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if err := c.Look(ctx); err != nil {
			return err
		}
		if c.machine.State.Phase.Ends() && !c.unsaid {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Look is one look at the fleet and what follows from it.
func (c *Conductor) Look(ctx context.Context) error {
	answers := c.fleet.Ask(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	in := rollout.Input{Now: c.now()}
	var looks []canary.Sample
	for i, a := range answers {
		if a.Err == nil && a.Status.Fence.Compare(c.machine.State.Fence) > 0 {
			slog.Error("rollout_fenced", "number", c.record.Change.Number, "member", a.Status.Name, "taken", a.Status.Fence.String(), "by", a.Status.OrderedBy,
				"ours", c.machine.State.Fence.String())
			return ErrFenced
		}
		m, s := c.see(i, a, in.Now)
		in.Members = append(in.Members, m)
		if a.Err == nil {
			looks = append(looks, s)
		}
	}
	if c.unsaid { // what was decided last counts once it is recorded, and nothing is decided before
		c.say()
		return nil
	}
	c.weigh(&in, looks)
	wish := c.folder.Wish()
	if wish.ID != c.record.Asked {
		in.Ask = wish.Ask
	}
	changed := c.machine.Step(in)
	if wish.ID != c.record.Asked {
		c.record.Asked, changed = wish.ID, true
	}
	if changed {
		if c.say(); c.unsaid {
			return nil
		}
	}
	if !c.folder.may() { // it was so when the look began; the receivers' fence holds against what comes after this
		return ErrFenced
	}
	c.order(ctx, c.machine.Orders(in))
	return nil
}

// see turns a keeper's answer into what the machine and the judge are told.
func (c *Conductor) see(i int, a Answer, now int64) (rollout.Member, canary.Sample) {
	k, s := &c.seen[i], a.Status
	name := c.fleet.Members[i].Name
	pace := c.record.Change.Pace
	if a.Err != nil {
		return rollout.Member{Name: name, Heard: k.heard != 0 && now-k.heard < pace.UnheardMS*1e6, Serves: k.status.Serving, Running: k.status.RunningSpec,
			Fence: k.status.Fence, Failed: k.status.Failure}, canary.Sample{}
	}
	d := k.apart(s)
	switch {
	case s.RunningSpec != c.record.To.Digest():
		k.since = 0
	case k.since == 0:
		k.since = max(1, now)
	}
	d.IsNew = k.since != 0 && now-k.since >= pace.SteadyMS*1e6
	k.status, k.heard = s, max(1, now)
	return rollout.Member{Name: name, Heard: true, Serves: s.Serving, Running: s.RunningSpec, Fence: s.Fence, Failed: s.Failure}, d
}

// weigh has what was seen taken in by whoever weighs it in this phase.
func (c *Conductor) weigh(in *rollout.Input, looks []canary.Sample) {
	s := c.machine.State
	if s.Phase != c.phase || s.Stage != c.stage {
		if c.phase, c.stage = s.Phase, s.Stage; s.Phase == rollout.Applying || s.Phase == rollout.Baking && c.judge == nil {
			c.judge = canary.NewAnalysis(c.record.Change.Limits, c.base, c.machine.New())
		}
		c.better = canary.RecoveryCheck{}
	}
	switch s.Phase {
	case rollout.Watching:
		c.base.Observe(looks)
	case rollout.Applying, rollout.Baking:
		c.judge.Observe(looks)
		in.Verdict = c.judge.Verdict(s.Phase == rollout.Baking && c.machine.Baked(in.Now))
	case rollout.Waiting:
		in.Better = c.better.Observe(c.record.Change.Limits, c.base, looks)
	}
	if !s.Phase.Ends() {
		c.folder.add("looks.jsonl", Point{failpoint.WallClock().UTC(), c.record.Change.Number, s.Phase, s.Stage, in.Verdict.EValue, armOf(canary.SumCounts(looks, false)), armOf(canary.SumCounts(looks, true))})
	}
}

// say records the state. Where that fails the conductor goes on looking and acts on nothing: the state is recorded before
// its orders, so that one who takes over knows all that can have been ordered.
func (c *Conductor) say() {
	s := c.machine.State
	var err error
	if s.Phase == rollout.Applying && len(c.record.Stages) == 0 {
		var stages [][]string
		if stages, err = change.Layout(c.record.Change.Stages, c.places()); err == nil {
			err = c.folder.write("base.json", c.base)
		}
		if err == nil {
			c.record.Stages = stages
			c.machine.Lay(stages)
		}
	}
	was := c.record.State
	c.record.State = s
	if err == nil {
		err = c.folder.write("change.json", c.record)
	}
	if err != nil {
		if !c.unsaid {
			slog.Error("rollout_not_recorded", "number", c.record.Change.Number, "reason", err)
		}
		c.record.State, c.unsaid = was, true
		return
	}
	c.unsaid = false
	if s.Phase != was.Phase || s.Stage != was.Stage {
		slog.Info("rollout_phase", "number", c.record.Change.Number, "phase", s.Phase, "stage", s.Stage+1, "fence", s.Fence.String(), "on", strings.Join(c.machine.New(), ","), "why", s.Why)
		c.folder.note(Step{failpoint.WallClock().UTC(), c.record.Change.Number, s.Phase, s.Stage, s.Fence, s.Why, s.Outcome})
	}
}

// places tells the layout what bears on who goes first.
func (c *Conductor) places() (list []change.Place) {
	for _, m := range c.fleet.Members {
		p := change.Place{Name: m.Name, Zone: m.Zone, Types: m.Types}
		for _, w := range c.base.CountsByMember[m.Name] {
			p.Jobs += w.Jobs
		}
		list = append(list, p)
	}
	return list
}

// order sends what the machine wants. What does not arrive is wanted again at the next look.
func (c *Conductor) order(ctx context.Context, orders []rollout.Order) {
	if len(orders) == 0 {
		return
	}
	list := map[int]change.Order{}
	for i, m := range c.fleet.Members {
		for _, o := range orders {
			if o.Member == m.Name {
				w := change.Order{Format: change.Format, Fence: c.machine.State.Fence, By: c.folder.by(c.record.By), Member: m.Name, Want: c.record.From, Drain: o.Drain}
				if o.New {
					w.Want = c.record.To
				}
				w.Why = c.machine.State.Why
				list[i] = w.In(change.FormatTo(c.seen[i].status.Format))
			}
		}
	}
	for i, err := range c.fleet.Order(ctx, list) {
		if text := c.fleet.Members[i].Name + ": " + err.Error(); text != c.refused {
			c.refused = text
			slog.Warn("order_not_taken", "member", c.fleet.Members[i].Name, "reason", err)
		}
	}
}
