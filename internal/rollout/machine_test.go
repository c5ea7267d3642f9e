package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// A fleet in virtual time, where everything goes wrong that a schedule draws: orders are lost, late, doubled and turned
// round, members are out of reach or die, coordinators are killed between record and orders, and old ones wake up.

var timing = change.Timing{
	BaselineMS:         500,
	BakeMS:             1000,
	MaxBakeMS:          20_000,
	ApplyTimeoutMS:     8000,
	SettleMS:           1,
	UnreachableAfterMS: 300,
	SharedRecoveryMS:   1500,
	MaxSharedRetries:   1,
	MinHealthyPerMille: 500,
	PollIntervalMS:     100,
}

const step = int64(100e6)

type member struct {
	held        change.AcceptedOrder
	running     change.Digest
	down        int  // ticks until it serves again
	unreachable bool // out of reach
	changes     bool // it is down by an order
	failed      string
}

type delivery struct {
	at int // tick
	to int
	o  change.Order
}

type fleet struct {
	t          *testing.T
	r          *rand.Rand
	members    []*member
	names      []string
	deliveries []delivery
	record     State // on disk
	stages     [][]string
	m          *Machine
	now        int64
	tick       int
	deepest    int          // stage that was ever begun
	passed     map[int]bool // stages that had their verdict
	noFence    bool         // the broken variant
	broken     string
	reached    map[Phase]bool
}

// specs are the old version, and under true the new one.
var specs = map[bool]change.Spec{
	false: {Program: change.Program{Path: "/old", Digest: "1"}},
	true:  {Program: change.Program{Path: "/new", Digest: "2"}},
}

func newFleet(t *testing.T, seed uint64, n int) *fleet {
	t.Helper()
	f := &fleet{
		t:       t,
		r:       rand.New(rand.NewPCG(seed, 5)),
		passed:  map[int]bool{},
		reached: map[Phase]bool{},
		deepest: -1,
	}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("c", i))
		f.members = append(
			f.members,
			&member{held: change.AcceptedOrder{Spec: specs[false]}, running: specs[false].Digest()},
		)
	}
	f.stages = [][]string{f.names[:1], f.names[:(n+1)/2], f.names}
	f.record = State{Phase: PhasePreparing, Fence: change.Fence{Number: 1, Term: 1, Revision: 1}}
	f.take()
	return f
}

// take has a new coordinator take the record over.
func (f *fleet) take() {
	f.record.Fence.Term++
	f.m = New(
		f.record,
		Plan{
			Kind:     change.KindProgram,
			FromSpec: specs[false].Digest(),
			ToSpec:   specs[true].Digest(),
			Stages:   f.stages,
			Timing:   timing,
		},
		f.now,
	)
}

func (f *fleet) input(v canary.Verdict, ask Request) Observation {
	in := Observation{Now: f.now, Verdict: v, Recovered: f.r.IntN(3) == 0, Request: ask}
	for i, x := range f.members {
		in.Members = append(
			in.Members,
			Member{
				Name:      f.names[i],
				Reachable: !x.unreachable,
				Serving:   x.down == 0,
				Running:   x.running,
				Fence:     x.held.Fence,
				Failure:   x.failed,
			},
		)
	}
	return in
}

// one is a poll of the coordinator, and what comes of it at the members. kill: 1 before the record, 2 before the
// orders.
func (f *fleet) one(v canary.Verdict, ask Request, kill int, faults bool) {
	before := f.m.State
	in := f.input(v, ask)
	changed := f.m.Step(in)
	orders := f.m.Orders(in)
	if kill == 1 {
		f.take()
		orders = nil
	} else if changed {
		f.record = f.m.State
		f.reached[f.record.Phase] = true
		if before.Phase == PhaseBaking && f.record.Phase != PhaseBaking && v.Conclusion == canary.NoRegression {
			f.passed[before.Stage] = true
		}
		if f.record.Phase == PhaseApplying {
			if f.deepest = max(f.deepest, f.record.Stage); f.record.Stage > 0 && !f.passed[f.record.Stage-1] {
				f.broken = fmt.Sprintf("stage %d begins without a verdict on the one before", f.record.Stage)
			}
		}
		if kill == 2 {
			f.take()
			orders = nil
		}
	}
	for _, o := range orders {
		w := change.Order{
			Format:        1,
			Fence:         f.m.State.Fence,
			CoordinatorID: "x",
			Member:        o.Member,
			Spec:          specs[o.UseTarget],
			Drain:         o.Drain,
		}
		fl := delivery{f.tick, slices.Index(f.names, o.Member), w}
		if faults {
			switch f.r.IntN(6) {
			case 0:
				continue // lost
			case 1:
				fl.at += f.r.IntN(60) // late: past later ones
			case 2:
				f.deliveries = append(f.deliveries, delivery{f.tick + f.r.IntN(100), fl.to, w}) // twice
			}
		}
		f.deliveries = append(f.deliveries, fl)
	}
	f.land()
	f.now += step
	f.tick++
}

