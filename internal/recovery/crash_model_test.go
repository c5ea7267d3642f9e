package recovery

import (
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/store"
)

// A model of all that can become of two jobs of one ordering key, with two crashes anywhere: each act towards an
// engine or a client, and each record before it, is a step of its own. The ledger is the real one; around it stands
// the order in which a controller has to write and act.

// protocolFault is a wrong order of records and acts that the model must find.
type protocolFault struct {
	dispatchesBeforeRecord bool
	answersBeforeRecord    bool
	skipsCooldown          bool
	assumesNeverRan        bool // of attempts that were out at a crash
}

const (
	modelJobs        = 2
	maxModelCrashes  = 2
	maxModelAttempts = 2 // of one job
	minModelStates   = 1000
)

var modelCalls = [modelJobs]CallID{"a", "b"}

// modelState is one state of the model. The first group outlasts a crash.
type modelState struct {
	log          []store.Record
	clientAnswer [modelJobs]string // what the client received; several different answers are joined
	executions   [modelJobs]int
	atEngine     [modelJobs]bool
	crashes      int
	requests     [modelJobs]int // by the client
	attempts     [modelJobs]int

	isUp       bool
	keyCools   bool                   // no job of the key may be dispatched
	isLinked   [modelJobs]bool        // the outcome of the attempt is received here
	toDispatch [modelJobs]bool        // recorded, not dispatched yet
	outcome    [modelJobs]Outcome     // on its way here
	toAnswer   [modelJobs]FinalAnswer // recorded, not answered yet
	unrecorded [modelJobs]bool        // dispatched without a record (dispatchesBeforeRecord)
}

func (s modelState) key() string {
	var text strings.Builder
	for _, r := range s.log {
		fmt.Fprintf(&text, "%d%s", r.Kind, r.Payload)
	}
	s.log = nil
	return text.String() + fmt.Sprintf("%+v", s)
}

func (s *modelState) ledger() *Ledger {
	ledger := NewLedger(8)
	for _, r := range s.log {
		if err := ledger.Apply(r); err != nil {
			panic(err)
		}
	}
	return ledger
}

func (s *modelState) record(kind store.Kind, body any) {
	r, err := NewRecord(kind, body)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log[:len(s.log):len(s.log)], r)
}

// explorer collects the states that can follow one.
type explorer struct {
	from  modelState
	fault protocolFault
	next  []modelState
}

func (e *explorer) add(change func(*modelState)) {
	state := e.from
	change(&state)
	e.next = append(e.next, state)
}

// successors returns all states that can follow one.
func (s modelState) successors(fault protocolFault) []modelState {
	e := &explorer{from: s, fault: fault}
	e.addEngineSteps()
	e.addCrash()
	if !s.isUp {
		e.addRestart()
		return e.next
	}
	e.addCooldownEnd()
	ledger := s.ledger()
	openJobs := map[CallID]OpenJob{}
	for _, open := range ledger.OpenJobs(1) {
		openJobs[open.Call] = open
	}
	for i, call := range modelCalls {
		e.addRequest(ledger, i)
		e.addAct(i)
		e.addOutcome(i)
		if open, isOpen := openJobs[call]; isOpen && !e.isBusy(i) {
			e.addRecovery(ledger, i, open)
		}
	}
	return e.next
}

// addEngineSteps ends attempts: engines go on whatever happens to the controller.
func (e *explorer) addEngineSteps() {
	for i := range modelJobs {
		if !e.from.atEngine[i] {
			continue
		}
		e.add(func(s *modelState) { s.endAttempt(i, 1, OutcomeRan) })
		e.add(func(s *modelState) { s.endAttempt(i, 0, OutcomeNeverRan) })
		e.add(func(s *modelState) { s.endAttempt(i, 0, OutcomeUnknown) })
		e.add(func(s *modelState) { s.endAttempt(i, 1, OutcomeUnknown) })
	}
}

