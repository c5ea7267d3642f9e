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

// The tests simulate a fleet in virtual time. A seeded schedule injects faults: orders are lost, delayed, duplicated
// and reordered, members are unreachable, coordinators are killed before or after they record a state, and a suspended
// coordinator resumes after another has taken over.

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

const pollIntervalNS = int64(100e6)

type simulatedMember struct {
	accepted    change.AcceptedOrder
	running     change.Digest
	downTicks   int // ticks until the member serves again
	unreachable bool
	restarting  bool // downTicks counts a restart caused by an order
	failure     string
}

type delivery struct {
	dueTick   int
	recipient int
	order     change.Order
}

type simulatedFleet struct {
	t              *testing.T
	random         *rand.Rand
	members        []*simulatedMember
	names          []string
	deliveries     []delivery
	recorded       State // state that a successor continues from
	stages         [][]string
	machine        *Machine
	now            int64
	tick           int
	lastStageBegun int          // the furthest stage that was begun, or -1
	passedStages   map[int]bool // stages that passed by a verdict
	ignoresFences  bool         // a faulty variant: members follow every order
	violation      string
	reachedPhases  map[Phase]bool
}

// specs holds the old version under false and the new version under true.
var specs = map[bool]change.Spec{
	false: {Program: change.Program{Path: "/old", Digest: "1"}},
	true:  {Program: change.Program{Path: "/new", Digest: "2"}},
}

func newFleet(t *testing.T, seed uint64, n int) *simulatedFleet {
	t.Helper()
	f := &simulatedFleet{
		t:              t,
		random:         rand.New(rand.NewPCG(seed, 5)),
		passedStages:   map[int]bool{},
		reachedPhases:  map[Phase]bool{},
		lastStageBegun: -1,
	}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("c", i))
		f.members = append(
			f.members,
			&simulatedMember{accepted: change.AcceptedOrder{Spec: specs[false]}, running: specs[false].Digest()},
		)
	}
	f.stages = [][]string{f.names[:1], f.names[:(n+1)/2], f.names}
	f.recorded = State{Phase: PhasePreparing, Fence: change.Fence{Number: 1, Term: 1, Revision: 1}}
	f.takeOver()
	return f
}

// takeOver replaces the coordinator by one that continues from the recorded state.
func (f *simulatedFleet) takeOver() {
	f.recorded.Fence.Term++
	f.machine = New(
		f.recorded,
		Config{
			Kind:     change.KindProgram,
			FromSpec: specs[false].Digest(),
			ToSpec:   specs[true].Digest(),
			Stages:   f.stages,
			Timing:   timing,
		},
		f.now,
	)
}

func (f *simulatedFleet) observe(verdict canary.Verdict, request Request) Observation {
	seen := Observation{Now: f.now, Verdict: verdict, Recovered: f.random.IntN(3) == 0, Request: request}
	for i, member := range f.members {
		seen.Members = append(
			seen.Members,
			Member{
				Name:      f.names[i],
				Reachable: !member.unreachable,
				Serving:   member.downTicks == 0,
				Running:   member.running,
				Fence:     member.accepted.Fence,
				Failure:   member.failure,
			},
		)
	}
	return seen
}

