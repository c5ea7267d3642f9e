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
	node     *Node
	fleet    *operator.Fleet
	members  []operator.Member
	problem  *solve.Problem // to plan from
	changeMu sync.Mutex     // a change is begun at a time
	fitness  FitnessMonitor

	mu    sync.Mutex
	polls []*coordinator.FleetClient // asked by duties under way

	sequence      int64  // of words handed out by this process: it rises over reigns too
	lastRejection string // the last word that was, as logged
}

// agreement is what is agreed, under a reign.
type agreement struct {
	node *Node
	term Term
}

func (a agreement) Read(name string) ([]byte, bool) { return a.node.Item(name) }
func (a agreement) Write(name string, value []byte) error {
	return a.node.Propose(a.term, name, value)
}
func (a agreement) IsLeader() bool     { return a.node.ActiveTerm() == a.term }
func (a agreement) Term() int64        { return int64(a.term) }
func (a agreement) LeaderName() string { return a.node.name }

// NewDuties are those of a process; folder is what files in the operator's part are relative to.
func NewDuties(n *Node, f *operator.Fleet, folder string) (*Duties, error) {
	p, err := problemOf(f, folder)
	return &Duties{node: n, fleet: f, members: f.Members, problem: p}, err
}

// askTime is how long a keeper may take for an answer.
const requestTimeout = 2 * time.Second

// rests is from one look for something to do to the next.
const dutyInterval = 100 * time.Millisecond

// Run does the duties while this process owns, until ctx ends.
func (d *Duties) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r := d.node.ActiveTerm(); r != 0 {
			d.runTerm(ctx, r)
		}
		select {
		case <-ctx.Done():
		case <-time.After(dutyInterval):
		}
	}
}

// reign does them under one reign. Whatever ends it, nothing goes on: what is begun is agreed before it is done, and orders
// carry the reign, so that one that is late is refused where it arrives.
func (d *Duties) runTerm(ctx context.Context, r Term) {
	slog.Info("owner_begins", "reign", r)
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		for ctx.Err() == nil && d.node.ActiveTerm() == r {
			time.Sleep(dutyInterval / 2)
		}
		end()
	}()
	a := agreement{d.node, r}
	var others sync.WaitGroup
	defer others.Wait()
	if d.fleet.Parts != nil || d.fleet.Planning != nil {
		h, err := newDistributor(d, a)
		if err != nil {
			slog.Error("duty_ended", "reign", r, "reason", err)
		} else {
			others.Go(func() { h.run(ctx) })
		}
	}
	others.Go(func() { d.watchHealth(ctx, r) })
	for ctx.Err() == nil {
		record, is, err := coordinator.Replicated(a).Record()
		if err == nil && is && (!record.State.Phase.IsTerminal() || d.hasRollbackRequest(a, record)) {
			var c *coordinator.Coordinator
			fleet := coordinator.NewFleetClient(d.members, requestTimeout, requestTimeout)
			if c, err = coordinator.TakeOver(coordinator.Replicated(a), fleet); err == nil {
				done := d.registerPoll(fleet)
				err = c.Run(ctx)
				done()
			}
		}
		if err != nil && ctx.Err() == nil {
			slog.Warn("duty_ended", "reign", r, "reason", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(dutyInterval):
		}
	}
	slog.Info("owner_ends", "reign", r)
}

// watchEvery is from one look at the voters' health to the next.
const healthInterval = 500 * time.Millisecond

// watch hands over by itself where another voter is fitter to own. It asks voters; how much of the fleet is heard it learns
// from those of its duties that ask all.
func (d *Duties) watchHealth(ctx context.Context, r Term) {
	members := slices.DeleteFunc(slices.Clone(d.members), func(m operator.Member) bool { return !slices.Contains(d.fleet.Voters, m.Name) })
	fleet := coordinator.NewFleetClient(members, requestTimeout, healthInterval)
	heard, last := make([]time.Time, len(members)), make([]Health, len(members))
	for ctx.Err() == nil {
		now := time.Now()
		for i, a := range fleet.Poll(ctx) {
			if a.Err == nil {
				heard[i], last[i] = now, Health{Serving: a.Status.Serves, ReadyEngines: a.Status.EngineCount}
			}
			last[i].Name, last[i].Reachable = members[i].Name, !heard[i].IsZero() && now.Sub(heard[i]) < requestTimeout
		}
		own, others := Health{}, []Health(nil)
		for _, h := range last {
			if h.Name == d.node.name {
				own = h
			} else {
				others = append(others, h)
			}
		}
		own.StalledTicks, own.Reachable = d.node.StalledTicks(), true
		for _, f := range d.activePolls() {
			if n, of := f.Answered(); of > 0 && (own.Members == 0 || n < own.ReachableMembers) {
				own.ReachableMembers, own.Members = n, of
			}
		}
		if to, why := d.fitness.Evaluate(int64(time.Since(d.node.startedAt)), own, others); to != "" && d.node.ActiveTerm() == r {
			slog.Warn("owner_hands_over", "reign", r, "to", to, "why", why)
			d.node.TransferLeadership(to)
		}
		select {
		case <-ctx.Done():
		case <-time.After(healthInterval):
		}
	}
}

// asks has the watch know of a duty that asks all members, until it is ended.
func (d *Duties) registerPoll(f *coordinator.FleetClient) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.polls = append(d.polls, f)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.polls = slices.DeleteFunc(d.polls, func(o *coordinator.FleetClient) bool { return o == f })
	}
}

func (d *Duties) activePolls() []*coordinator.FleetClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.polls)
}

// asked tells whether there is a wish for a change that has ended.
func (d *Duties) hasRollbackRequest(a agreement, r coordinator.Record) bool {
	w := coordinator.Replicated(a).PendingRequest()
	return w.ID != "" && w.ID != r.LastRequestID && w.Request == rollout.RequestRollback && r.State.Phase == rollout.PhaseStopped
}

// mostChange bounds a change's text.
const maxChangeBytes = 4 << 20

var errNotLeader = errors.New("another owns: swiftreel fleet owner tells who")

// Handle adds what operators ask of the owner: a change to begin, a wish for the one under way.
func (d *Duties) RegisterHandlers(mux *http.ServeMux) {
	owned := func(do func(*http.Request, agreement) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			a := agreement{d.node, d.node.ActiveTerm()}
			err := errNotLeader
			if a.term != 0 {
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
		if err := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes)).Decode(&c); err != nil {
			return fmt.Errorf("/: %w", err)
		}
		if list := c.Validate(); len(list) > 0 {
			return &schema.Faults{File: "the change", List: list}
		}
		if c.Kind == change.KindPlan {
			return errors.New("/kind: a plan's file stands where it was written; conduct it with swiftreel rollout start")
		}
		d.changeMu.Lock()
		defer d.changeMu.Unlock()
		return coordinator.Begin(r.Context(), coordinator.Replicated(a), c, coordinator.NewFleetClient(d.members, requestTimeout, requestTimeout), false)
	}))
	mux.HandleFunc("POST /v1/owner/wish", owned(func(r *http.Request, a agreement) error {
		var w coordinator.OperatorRequest
		if err := json.NewDecoder(io.LimitReader(r.Body, 1024)).Decode(&w); err != nil {
			return err
		}
		return coordinator.Replicated(a).Submit(w.Request)
	}))
}