func (e *explorer) addCrash() {
	if !e.from.isUp || e.from.crashes >= maxModelCrashes {
		return
	}
	e.add(func(s *modelState) {
		s.crashes++
		s.isUp = false
		s.keyCools = false
		s.isLinked = [modelJobs]bool{}
		s.toDispatch = [modelJobs]bool{}
		s.outcome = [modelJobs]Outcome{}
		s.toAnswer = [modelJobs]FinalAnswer{}
		s.unrecorded = [modelJobs]bool{}
	})
}

func (e *explorer) addRestart() {
	e.add(func(s *modelState) {
		ledger := s.ledger()
		for _, open := range ledger.OpenJobs(1) {
			s.keyCools = s.keyCools || open.NeedsKeyCooldown && !e.fault.skipsCooldown
		}
		for _, ended := range ledger.InterruptedAttempts() {
			if e.fault.assumesNeverRan {
				ended.Outcome = OutcomeNeverRan
			}
			s.record(KindAttemptEnded, ended)
		}
		s.isUp = true
	})
}

// addCooldownEnd ends the cooldown, which is longer than an engine works at anything.
func (e *explorer) addCooldownEnd() {
	if e.from.keyCools && e.from.atEngine == [modelJobs]bool{} {
		e.add(func(s *modelState) { s.keyCools = false })
	}
}

// addRequest has the client ask, once more after each crash.
func (e *explorer) addRequest(ledger *Ledger, i int) {
	call := modelCalls[i]
	if e.from.requests[i] > e.from.crashes {
		return
	}
	answer, isAnswered := ledger.Answer(call)
	isNext := i == 0 || ledger.Contains(modelCalls[0])
	switch {
	case !ledger.Contains(call) && isNext:
		e.add(func(s *modelState) {
			s.requests[i]++
			s.record(KindAccepted, Accepted{Call: call, Type: "import", Key: "k", Effect: EffectRunOnce})
		})
	case isAnswered && e.from.toAnswer[i] == "" && e.from.clientAnswer[i] == "":
		e.add(func(s *modelState) {
			s.requests[i]++
			s.toAnswer[i] = answer.Answer
		})
	}
}

// addAct performs what was recorded before.
func (e *explorer) addAct(i int) {
	if e.from.toAnswer[i] != "" {
		e.add(func(s *modelState) {
			s.answer(i, s.toAnswer[i])
			s.toAnswer[i] = ""
		})
	}
	if e.from.toDispatch[i] {
		e.add(func(s *modelState) {
			s.toDispatch[i] = false
			s.atEngine[i] = true
			s.isLinked[i] = true
		})
	}
}

// addOutcome records an outcome that was received.
func (e *explorer) addOutcome(i int) {
	if e.from.outcome[i] == "" {
		return
	}
	if e.fault.answersBeforeRecord && e.from.outcome[i] == OutcomeRan {
		e.add(func(s *modelState) { s.answer(i, AnswerDone) })
	}
	call := modelCalls[i]
	e.add(func(s *modelState) {
		if s.unrecorded[i] {
			s.record(KindDispatched, Dispatched{Call: call, Engine: "e", AtNS: 1})
			s.unrecorded[i] = false
		}
		s.record(KindAttemptEnded, AttemptEnded{Call: call, Outcome: s.outcome[i]})
		s.outcome[i] = ""
	})
}

// isBusy reports whether an act or outcome of a job is to come first.
func (e *explorer) isBusy(i int) bool {
	waitsForEngine := e.from.atEngine[i] && !e.fault.skipsCooldown && !e.fault.assumesNeverRan
	return e.from.toDispatch[i] || waitsForEngine || e.from.outcome[i] != ""
}