// poll runs one poll of the coordinator and delivers the orders that result. kill replaces the coordinator: 1 before it
// records the state, 2 before it sends the orders.
func (f *simulatedFleet) poll(verdict canary.Verdict, request Request, kill int, faults bool) {
	before := f.machine.State
	seen := f.observe(verdict, request)
	changed := f.machine.Step(seen)
	orders := f.machine.Orders(seen)
	if kill == 1 {
		f.takeOver()
		orders = nil
	} else if changed {
		f.recorded = f.machine.State
		f.reachedPhases[f.recorded.Phase] = true
		if before.Phase == PhaseBaking && f.recorded.Phase != PhaseBaking && verdict.Conclusion == canary.NoRegression {
			f.passedStages[before.Stage] = true
		}
		if f.recorded.Phase == PhaseApplying {
			if f.lastStageBegun = max(f.lastStageBegun, f.recorded.Stage); f.recorded.Stage > 0 &&
				!f.passedStages[f.recorded.Stage-1] {
				f.violation = fmt.Sprintf("stage %d begins without a verdict on the one before", f.recorded.Stage)
			}
		}
		if kill == 2 {
			f.takeOver()
			orders = nil
		}
	}
	for _, order := range orders {
		message := change.Order{
			Format:        1,
			Fence:         f.machine.State.Fence,
			CoordinatorID: "x",
			Member:        order.Member,
			Spec:          specs[order.UseTarget],
			Drain:         order.Drain,
		}
		sent := delivery{f.tick, slices.Index(f.names, order.Member), message}
		if faults {
			switch f.random.IntN(6) {
			case 0:
				continue // lost
			case 1:
				sent.dueTick += f.random.IntN(60) // delayed, so that later orders may arrive first
			case 2:
				f.deliveries = append(f.deliveries, delivery{f.tick + f.random.IntN(100), sent.recipient, message}) // duplicated
			}
		}
		f.deliveries = append(f.deliveries, sent)
	}
	f.deliver()
	f.now += pollIntervalNS
	f.tick++
}

// deliver hands the orders that are due to their recipients, and lets each member follow the order that it accepted.
func (f *simulatedFleet) deliver() {
	var later []delivery
	for _, sent := range f.deliveries {
		member := f.members[sent.recipient]
		switch {
		case sent.dueTick > f.tick:
			later = append(later, sent)
		case member.unreachable:
		default:
			if next, _, err := member.accepted.Accept(sent.order); err == nil {
				member.accepted = next
			} else if f.ignoresFences {
				member.accepted = change.AcceptedOrder{
					Fence:         sent.order.Fence,
					CoordinatorID: sent.order.CoordinatorID,
					Spec:          sent.order.Spec,
				}
			}
		}
	}
	f.deliveries = later
	restarting := 0
	for i, member := range f.members {
		if member.downTicks > 0 {
			if member.downTicks--; member.downTicks == 0 {
				member.restarting = false
			}
		} else if member.running != member.accepted.Spec.Digest() && member.failure == "" && !member.accepted.Drain {
			member.running, member.downTicks, member.restarting = member.accepted.Spec.Digest(), 1+f.random.IntN(5), true
		}
		if member.restarting {
			restarting++
		}
		if member.running == specs[true].Digest() && !slices.Contains(f.stages[max(0, f.lastStageBegun)], f.names[i]) {
			f.violation = f.names[i] + " runs the new version before its stage"
		}
	}
	if limit := len(f.members) - (len(f.members)+1)/2; restarting > limit {
		f.violation = fmt.Sprintf("%d of %d members are out of service because of the rollout", restarting, len(f.members))
	}
}

// finalViolation returns what is wrong once the rollout has ended, or "".
func (f *simulatedFleet) finalViolation() string {
	want := map[Phase]change.Digest{
		PhaseDone:     specs[true].Digest(),
		PhaseReverted: specs[false].Digest(),
	}[f.machine.State.Phase]
	for i, member := range f.members {
		if want != "" && member.running != want {
			return fmt.Sprintf("%s, and %s runs %s", f.machine.State.Phase, f.names[i], member.running)
		}
		if want != "" && member.restarting {
			return fmt.Sprintf("%s, and %s does not serve yet", f.machine.State.Phase, f.names[i])
		}
	}
	return f.violation
}

