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
	Preparing   Phase = "preparing"   // are all there, and on the version that it begins with?
	Watching    Phase = "watching"    // all are watched before anything changes
	Applying    Phase = "applying"    // the stage's controllers take the new version
	Baking      Phase = "baking"      // the stage stands and is judged
	Withdrawing Phase = "withdrawing" // all did worse: the stage is taken back, to see whether that ends it
	Waiting     Phase = "waiting"     // it is taken back; are all better now?
	Finishing   Phase = "finishing"   // passed everywhere; those out of reach have still to take it
	Done        Phase = "done"        // all are on the new version
	GoingBack   Phase = "going back"  // all are to be on the old version
	Back        Phase = "back"        // all are
	Stuck       Phase = "stuck"       // some cannot be brought where they should be: named, and taken out of service
	Stopped     Phase = "stopped"     // by hand, or before anything changed: all stay where they are
)

// Ends tells whether nothing more comes of a change.
func (p Phase) Ends() bool { return p == Done || p == Back || p == Stopped }

// State is all that must outlive the conductor.
type State struct {
	Phase    Phase             `json:"phase"`
	Stage    int               `json:"stage"` // that stands, is applied or judged, from 0
	Fence    change.Fence      `json:"fence"`
	Paused   bool              `json:"paused"`
	Tries    int64             `json:"tries"`    // how often the stage was withdrawn and begun again
	Early    int64             `json:"early"`    // how often all were better soon after it was withdrawn
	Why      string            `json:"why"`      // the last transition's figures
	Outcome  string            `json:"outcome"`  // why it goes back, once it does
	Verdicts []canary.Verdict  `json:"verdicts"` // of the stages passed, and of the one that was not
	Drains   map[string]string `json:"drains"`   // controllers taken out of service, and why
}

// Member is what is seen of a controller.
type Member struct {
	Name    string
	Heard   bool          // within the pace's unheard_ms
	Serves  bool          // its controller is ready for jobs
	Running change.Digest // the spec that its controller runs with, as that says itself
	Fence   change.Fence  // of the last order that it took
	Failed  string        // why it cannot do what it was ordered, or ""
}

// Ask is what an operator asks for.
type Ask string

// What may be asked for.
const (
	AskPause  Ask = "pause"
	AskResume Ask = "resume"
	AskStop   Ask = "stop"
	AskBack   Ask = "back"
)

// Input is one look at the fleet.
type Input struct {
	Now     int64 // ns of the conductor's own time, from its start
	Members []Member
	Verdict canary.Verdict // of the stage that stands
	Better  bool           // Waiting: all do again as before the stage
	Ask     Ask
}

// Order is what one controller shall do.
type Order struct {
	Member string
	New    bool // the new version; else the old one
	Drain  bool
}

// Machine is a change under way.
type Machine struct {
	State    State
	from, to change.Digest
	stages   [][]string
	pace     change.Pace
	restarts bool  // a controller that takes an order does not serve for a while
	since    int64 // the phase began; a conductor that takes over waits anew
}

// New takes a change over where its state says, now.
func New(s State, kind change.Kind, from, to change.Digest, stages [][]string, pace change.Pace, now int64) *Machine {
	if s.Drains == nil {
		s.Drains = map[string]string{}
	}
	return &Machine{State: s, from: from, to: to, stages: stages, pace: pace, restarts: kind == change.Software, since: now}
}

// Lay sets the stages, which may rest on what was seen before the first.
func (m *Machine) Lay(stages [][]string) { m.stages = stages }

// New tells which controllers are to be on the new version now.
func (m *Machine) New() []string {
	switch n := m.State.Stage; m.State.Phase {
	case Applying, Baking, Finishing, Done:
		return m.stages[n]
	case Withdrawing, Waiting:
		if n > 0 {
			return m.stages[n-1]
		}
	}
	return nil
}

// Step takes a look in. It tells whether the state has changed, which must be recorded before Orders of it go out.
func (m *Machine) Step(in Input) (changed bool) {
	changed = m.ask(in)
	if m.move(in) {
		changed = true
	}
	if m.drains(in) {
		changed = true
	}
	if changed {
		m.State.Fence.Turn++
	}
	return changed
}

