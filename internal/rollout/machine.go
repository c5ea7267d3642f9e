// Package rollout carries a change through a fleet: a machine of states that is told what is seen and says what is
// wanted of each controller. It has no clock, no socket and no file; whoever conducts records its state before acting on it.
package rollout

import (
	"fmt"
	"slices"
	"strings"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// Phase is where a change stands.
type Phase string

// The phases. Done, Back and Stopped are ends.
const (
	PhasePreparing        Phase = "preparing"   // are all there, and on the version that it begins with?
	PhaseBaseline         Phase = "watching"    // all are watched before anything changes
	PhaseApplying         Phase = "applying"    // the stage's controllers take the new version
	PhaseBaking           Phase = "baking"      // the stage stands and is judged
	PhaseRollingBackStage Phase = "withdrawing" // all did worse: the stage is taken back, to see whether that ends it
	PhaseAwaitingRecovery Phase = "waiting"     // it is taken back; are all better now?
	PhaseFinishing        Phase = "finishing"   // passed everywhere; those out of reach have still to take it
	PhaseDone             Phase = "done"        // all are on the new version
	PhaseRollingBack      Phase = "going back"  // all are to be on the old version
	PhaseRolledBack       Phase = "back"        // all are
	PhaseDegraded         Phase = "stuck"       // some cannot be brought where they should be: named, and taken out of service
	PhaseStopped          Phase = "stopped"     // by hand, or before anything changed: all stay where they are
)

// Ends tells whether nothing more comes of a change.
func (p Phase) IsTerminal() bool { return p == PhaseDone || p == PhaseRolledBack || p == PhaseStopped }

// State is all that must outlive the conductor.
type State struct {
	Phase            Phase             `json:"phase"`
	Stage            int               `json:"stage"` // that stands, is applied or judged, from 0
	Fence            change.Fence      `json:"fence"`
	Paused           bool              `json:"paused"`
	StageRetries     int64             `json:"tries"`    // how often the stage was withdrawn and begun again
	PromptRecoveries int64             `json:"early"`    // how often all were better soon after it was withdrawn
	Reason           string            `json:"why"`      // the last transition's figures
	Outcome          string            `json:"outcome"`  // why it goes back, once it does
	Verdicts         []canary.Verdict  `json:"verdicts"` // of the stages passed, and of the one that was not
	Drained          map[string]string `json:"drains"`   // controllers taken out of service, and why
}

// Member is what is seen of a controller.
type Member struct {
	Name      string
	Reachable bool          // within the pace's unheard_ms
	Serving   bool          // its controller is ready for jobs
	Running   change.Digest // the spec that its controller runs with, as that says itself
	Fence     change.Fence  // of the last order that it took
	Failure   string        // why it cannot do what it was ordered, or ""
}

// Ask is what an operator asks for.
type Request string

// What may be asked for.
const (
	RequestPause    Request = "pause"
	RequestResume   Request = "resume"
	RequestStop     Request = "stop"
	RequestRollback Request = "back"
)

// Input is one look at the fleet.
type Observation struct {
	Now       int64 // ns of the conductor's own time, from its start
	Members   []Member
	Verdict   canary.Verdict // of the stage that stands
	Recovered bool           // Waiting: all do again as before the stage
	Request   Request
}

// Order is what one controller shall do.
type Order struct {
	Member    string
	UseTarget bool // the new version; else the old one
	Drain     bool
}

// Machine is a change under way.
type Machine struct {
	State    State
	from, to change.Digest
	stages   [][]string
	pace     change.Timing
	restarts bool  // a controller that takes an order does not serve for a while
	since    int64 // the phase began; a conductor that takes over waits anew
}

// New takes a change over where its state says, now.
func New(s State, kind change.Kind, from, to change.Digest, stages [][]string, pace change.Timing, now int64) *Machine {
	if s.Drained == nil {
		s.Drained = map[string]string{}
	}
	return &Machine{State: s, from: from, to: to, stages: stages, pace: pace, restarts: kind == change.KindProgram, since: now}
}

// Lay sets the stages, which may rest on what was seen before the first.
func (m *Machine) SetStages(stages [][]string) { m.stages = stages }

// New tells which controllers are to be on the new version now.
func (m *Machine) TargetMembers() []string {
	switch n := m.State.Stage; m.State.Phase {
	case PhaseApplying, PhaseBaking, PhaseFinishing, PhaseDone:
		return m.stages[n]
	case PhaseRollingBackStage, PhaseAwaitingRecovery:
		if n > 0 {
			return m.stages[n-1]
		}
	}
	return nil
}

// Step takes a look in. It tells whether the state has changed, which must be recorded before Orders of it go out.
func (m *Machine) Step(in Observation) (changed bool) {
	changed = m.ask(in)
	if m.move(in) {
		changed = true
	}
	if m.drains(in) {
		changed = true
	}
	if changed {
		m.State.Fence.Revision++
	}
	return changed
}

func (m *Machine) enter(p Phase, in Observation, why string, v ...any) bool {
	m.State.Phase, m.State.Reason, m.since = p, fmt.Sprintf(why, v...), in.Now
	return true
}

// back begins to go back, and keeps why.
func (m *Machine) back(in Observation, why string, v ...any) bool {
	m.State.Outcome = fmt.Sprintf(why, v...)
	return m.enter(PhaseRollingBack, in, "%s", m.State.Outcome)
}

func (m *Machine) ask(in Observation) bool {
	s := &m.State
	switch {
	case s.Phase == PhaseStopped && in.Request == RequestRollback, !s.Phase.IsTerminal() && s.Phase != PhaseRollingBack && s.Phase != PhaseDegraded && in.Request == RequestRollback:
		return m.back(in, "asked for")
	case s.Phase.IsTerminal():
	case in.Request == RequestStop:
		s.Outcome = "asked for"
		return m.enter(PhaseStopped, in, "asked for")
	case in.Request == RequestPause && !s.Paused:
		s.Paused = true
		return true
	case in.Request == RequestResume && s.Paused:
		s.Paused, m.since = false, in.Now
		return true
	}
	return false
}

// passed tells whether the phase has lasted so long.
func (m *Machine) passed(in Observation, ms int64) bool { return in.Now-m.since >= ms*1e6 }

func (m *Machine) move(in Observation) bool {
	s := &m.State
	switch s.Phase {
	case PhasePreparing:
		if not := m.lacking(in, func(x Member) bool { return x.Reachable && x.Serving && x.Running == m.from }, nil); len(not) == 0 {
			return m.enter(PhaseBaseline, in, "all are there")
		} else if m.passed(in, m.pace.ApplyTimeoutMS) {
			s.Outcome = "not ready to begin: " + strings.Join(not, " ")
			return m.enter(PhaseStopped, in, "%s", s.Outcome)
		}
	case PhaseBaseline:
		if !s.Paused && m.passed(in, m.pace.BaselineMS) {
			return m.enter(PhaseApplying, in, "watched before the first stage")
		}
	case PhaseApplying:
		return m.applying(in)
	case PhaseBaking:
		return m.baking(in)
	case PhaseRollingBackStage:
		if not := m.lacking(in, func(x Member) bool { return !x.Reachable || x.Running == m.wanted(x.Name) }, nil); len(not) == 0 {
			return m.enter(PhaseAwaitingRecovery, in, "withdrawn")
		} else if m.passed(in, m.pace.ApplyTimeoutMS) {
			return m.back(in, "could not be withdrawn: %s", strings.Join(not, " "))
		}
	case PhaseAwaitingRecovery:
		if in.Recovered && !s.Paused && !m.passed(in, m.pace.SharedRecoveryMS) {
			s.PromptRecoveries++
		}
		switch {
		case in.Recovered && s.StageRetries >= m.pace.MaxSharedRetries && s.PromptRecoveries > s.StageRetries:
			return m.back(in, "all did worse each of the %d times that the stage stood, and better once it was withdrawn", s.PromptRecoveries)
		case in.Recovered && s.StageRetries >= m.pace.MaxSharedRetries:
			return m.back(in, "undecided: the stage was withdrawn %d times for what may have been the day", s.StageRetries+1)
		case in.Recovered && !s.Paused:
			s.StageRetries++
			return m.enter(PhaseApplying, in, "all do as before: the stage or the day, it is begun once more")
		case m.passed(in, m.pace.MaxBakeMS):
			return m.back(in, "undecided: the day stays bad")
		}
	case PhaseFinishing:
		if len(m.lacking(in, func(x Member) bool { return x.Reachable && x.Running == m.to }, nil)) == 0 {
			return m.enter(PhaseDone, in, "all are on the new version")
		}
	case PhaseRollingBack, PhaseDegraded:
		not := m.lacking(in, func(x Member) bool { return x.Reachable && x.Running == m.from }, nil)
		switch {
		case len(not) == 0:
			return m.enter(PhaseRolledBack, in, "%s", s.Outcome)
		case s.Phase == PhaseRollingBack && m.passed(in, m.pace.ApplyTimeoutMS):
			return m.enter(PhaseDegraded, in, "not back: %s", strings.Join(not, " "))
		}
	}
	return false
}

// applying waits until those of the stage that can be reached have taken the new version and serve. One that says that it
// cannot, or dies of it, is worse at once.
func (m *Machine) applying(in Observation) bool {
	if in.Verdict.Conclusion == canary.Regressed {
		return m.judged(in)
	}
	for _, x := range in.Members {
		if x.Failure != "" && m.wanted(x.Name) == m.to {
			return m.back(in, "%s cannot take it: %s", x.Name, x.Failure)
		}
	}
	is := func(x Member) bool { return x.Reachable && x.Running == m.to && x.Serving }
	stage := m.stages[m.State.Stage]
	not := m.lacking(in, func(x Member) bool { return !x.Reachable || is(x) }, stage)
	took := len(stage) - len(m.lacking(in, is, stage))
	switch {
	case len(not) == 0 && took > m.onBefore() && !m.State.Paused:
		return m.enter(PhaseBaking, in, "stage %d of %d is on %d controllers", m.State.Stage+1, len(m.stages), took)
	case m.passed(in, m.pace.ApplyTimeoutMS) && !m.State.Paused:
		return m.back(in, "stage %d was not taken by %s", m.State.Stage+1, strings.Join(m.lacking(in, is, stage), " "))
	}
	return false
}

// onBefore is how many controllers the stage before holds: a stage that adds none that can be reached shows nothing.
func (m *Machine) onBefore() int {
	if m.State.Stage == 0 {
		return 0
	}
	return len(m.stages[m.State.Stage-1])
}

func (m *Machine) judged(in Observation) bool {
	m.State.Verdicts = append(m.State.Verdicts, in.Verdict)
	return m.back(in, "stage %d does worse: %s", m.State.Stage+1, in.Verdict.Reason)
}

func (m *Machine) baking(in Observation) bool {
	s := &m.State
	switch in.Verdict.Conclusion {
	case canary.Regressed:
		return m.judged(in)
	case canary.AllRegressed:
		return m.enter(PhaseRollingBackStage, in, "%s", in.Verdict.Reason)
	case canary.NoRegression:
		if s.Paused {
			return false
		}
		s.Verdicts = append(s.Verdicts, in.Verdict)
		if s.Stage+1 == len(m.stages) {
			return m.enter(PhaseFinishing, in, "the last stage passed")
		}
		s.Stage++
		s.StageRetries, s.PromptRecoveries = 0, 0
		return m.enter(PhaseApplying, in, "stage %d passed: %s", s.Stage, in.Verdict.Reason)
	}
	if m.passed(in, m.pace.MaxBakeMS) && !s.Paused {
		s.Verdicts = append(s.Verdicts, in.Verdict)
		return m.back(in, "undecided after its time: %s", in.Verdict.Reason)
	}
	return false
}

// Baked tells whether the stage has stood for its time.
func (m *Machine) BakeElapsed(now int64) bool { return now-m.since >= m.pace.BakeMS*1e6 }

// drains takes controllers out of service that cannot go back: they answer, and say that they cannot. One that says so no
// more, as somebody has mended it, is to serve again.
func (m *Machine) drains(in Observation) (changed bool) {
	if p := m.State.Phase; p != PhaseRollingBack && p != PhaseDegraded {
		return false
	}
	for _, x := range in.Members {
		if x.Reachable && x.Failure != "" && x.Running != m.from && m.State.Drained[x.Name] == "" {
			m.State.Drained[x.Name], changed = x.Failure, true
		} else if x.Reachable && x.Failure == "" && m.State.Drained[x.Name] != "" {
			delete(m.State.Drained, x.Name)
			changed = true
		}
	}
	return changed
}

// lacking are the names of those (of all, where none are named) that are not as wanted, in order.
func (m *Machine) lacking(in Observation, is func(Member) bool, of []string) (names []string) {
	for _, x := range in.Members {
		if (of == nil || slices.Contains(of, x.Name)) && !is(x) {
			names = append(names, x.Name)
		}
	}
	slices.Sort(names)
	return names
}

// wanted is the spec that a controller is to run with.
func (m *Machine) wanted(name string) change.Digest {
	if slices.Contains(m.TargetMembers(), name) {
		return m.to
	}
	return m.from
}

// Orders are those that still have to be taken. They say where to be, not what to do, so they may be said again; and all get
// one with each turn, also those that stay where they are, so that nobody else's earlier one is taken any more. Where an
// order costs a restart, no more are under way than leave enough that serve.
func (m *Machine) Orders(in Observation) (list []Order) {
	switch m.State.Phase {
	case PhasePreparing, PhaseDone, PhaseRolledBack, PhaseStopped:
		return nil
	}
	serving := 0
	for _, x := range in.Members {
		if x.Reachable && x.Serving && !m.underway(x) {
			serving++
		}
	}
	spare := serving - int((m.pace.MinHealthyPerMille*int64(len(in.Members))+999)/1000)
	for _, x := range in.Members {
		want := m.wanted(x.Name)
		drain := m.State.Drained[x.Name] != ""
		if !x.Reachable || x.Fence == m.State.Fence && (x.Running == want || drain) {
			continue
		}
		if m.State.Paused && want == m.to && x.Running != m.to {
			continue
		}
		if m.restarts && x.Running != want && x.Serving && !m.underway(x) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		list = append(list, Order{Member: x.Name, UseTarget: want == m.to, Drain: drain})
	}
	return list
}

// underway tells whether a controller has an order of this turn that it has not carried out.
func (m *Machine) underway(x Member) bool {
	return x.Fence == m.State.Fence && x.Running != m.wanted(x.Name)
}
