package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/schema"
	"swiftreel/internal/solve"
)

// Duties are what is done once for the whole fleet, by whoever owns it: now, conducting its changes. They begin under a
// reign, end with it, and are taken up by the next owner from what was agreed.
type Duties struct {
	node    *Node
	fleet   *operator.Fleet
	members []operator.Member
	problem *solve.Problem // to plan from
	one     sync.Mutex     // a change is begun at a time
	fitness Fitness

	mu    sync.Mutex
	under []*coordinator.Fleet // asked by duties under way

	count   int64  // of words handed out by this process: it rises over reigns too
	refused string // the last word that was, as logged
}

// agreement is what is agreed, under a reign.
type agreement struct {
	node  *Node
	reign Reign
}

func (a agreement) Read(name string) ([]byte, bool) { return a.node.Item(name) }
func (a agreement) Write(name string, value []byte) error {
	return a.node.Propose(a.reign, name, value)
}
func (a agreement) May() bool    { return a.node.May() == a.reign }
func (a agreement) Term() int64  { return int64(a.reign) }
func (a agreement) Name() string { return a.node.name }

// NewDuties are those of a process; folder is what files in the operator's part are relative to.
func NewDuties(n *Node, f *operator.Fleet, folder string) (*Duties, error) {
	p, err := problemOf(f, folder)
	return &Duties{node: n, fleet: f, members: f.Members, problem: p}, err
}

// askTime is how long a keeper may take for an answer.
const askTime = 2 * time.Second

// rests is from one look for something to do to the next.
const rests = 100 * time.Millisecond

// Run does the duties while this process owns, until ctx ends.
func (d *Duties) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r := d.node.May(); r != 0 {
			d.reign(ctx, r)
		}
		select {
		case <-ctx.Done():
		case <-time.After(rests):
		}
	}
}

// reign does them under one reign. Whatever ends it, nothing goes on: what is begun is agreed before it is done, and orders
// carry the reign, so that one that is late is refused where it arrives.
func (d *Duties) reign(ctx context.Context, r Reign) {
	slog.Info("owner_begins", "reign", r)
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		for ctx.Err() == nil && d.node.May() == r {
			time.Sleep(rests / 2)
		}
		end()
	}()
	a := agreement{d.node, r}
	var others sync.WaitGroup
	defer others.Wait()
	if d.fleet.Parts != nil || d.fleet.Planning != nil {
		h, err := newHands(d, a)
		if err != nil {
			slog.Error("duty_ended", "reign", r, "reason", err)
		} else {
			others.Go(func() { h.run(ctx) })
		}
	}
	others.Go(func() { d.watch(ctx, r) })
	for ctx.Err() == nil {
		record, is, err := coordinator.Agreed(a).Record()
		if err == nil && is && (!record.State.Phase.Ends() || d.asked(a, record)) {
			var c *coordinator.Conductor
			fleet := coordinator.NewFleet(d.members, askTime, askTime)
			if c, err = coordinator.Take(coordinator.Agreed(a), fleet); err == nil {
				done := d.asks(fleet)
				err = c.Run(ctx)
				done()
			}
		}
		if err != nil && ctx.Err() == nil {
			slog.Warn("duty_ended", "reign", r, "reason", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(rests):
		}
	}
	slog.Info("owner_ends", "reign", r)
}

// watchEvery is from one look at the voters' health to the next.
const watchEvery = 500 * time.Millisecond

// watch hands over by itself where another voter is fitter to own. It asks voters; how much of the fleet is heard it learns
// from those of its duties that ask all.
func (d *Duties) watch(ctx context.Context, r Reign) {
	members := slices.DeleteFunc(slices.Clone(d.members), func(m operator.Member) bool { return !slices.Contains(d.fleet.Voters, m.Name) })
	fleet := coordinator.NewFleet(members, askTime, watchEvery)
	heard, last := make([]time.Time, len(members)), make([]Health, len(members))
	for ctx.Err() == nil {
		now := time.Now()
		for i, a := range fleet.Ask(ctx) {
			if a.Err == nil {
				heard[i], last[i] = now, Health{Serves: a.Status.Serves, Engines: a.Status.EngineCount}
			}
			last[i].Name, last[i].Reached = members[i].Name, !heard[i].IsZero() && now.Sub(heard[i]) < askTime
		}
		own, others := Health{}, []Health(nil)
		for _, h := range last {
			if h.Name == d.node.name {
				own = h
			} else {
				others = append(others, h)
			}
		}
		own.Stalls, own.Reached = d.node.Stalls(), true
		for _, f := range d.asking() {
			if n, of := f.Heard(); of > 0 && (own.Members == 0 || n < own.Heard) {
				own.Heard, own.Members = n, of
			}
		}
		if to, why := d.fitness.Look(int64(time.Since(d.node.began)), own, others); to != "" && d.node.May() == r {
			slog.Warn("owner_hands_over", "reign", r, "to", to, "why", why)
			d.node.StepDown(to)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchEvery):
		}
	}
}

// asks has the watch know of a duty that asks all members, until it is ended.
func (d *Duties) asks(f *coordinator.Fleet) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.under = append(d.under, f)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.under = slices.DeleteFunc(d.under, func(o *coordinator.Fleet) bool { return o == f })
	}
}

func (d *Duties) asking() []*coordinator.Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.under)
}

// asked tells whether there is a wish for a change that has ended.
func (d *Duties) asked(a agreement, r coordinator.Record) bool {
	w := coordinator.Agreed(a).Wish()
	return w.ID != "" && w.ID != r.Asked && w.Ask == rollout.AskBack && r.State.Phase == rollout.Stopped
}

// mostChange bounds a change's text.
const mostChange = 4 << 20

var errNotOwner = errors.New("another owns: swiftreel fleet owner tells who")

// Handle adds what operators ask of the owner: a change to begin, a wish for the one under way.
func (d *Duties) Handle(mux *http.ServeMux) {
	owned := func(do func(*http.Request, agreement) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			a := agreement{d.node, d.node.May()}
			err := errNotOwner
			if a.reign != 0 {
				err = do(r, a)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		}
	}
	mux.HandleFunc("POST /v1/owner/change", owned(func(r *http.Request, a agreement) error {
		var c change.Change
		if err := json.NewDecoder(io.LimitReader(r.Body, mostChange)).Decode(&c); err != nil {
			return fmt.Errorf("/: %w", err)
		}
		if list := c.Faults(); len(list) > 0 {
			return &schema.Faults{File: "the change", List: list}
		}
		if c.Kind == change.Plan {
			return errors.New("/kind: a plan's file stands where it was written; conduct it with swiftreel rollout start")
		}
		d.one.Lock()
		defer d.one.Unlock()
		return coordinator.Begin(r.Context(), coordinator.Agreed(a), c, coordinator.NewFleet(d.members, askTime, askTime), false)
	}))
	mux.HandleFunc("POST /v1/owner/wish", owned(func(r *http.Request, a agreement) error {
		var w coordinator.Wish
		if err := json.NewDecoder(io.LimitReader(r.Body, 1024)).Decode(&w); err != nil {
			return err
		}
		return coordinator.Agreed(a).Ask(w.Ask)
	}))
}