func (m *Machine) enter(p Phase, in Input, why string, v ...any) bool {
	m.State.Phase, m.State.Why, m.since = p, fmt.Sprintf(why, v...), in.Now
	return true
}

// back begins to go back, and keeps why.
func (m *Machine) back(in Input, why string, v ...any) bool {
	m.State.Outcome = fmt.Sprintf(why, v...)
	return m.enter(GoingBack, in, "%s", m.State.Outcome)
}

func (m *Machine) ask(in Input) bool {
	s := &m.State
	switch {
	case s.Phase == Stopped && in.Ask == AskBack, !s.Phase.Ends() && s.Phase != GoingBack && s.Phase != Stuck && in.Ask == AskBack:
		return m.back(in, "asked for")
	case s.Phase.Ends():
	case in.Ask == AskStop:
		s.Outcome = "asked for"
		return m.enter(Stopped, in, "asked for")
	case in.Ask == AskPause && !s.Paused:
		s.Paused = true
		return true
	case in.Ask == AskResume && s.Paused:
		s.Paused, m.since = false, in.Now
		return true
	}
	return false
}

// passed tells whether the phase has lasted so long.
func (m *Machine) passed(in Input, ms int64) bool { return in.Now-m.since >= ms*1e6 }

func (m *Machine) move(in Input) bool {
	s := &m.State
	switch s.Phase {
	case Preparing:
		if not := m.lacking(in, func(x Member) bool { return x.Heard && x.Serves && x.Running == m.from }, nil); len(not) == 0 {
			return m.enter(Watching, in, "all are there")
		} else if m.passed(in, m.pace.ApplyMS) {
			s.Outcome = "not ready to begin: " + strings.Join(not, " ")
			return m.enter(Stopped, in, "%s", s.Outcome)
		}
	case Watching:
		if !s.Paused && m.passed(in, m.pace.BaseMS) {
			return m.enter(Applying, in, "watched before the first stage")
		}
	case Applying:
		return m.applying(in)
	case Baking:
		return m.baking(in)
	case Withdrawing:
		if not := m.lacking(in, func(x Member) bool { return !x.Heard || x.Running == m.wanted(x.Name) }, nil); len(not) == 0 {
			return m.enter(Waiting, in, "withdrawn")
		} else if m.passed(in, m.pace.ApplyMS) {
			return m.back(in, "could not be withdrawn: %s", strings.Join(not, " "))
		}
	case Waiting:
		if in.Better && !s.Paused && !m.passed(in, m.pace.SharedMS) {
			s.Early++
		}
		switch {
		case in.Better && s.Tries >= m.pace.SharedTries && s.Early > s.Tries:
			return m.back(in, "all did worse each of the %d times that the stage stood, and better once it was withdrawn", s.Early)
		case in.Better && s.Tries >= m.pace.SharedTries:
			return m.back(in, "undecided: the stage was withdrawn %d times for what may have been the day", s.Tries+1)
		case in.Better && !s.Paused:
			s.Tries++
			return m.enter(Applying, in, "all do as before: the stage or the day, it is begun once more")
		case m.passed(in, m.pace.MostMS):
			return m.back(in, "undecided: the day stays bad")
		}
	case Finishing:
		if len(m.lacking(in, func(x Member) bool { return x.Heard && x.Running == m.to }, nil)) == 0 {
			return m.enter(Done, in, "all are on the new version")
		}
	case GoingBack, Stuck:
		not := m.lacking(in, func(x Member) bool { return x.Heard && x.Running == m.from }, nil)
		switch {
		case len(not) == 0:
			return m.enter(Back, in, "%s", s.Outcome)
		case s.Phase == GoingBack && m.passed(in, m.pace.ApplyMS):
			return m.enter(Stuck, in, "not back: %s", strings.Join(not, " "))
		}
	}
	return false
}