// runSchedule runs the schedule of faults of a seed. It returns what went wrong, or "", and the phases reached.
func runSchedule(t *testing.T, seed uint64, ignoresFences bool) (wrong string, reached map[Phase]bool) {
	t.Helper()
	f := newFleet(t, seed, 3+int(seed%5))
	f.ignoresFences = ignoresFences
	var suspended *Machine // a suspended coordinator, after another has taken over
	regresses := f.random.IntN(3) == 0
	for i := 0; i < 3000 && !f.machine.State.Phase.IsTerminal(); i++ {
		faults := i < 250
		verdict := canary.Verdict{Conclusion: canary.Inconclusive}
		if f.machine.State.Phase == PhaseBaking {
			switch n := f.random.IntN(30); {
			case n == 0 && regresses:
				verdict.Conclusion = canary.Regressed
			case n == 1 && faults:
				verdict.Conclusion = canary.AllRegressed
			case n < 12 && f.machine.BakeElapsed(f.now):
				verdict.Conclusion = canary.NoRegression
			}
		}
		kill, request := 0, Request("")
		if faults {
			if f.random.IntN(25) == 0 {
				kill = 1 + f.random.IntN(2)
			}
			if f.random.IntN(40) == 0 {
				suspended = f.machine
				f.takeOver()
			}
			member := f.members[f.random.IntN(len(f.members))]
			member.unreachable = f.random.IntN(20) == 0
			if f.random.IntN(150) == 0 {
				request = []Request{RequestPause, RequestResume, RequestRollback}[f.random.IntN(3)]
			}
		} else {
			for _, member := range f.members {
				member.unreachable = false
			}
			if f.machine.State.Paused {
				request = RequestResume
			}
		}
		if suspended != nil && f.random.IntN(10) == 0 { // it resumes, and sends orders by its old state before it polls
			for k, name := range f.names {
				onTarget := slices.Contains(suspended.TargetMembers(), name)
				order := change.Order{
					Format:        1,
					Fence:         suspended.State.Fence,
					CoordinatorID: "x",
					Member:        name,
					Spec:          specs[onTarget],
				}
				f.deliveries = append(f.deliveries, delivery{f.tick + f.random.IntN(400), k, order})
			}
			suspended = nil
		}
		f.poll(verdict, request, kill, faults)
		if f.violation != "" {
			return f.violation, f.reachedPhases
		}
	}
	if !f.machine.State.Phase.IsTerminal() {
		return "the rollout does not end: " + string(f.machine.State.Phase), f.reachedPhases
	}
	for range 500 { // delivers the orders still in transit
		f.deliver()
		f.tick++
	}
	return f.finalViolation(), f.reachedPhases
}

