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
// round, members are out of reach or die, conductors are killed between record and orders, and old ones wake up.

var pace = change.Pace{BaseMS: 500, BakeMS: 1000, MostMS: 20_000, ApplyMS: 8000, SteadyMS: 1, UnheardMS: 300, SharedMS: 1500, SharedTries: 1, HealthyPerMille: 500, LookMS: 100}

const step = int64(100e6)

type member struct {
	held    change.Held
	running change.Digest
	down    int  // looks until it serves again
	away    bool // out of reach
	changes bool // it is down by an order
	failed  string
}

type flight struct {
	at int // look
	to int
	o  change.Order
}

type fleet struct {
	t       *testing.T
	r       *rand.Rand
	members []*member
	names   []string
	sky     []flight
	record  State // on disk
	stages  [][]string
	m       *Machine
	now     int64
	look    int
	deepest int          // stage that was ever begun
	passed  map[int]bool // stages that had their verdict
	noFence bool         // the broken variant
	broken  string
	seen    map[Phase]bool
}

var specs = map[bool]change.Spec{false: {Program: change.Program{Path: "/old", Digest: "1"}}, true: {Program: change.Program{Path: "/new", Digest: "2"}}}

func newFleet(t *testing.T, seed uint64, n int) *fleet {
	f := &fleet{t: t, r: rand.New(rand.NewPCG(seed, 5)), passed: map[int]bool{}, seen: map[Phase]bool{}, deepest: -1}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("c", i))
		f.members = append(f.members, &member{held: change.Held{Want: specs[false]}, running: specs[false].Digest()})
	}
	f.stages = [][]string{f.names[:1], f.names[:(n+1)/2], f.names}
	f.record = State{Phase: Preparing, Fence: change.Fence{Number: 1, Term: 1, Turn: 1}}
	f.take()
	return f
}

// take has a new conductor take the record over.
func (f *fleet) take() {
	f.record.Fence.Term++
	f.m = New(f.record, change.Software, specs[false].Digest(), specs[true].Digest(), f.stages, pace, f.now)
}

func (f *fleet) input(v canary.Verdict, ask Ask) Input {
	in := Input{Now: f.now, Verdict: v, Better: f.r.IntN(3) == 0, Ask: ask}
	for i, x := range f.members {
		in.Members = append(in.Members, Member{Name: f.names[i], Heard: !x.away, Serves: x.down == 0, Running: x.running, Fence: x.held.Fence, Failed: x.failed})
	}
	return in
}