// applying waits until those of the stage that can be reached have taken the new version and serve. One that says that it
// cannot, or dies of it, is worse at once.
func (m *Machine) applying(in Input) bool {
	if in.Verdict.Conclusion == canary.Regressed {
		return m.judged(in)
	}
	for _, x := range in.Members {
		if x.Failed != "" && m.wanted(x.Name) == m.to {
			return m.back(in, "%s cannot take it: %s", x.Name, x.Failed)
		}
	}
	is := func(x Member) bool { return x.Heard && x.Running == m.to && x.Serves }
	stage := m.stages[m.State.Stage]
	not := m.lacking(in, func(x Member) bool { return !x.Heard || is(x) }, stage)
	took := len(stage) - len(m.lacking(in, is, stage))
	switch {
	case len(not) == 0 && took > m.onBefore() && !m.State.Paused:
		return m.enter(Baking, in, "stage %d of %d is on %d controllers", m.State.Stage+1, len(m.stages), took)
	case m.passed(in, m.pace.ApplyMS) && !m.State.Paused:
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

func (m *Machine) judged(in Input) bool {
	m.State.Verdicts = append(m.State.Verdicts, in.Verdict)
	return m.back(in, "stage %d does worse: %s", m.State.Stage+1, in.Verdict.Reason)
}

func (m *Machine) baking(in Input) bool {
	s := &m.State
	switch in.Verdict.Conclusion {
	case canary.Regressed:
		return m.judged(in)
	case canary.AllRegressed:
		return m.enter(Withdrawing, in, "%s", in.Verdict.Reason)
	case canary.NoRegression:
		if s.Paused {
			return false
		}
		s.Verdicts = append(s.Verdicts, in.Verdict)
		if s.Stage+1 == len(m.stages) {
			return m.enter(Finishing, in, "the last stage passed")
		}
		s.Stage++
		s.Tries, s.Early = 0, 0
		return m.enter(Applying, in, "stage %d passed: %s", s.Stage, in.Verdict.Reason)
	}
	if m.passed(in, m.pace.MostMS) && !s.Paused {
		s.Verdicts = append(s.Verdicts, in.Verdict)
		return m.back(in, "undecided after its time: %s", in.Verdict.Reason)
	}
	return false
}

// Baked tells whether the stage has stood for its time.
func (m *Machine) Baked(now int64) bool { return now-m.since >= m.pace.BakeMS*1e6 }

// drains takes controllers out of service that cannot go back: they answer, and say that they cannot. One that says so no
// more, as somebody has mended it, is to serve again.
func (m *Machine) drains(in Input) (changed bool) {
	if p := m.State.Phase; p != GoingBack && p != Stuck {
		return false
	}
	for _, x := range in.Members {
		if x.Heard && x.Failed != "" && x.Running != m.from && m.State.Drains[x.Name] == "" {
			m.State.Drains[x.Name], changed = x.Failed, true
		} else if x.Heard && x.Failed == "" && m.State.Drains[x.Name] != "" {
			delete(m.State.Drains, x.Name)
			changed = true
		}
	}
	return changed
}

// lacking are the names of those (of all, where none are named) that are not as wanted, in order.
func (m *Machine) lacking(in Input, is func(Member) bool, of []string) (names []string) {
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
	if slices.Contains(m.New(), name) {
		return m.to
	}
	return m.from
}

// Orders are those that still have to be taken. They say where to be, not what to do, so they may be said again; and all get
// one with each turn, also those that stay where they are, so that nobody else's earlier one is taken any more. Where an
// order costs a restart, no more are under way than leave enough that serve.
func (m *Machine) Orders(in Input) (list []Order) {
	switch m.State.Phase {
	case Preparing, Done, Back, Stopped:
		return nil
	}
	serving := 0
	for _, x := range in.Members {
		if x.Heard && x.Serves && !m.underway(x) {
			serving++
		}
	}
	spare := serving - int((m.pace.HealthyPerMille*int64(len(in.Members))+999)/1000)
	for _, x := range in.Members {
		want := m.wanted(x.Name)
		drain := m.State.Drains[x.Name] != ""
		if !x.Heard || x.Fence == m.State.Fence && (x.Running == want || drain) {
			continue
		}
		if m.State.Paused && want == m.to && x.Running != m.to {
			continue
		}
		if m.restarts && x.Running != want && x.Serves && !m.underway(x) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		list = append(list, Order{Member: x.Name, New: want == m.to, Drain: drain})
	}
	return list
}

// underway tells whether a controller has an order of this turn that it has not carried out.
func (m *Machine) underway(x Member) bool {
	return x.Fence == m.State.Fence && x.Running != m.wanted(x.Name)
}