// addRecovery goes on with an open job as its action says.
func (e *explorer) addRecovery(ledger *Ledger, i int, open OpenJob) {
	call := open.Call
	isDelayed := e.from.keyCools || e.from.unrecorded[i] || e.from.attempts[i] >= maxModelAttempts
	canDispatch := ledger.CanDispatch(call) && !isDelayed
	switch {
	case open.Action == ActionRepeatAnswer:
		e.add(func(s *modelState) {
			s.record(KindAnswered, Answered{call, AnswerDone})
			s.toAnswer[i] = AnswerDone
		})
	case open.Action == ActionCancel && !ledger.jobs[call].IsOut:
		e.add(func(s *modelState) {
			s.record(KindAnswered, Answered{call, AnswerCancelled})
			s.toAnswer[i] = AnswerCancelled
			s.keyCools = s.keyCools || !e.fault.skipsCooldown
		})
	case open.Action == ActionRetry && canDispatch && e.fault.dispatchesBeforeRecord:
		e.add(func(s *modelState) {
			s.atEngine[i] = true
			s.unrecorded[i] = true
			s.isLinked[i] = true
			s.attempts[i]++
		})
	case open.Action == ActionRetry && canDispatch:
		e.add(func(s *modelState) {
			s.record(KindDispatched, Dispatched{Call: call, Engine: "e", AtNS: 1})
			s.toDispatch[i] = true
			s.attempts[i]++
		})
	}
}

// endAttempt is an engine's end with an attempt.
func (s *modelState) endAttempt(i, executions int, outcome Outcome) {
	s.atEngine[i] = false
	s.executions[i] += executions
	if s.isLinked[i] {
		s.outcome[i] = outcome
		s.isLinked[i] = false
	}
}

func (s *modelState) answer(i int, answer FinalAnswer) {
	if s.clientAnswer[i] == "" || s.clientAnswer[i] == string(answer) {
		s.clientAnswer[i] = string(answer)
	} else {
		s.clientAnswer[i] += " and " + string(answer)
	}
}

// violation describes a rule that is broken in a state, or by the step to it.
func (s modelState) violation(before modelState) string {
	for i := range modelJobs {
		switch {
		case s.executions[i] > 1:
			return fmt.Sprintf("%s has run %d times", modelCalls[i], s.executions[i])
		case strings.Contains(s.clientAnswer[i], "and"):
			return fmt.Sprintf("%s was answered %s", modelCalls[i], s.clientAnswer[i])
		case s.clientAnswer[i] == string(AnswerDone) && s.executions[i] == 0:
			return fmt.Sprintf("%s is done, and has not run", modelCalls[i])
		}
	}
	if s.atEngine[1] && !before.atEngine[1] && s.atEngine[0] {
		return "b begins while a is at an engine"
	}
	return ""
}

// explore visits all states and returns the first violation, if any, and the number of states.
func explore(fault protocolFault) (violation string, states int) {
	start := modelState{isUp: true}
	visited := map[string]bool{start.key(): true}
	stack := []modelState{start}
	for len(stack) > 0 {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range state.successors(fault) {
			if violation := next.violation(state); violation != "" {
				return violation, len(visited)
			}
			if key := next.key(); !visited[key] {
				visited[key] = true
				stack = append(stack, next)
			}
		}
	}
	return "", len(visited)
}

func TestNoCrashRunsAJobTwiceOrOutOfOrder(t *testing.T) {
	violation, states := explore(protocolFault{})
	if violation != "" || states < minModelStates {
		t.Errorf("%s (%d states)", violation, states)
	}
	t.Logf("%d states", states)
	for name, fault := range map[string]protocolFault{
		"a dispatch before it is recorded":         {dispatchesBeforeRecord: true},
		"an answer before its outcome is recorded": {answersBeforeRecord: true},
		"a key that does not rest":                 {skipsCooldown: true},
		"what was out counts as never run":         {assumesNeverRan: true},
	} {
		violation, states := explore(fault)
		if violation == "" {
			t.Errorf("%s: not found in %d states", name, states)
		} else {
			t.Logf("%s: %s", name, violation)
		}
	}
}