// one is a look of the conductor, and what comes of it at the members. kill: 1 before the record, 2 before the orders.
func (f *fleet) one(v canary.Verdict, ask Ask, kill int, faults bool) {
	before := f.m.State
	in := f.input(v, ask)
	changed := f.m.Step(in)
	orders := f.m.Orders(in)
	if kill == 1 {
		f.take()
		orders = nil
	} else if changed {
		f.record = f.m.State
		f.seen[f.record.Phase] = true
		if before.Phase == Baking && f.record.Phase != Baking && v.Conclusion == canary.NoRegression {
			f.passed[before.Stage] = true
		}
		if f.record.Phase == Applying {
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
		w := change.Order{Format: 1, Fence: f.m.State.Fence, By: "x", Member: o.Member, Want: specs[o.New], Drain: o.Drain}
		fl := flight{f.look, slices.Index(f.names, o.Member), w}
		if faults {
			switch f.r.IntN(6) {
			case 0:
				continue // lost
			case 1:
				fl.at += f.r.IntN(60) // late: past later ones
			case 2:
				f.sky = append(f.sky, flight{f.look + f.r.IntN(100), fl.to, w}) // twice
			}
		}
		f.sky = append(f.sky, fl)
	}
	f.land()
	f.now += step
	f.look++
}

// land brings orders to members, and has them do as they hold.
func (f *fleet) land() {
	var later []flight
	for _, fl := range f.sky {
		x := f.members[fl.to]
		switch {
		case fl.at > f.look:
			later = append(later, fl)
		case x.away:
		default:
			if next, _, err := x.held.Take(fl.o); err == nil {
				x.held = next
			} else if f.noFence {
				x.held = change.Held{Fence: fl.o.Fence, By: fl.o.By, Want: fl.o.Want}
			}
		}
	}
	f.sky = later
	by := 0
	for i, x := range f.members {
		if x.down > 0 {
			if x.down--; x.down == 0 {
				x.changes = false
			}
		} else if x.running != x.held.Want.Digest() && x.failed == "" && !x.held.Drain {
			x.running, x.down, x.changes = x.held.Want.Digest(), 1+f.r.IntN(5), true
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
	want := map[Phase]change.Digest{Done: specs[true].Digest(), Back: specs[false].Digest()}[f.m.State.Phase]
	for i, x := range f.members {
		if want != "" && x.running != want {
			return fmt.Sprintf("%s, and %s runs %s", f.m.State.Phase, f.names[i], x.running)
		}
	}
	return f.broken
}

// walk plays a schedule; it tells what is wrong.
func walk(t *testing.T, seed uint64, noFence bool) (wrong string, seen map[Phase]bool) {
	f := newFleet(t, seed, 3+int(seed%5))
	f.noFence = noFence
	var asleep *Machine // a conductor that was stopped and another has taken over from
	bad := f.r.IntN(3) == 0
	for i := 0; i < 3000 && !f.m.State.Phase.Ends(); i++ {
		faults := i < 250
		v := canary.Verdict{Conclusion: canary.Inconclusive}
		if f.m.State.Phase == Baking {
			switch n := f.r.IntN(30); {
			case n == 0 && bad:
				v.Conclusion = canary.Regressed
			case n == 1 && faults:
				v.Conclusion = canary.AllRegressed
			case n < 12 && f.m.Baked(f.now):
				v.Conclusion = canary.NoRegression
			}
		}
		kill, ask := 0, Ask("")
		if faults {
			if f.r.IntN(25) == 0 {
				kill = 1 + f.r.IntN(2)
			}
			if f.r.IntN(40) == 0 {
				asleep = f.m
				f.take()
			}
			x := f.members[f.r.IntN(len(f.members))]
			x.away = f.r.IntN(20) == 0
			if f.r.IntN(150) == 0 {
				ask = []Ask{AskPause, AskResume, AskBack}[f.r.IntN(3)]
			}
		} else {
			for _, x := range f.members {
				x.away = false
			}
			if f.m.State.Paused {
				ask = AskResume
			}
		}
		if asleep != nil && f.r.IntN(10) == 0 { // it wakes, and orders what it thinks is due, before it looks
			for k, name := range f.names {
				f.sky = append(f.sky, flight{f.look + f.r.IntN(400), k, change.Order{Format: 1, Fence: asleep.State.Fence, By: "x", Member: name, Want: specs[slices.Contains(asleep.New(), name)]}})
			}
			asleep = nil
		}
		f.one(v, ask, kill, faults)
		if f.broken != "" {
			return f.broken, f.seen
		}
	}
	if !f.m.State.Phase.Ends() {
		return "does not end: " + string(f.m.State.Phase), f.seen
	}
	for range 500 { // what is still on its way
		f.land()
		f.look++
	}
	return f.settled(), f.seen
}

func TestSchedulesOfFaults(t *testing.T) {
	all := map[Phase]bool{}
	for seed := range uint64(300) {
		wrong, seen := walk(t, seed, false)
		if wrong != "" {
			t.Fatalf("schedule %d: %s", seed, wrong)
		}
		for p := range seen {
			all[p] = true
		}
	}
	for _, p := range []Phase{Watching, Applying, Baking, Withdrawing, Waiting, Finishing, Done, GoingBack, Back} {
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

func TestAConductorKilledAtEveryStepIsFollowed(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for _, how := range []int{1, 2} {
			for at := range 120 {
				f := newFleet(t, 1, 4)
				for i := 0; i < 2000 && !f.m.State.Phase.Ends(); i++ {
					v := canary.Verdict{Conclusion: canary.Inconclusive}
					if f.m.State.Phase == Baking && f.m.Baked(f.now) {
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
				if want := map[bool]Phase{false: Done, true: Back}[bad]; f.m.State.Phase != want || f.settled() != "" {
					t.Fatalf("killed at look %d (%d), bad %v: %s %s", at, how, bad, f.m.State.Phase, f.settled())
				}
			}
		}
	}
}

func TestOneThatCannotGoBackIsNamedAndDrained(t *testing.T) {
	f := newFleet(t, 2, 4)
	for i := 0; i < 400 && f.m.State.Phase != Stuck; i++ {
		v := canary.Verdict{Conclusion: canary.Inconclusive}
		if f.m.State.Phase == Baking {
			v.Conclusion = canary.Regressed
			f.members[0].failed = "the program is gone"
		}
		f.one(v, "", 0, false)
	}
	if f.m.State.Phase != Stuck || f.m.State.Drains["c0"] == "" || !strings.Contains(f.m.State.Why, "c0") || !f.members[0].held.Drain {
		t.Fatalf("%+v, drains %v", f.m.State, f.members[0].held.Drain)
	}
	f.members[0].failed, f.members[0].running = "", "" // mended by hand; it is still out of service, so nothing runs there
	for i := 0; i < 50 && f.m.State.Phase != Back; i++ {
		f.one(canary.Verdict{}, "", 0, false)
	}
	if f.m.State.Phase != Back || f.members[0].held.Drain || f.settled() != "" {
		t.Errorf("%+v, drains %v: %s", f.m.State, f.members[0].held.Drain, f.settled())
	}
}

func TestAFleetThatIsNotAllThereBeginsNothing(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.members[2].away = true
	for i := 0; i < 400 && !f.m.State.Phase.Ends(); i++ {
		f.one(canary.Verdict{}, "", 0, false)
	}
	if f.m.State.Phase != Stopped || !strings.Contains(f.m.State.Outcome, "c2") || f.deepest >= 0 {
		t.Errorf("%+v", f.m.State)
	}
}