// land brings orders to members, and has them do as they hold.
func (f *fleet) land() {
	var later []delivery
	for _, fl := range f.deliveries {
		x := f.members[fl.to]
		switch {
		case fl.at > f.tick:
			later = append(later, fl)
		case x.unreachable:
		default:
			if next, _, err := x.held.Accept(fl.o); err == nil {
				x.held = next
			} else if f.noFence {
				x.held = change.AcceptedOrder{Fence: fl.o.Fence, CoordinatorID: fl.o.CoordinatorID, Spec: fl.o.Spec}
			}
		}
	}
	f.deliveries = later
	by := 0
	for i, x := range f.members {
		if x.down > 0 {
			if x.down--; x.down == 0 {
				x.changes = false
			}
		} else if x.running != x.held.Spec.Digest() && x.failed == "" && !x.held.Drain {
			x.running, x.down, x.changes = x.held.Spec.Digest(), 1+f.r.IntN(5), true
		}
		if x.changes {
			by++
		}
		if x.running == specs[true].Digest() && !slices.Contains(f.stages[max(0, f.deepest)], f.names[i]) {
			f.broken = f.names[i] + " runs the new version before its stage"
		}
	}
	if most := len(f.members) - (len(f.members)+1)/2; by > most {
		f.broken = fmt.Sprintf("%d of %d do not serve by the change's doing", by, len(f.members))
	}
}

// settled tells what is wrong at the end.
func (f *fleet) settled() string {
	want := map[Phase]change.Digest{
		PhaseDone:     specs[true].Digest(),
		PhaseReverted: specs[false].Digest(),
	}[f.m.State.Phase]
	for i, x := range f.members {
		if want != "" && x.running != want {
			return fmt.Sprintf("%s, and %s runs %s", f.m.State.Phase, f.names[i], x.running)
		}
	}
	return f.broken
}

// walk plays a schedule; it tells what is wrong.
func walk(t *testing.T, seed uint64, noFence bool) (wrong string, reached map[Phase]bool) {
	t.Helper()
	f := newFleet(t, seed, 3+int(seed%5))
	f.noFence = noFence
	var suspended *Machine // a coordinator that was stopped, and another has taken over
	bad := f.r.IntN(3) == 0
	for i := 0; i < 3000 && !f.m.State.Phase.IsTerminal(); i++ {
		faults := i < 250
		v := canary.Verdict{Conclusion: canary.Inconclusive}
		if f.m.State.Phase == PhaseBaking {
			switch n := f.r.IntN(30); {
			case n == 0 && bad:
				v.Conclusion = canary.Regressed
			case n == 1 && faults:
				v.Conclusion = canary.AllRegressed
			case n < 12 && f.m.BakeElapsed(f.now):
				v.Conclusion = canary.NoRegression
			}
		}
		kill, ask := 0, Request("")
		if faults {
			if f.r.IntN(25) == 0 {
				kill = 1 + f.r.IntN(2)
			}
			if f.r.IntN(40) == 0 {
				suspended = f.m
				f.take()
			}
			x := f.members[f.r.IntN(len(f.members))]
			x.unreachable = f.r.IntN(20) == 0
			if f.r.IntN(150) == 0 {
				ask = []Request{RequestPause, RequestResume, RequestRollback}[f.r.IntN(3)]
			}
		} else {
			for _, x := range f.members {
				x.unreachable = false
			}
			if f.m.State.Paused {
				ask = RequestResume
			}
		}
		if suspended != nil && f.r.IntN(10) == 0 { // it wakes, and orders what it thinks is due, before it looks
			for k, name := range f.names {
				onTarget := slices.Contains(suspended.TargetMembers(), name)
				o := change.Order{
					Format:        1,
					Fence:         suspended.State.Fence,
					CoordinatorID: "x",
					Member:        name,
					Spec:          specs[onTarget],
				}
				f.deliveries = append(f.deliveries, delivery{f.tick + f.r.IntN(400), k, o})
			}
			suspended = nil
		}
		f.one(v, ask, kill, faults)
		if f.broken != "" {
			return f.broken, f.reached
		}
	}
	if !f.m.State.Phase.IsTerminal() {
		return "does not end: " + string(f.m.State.Phase), f.reached
	}
	for range 500 { // what is still on its way
		f.land()
		f.tick++
	}
	return f.settled(), f.reached
}