func TestSchedulesOfFaults(t *testing.T) {
	all := map[Phase]bool{}
	for seed := range uint64(300) {
		wrong, reached := runSchedule(t, seed, false)
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

func TestSchedulesFindHarmWithoutTheFence(t *testing.T) {
	for seed := range uint64(300) {
		if wrong, _ := runSchedule(t, seed, true); wrong != "" {
			return
		}
	}
	t.Error("no schedule shows that the fence is needed")
}

func TestASuccessorContinuesAfterAKillAtEveryStep(t *testing.T) {
	for _, regresses := range []bool{false, true} {
		for _, killPoint := range []int{1, 2} {
			for killPoll := range 120 {
				f := newFleet(t, 1, 4)
				for i := 0; i < 2000 && !f.machine.State.Phase.IsTerminal(); i++ {
					verdict := canary.Verdict{Conclusion: canary.Inconclusive}
					if f.machine.State.Phase == PhaseBaking && f.machine.BakeElapsed(f.now) {
						if verdict.Conclusion = canary.NoRegression; regresses && f.machine.State.Stage == 1 {
							verdict.Conclusion = canary.Regressed
						}
					}
					kill := 0
					if i == killPoll {
						kill = killPoint
					}
					f.poll(verdict, "", kill, false)
				}
				if want := map[bool]Phase{false: PhaseDone, true: PhaseReverted}[regresses]; f.machine.State.Phase != want ||
					f.finalViolation() != "" {
					t.Fatalf("killed at poll %d (%d), regresses %v: %s %s",
						killPoll, killPoint, regresses, f.machine.State.Phase, f.finalViolation())
				}
			}
		}
	}
}

func TestMemberThatCannotRollBackIsNamedAndDrained(t *testing.T) {
	f := newFleet(t, 2, 4)
	for i := 0; i < 400 && f.machine.State.Phase != PhaseDegraded; i++ {
		verdict := canary.Verdict{Conclusion: canary.Inconclusive}
		if f.machine.State.Phase == PhaseBaking {
			verdict.Conclusion = canary.Regressed
			f.members[0].failure = "the program is gone"
		}
		f.poll(verdict, "", 0, false)
	}
	if f.machine.State.Phase != PhaseDegraded || f.machine.State.Drained["c0"] == "" ||
		!strings.Contains(f.machine.State.Reason, "c0") ||
		!f.members[0].accepted.Drain {
		t.Fatalf("%+v, drains %v", f.machine.State, f.members[0].accepted.Drain)
	}
	f.members[0].failure, f.members[0].running = "", "" // repaired by hand; it is still drained, so no spec runs
	for i := 0; i < 50 && f.machine.State.Phase != PhaseReverted; i++ {
		f.poll(canary.Verdict{}, "", 0, false)
	}
	if f.machine.State.Phase != PhaseReverted || f.members[0].accepted.Drain || f.finalViolation() != "" {
		t.Errorf("%+v, drains %v: %s", f.machine.State, f.members[0].accepted.Drain, f.finalViolation())
	}
}

func TestNothingBeginsWhileAMemberIsUnreachable(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.members[2].unreachable = true
	for i := 0; i < 400 && !f.machine.State.Phase.IsTerminal(); i++ {
		f.poll(canary.Verdict{}, "", 0, false)
	}
	if f.machine.State.Phase != PhaseStopped || !strings.Contains(f.machine.State.Outcome, "c2") || f.lastStageBegun >= 0 {
		t.Errorf("%+v", f.machine.State)
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
	config := Config{FromSpec: "old", ToSpec: "new", Stages: [][]string{nil, {"c1"}}, Timing: timing}
	m := New(State{Phase: PhaseApplying}, config, 0)
	seen := Observation{Now: 20e6, Members: []Member{{Name: "c1", Reachable: true, Serving: true, Running: "old"}}}
	if !m.Step(seen) || m.State.Outcome != "stage 1 was not taken by c1" {
		t.Errorf("%s: %q", m.State.Phase, m.State.Outcome)
	}
}

// A controller reports its version as soon as it has started, and serves some milliseconds later, or tens of them on a
// busy machine. The failure: the rollout ended while a controller did not serve yet. At a load of 27 on 8 cores,
// TestAProgramThatDiesIsRolledBack of package coordinator then found a controller that did not serve.
func TestARolloutEndsOnceAllControllersServe(t *testing.T) {
	config := Config{FromSpec: "old", ToSpec: "new", Stages: [][]string{{"c1", "c2"}}, Timing: timing}
	for from, c := range map[Phase]struct {
		running change.Digest
		wanted  Phase
	}{
		PhaseRollback:  {"old", PhaseReverted},
		PhaseDegraded:  {"old", PhaseReverted},
		PhaseFinishing: {"new", PhaseDone},
	} {
		m := New(State{Phase: from}, config, 0)
		started := Member{Name: "c1", Reachable: true, Running: c.running}
		serving := Member{Name: "c2", Reachable: true, Running: c.running, Serving: true}
		m.Step(Observation{Now: 1, Members: []Member{started, serving}})
		if m.State.Phase != from {
			t.Errorf("%s: %s while a controller does not serve", from, m.State.Phase)
		}
		started.Serving = true
		m.Step(Observation{Now: 2, Members: []Member{started, serving}})
		if m.State.Phase != c.wanted {
			t.Errorf("%s: %s once all serve, want %s", from, m.State.Phase, c.wanted)
		}
	}
}