func TestSchedulesOfFaults(t *testing.T) {
	all := map[Phase]bool{}
	for seed := range uint64(300) {
		wrong, reached := walk(t, seed, false)
		if wrong != "" {
			t.Fatalf("schedule %d: %s", seed, wrong)
		}
		for p := range reached {
			all[p] = true
		}
	}
	for _, p := range []Phase{
		PhaseBaseline, PhaseApplying, PhaseBaking, PhaseStageRollback, PhaseAwaitingRecovery,
		PhaseFinishing, PhaseDone, PhaseRollback, PhaseReverted,
	} {
		if !all[p] {
			t.Errorf("no schedule reaches %s", p)
		}
	}
}

func TestWithoutTheFenceTheWalkFindsHarm(t *testing.T) {
	for seed := range uint64(300) {
		if wrong, _ := walk(t, seed, true); wrong != "" {
			return
		}
	}
	t.Error("no schedule shows that the fence is needed")
}

func TestACoordinatorKilledAtEveryStepIsFollowed(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for _, how := range []int{1, 2} {
			for at := range 120 {
				f := newFleet(t, 1, 4)
				for i := 0; i < 2000 && !f.m.State.Phase.IsTerminal(); i++ {
					v := canary.Verdict{Conclusion: canary.Inconclusive}
					if f.m.State.Phase == PhaseBaking && f.m.BakeElapsed(f.now) {
						if v.Conclusion = canary.NoRegression; bad && f.m.State.Stage == 1 {
							v.Conclusion = canary.Regressed
						}
					}
					kill := 0
					if i == at {
						kill = how
					}
					f.one(v, "", kill, false)
				}
				if want := map[bool]Phase{false: PhaseDone, true: PhaseReverted}[bad]; f.m.State.Phase != want ||
					f.settled() != "" {
					t.Fatalf("killed at look %d (%d), bad %v: %s %s", at, how, bad, f.m.State.Phase, f.settled())
				}
			}
		}
	}
}

func TestOneThatCannotGoBackIsNamedAndDrained(t *testing.T) {
	f := newFleet(t, 2, 4)
	for i := 0; i < 400 && f.m.State.Phase != PhaseDegraded; i++ {
		v := canary.Verdict{Conclusion: canary.Inconclusive}
		if f.m.State.Phase == PhaseBaking {
			v.Conclusion = canary.Regressed
			f.members[0].failed = "the program is gone"
		}
		f.one(v, "", 0, false)
	}
	if f.m.State.Phase != PhaseDegraded || f.m.State.Drained["c0"] == "" ||
		!strings.Contains(f.m.State.Reason, "c0") ||
		!f.members[0].held.Drain {
		t.Fatalf("%+v, drains %v", f.m.State, f.members[0].held.Drain)
	}
	f.members[0].failed, f.members[0].running = "", "" // mended by hand; it is still out of service, so nothing runs there
	for i := 0; i < 50 && f.m.State.Phase != PhaseReverted; i++ {
		f.one(canary.Verdict{}, "", 0, false)
	}
	if f.m.State.Phase != PhaseReverted || f.members[0].held.Drain || f.settled() != "" {
		t.Errorf("%+v, drains %v: %s", f.m.State, f.members[0].held.Drain, f.settled())
	}
}

func TestAFleetThatIsNotAllThereBeginsNothing(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.members[2].unreachable = true
	for i := 0; i < 400 && !f.m.State.Phase.IsTerminal(); i++ {
		f.one(canary.Verdict{}, "", 0, false)
	}
	if f.m.State.Phase != PhaseStopped || !strings.Contains(f.m.State.Outcome, "c2") || f.deepest >= 0 {
		t.Errorf("%+v", f.m.State)
	}
}

func TestEveryTransitionLeadsToAPhaseThatGoesOnOrEnds(t *testing.T) {
	for from, events := range transitions {
		if from.IsTerminal() || len(events) == 0 {
			t.Errorf("%s: %d events", from, len(events))
		}
		for happened, to := range events {
			if _, goesOn := transitions[to]; goesOn == to.IsTerminal() {
				t.Errorf("%s on %q leads to %q", from, happened, to)
			}
		}
	}
}

func TestAnEmptyFirstStageNamesAllThatDidNotTakeIt(t *testing.T) {
	timing := change.Timing{ApplyTimeoutMS: 10}
	plan := Plan{FromSpec: "old", ToSpec: "new", Stages: [][]string{nil, {"c1"}}, Timing: timing}
	m := New(State{Phase: PhaseApplying}, plan, 0)
	seen := Observation{Now: 20e6, Members: []Member{{Name: "c1", Reachable: true, Serving: true, Running: "old"}}}
	if !m.Step(seen) || m.State.Outcome != "stage 1 was not taken by c1" {
		t.Errorf("%s: %q", m.State.Phase, m.State.Outcome)
	}
}
