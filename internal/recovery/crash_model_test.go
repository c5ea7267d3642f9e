package recovery

import (
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/store"
)

// An exhaustive model of two jobs of one ordering key, with up to two crashes of the controller. Each message to an
// engine or a client, and each record, is a step of its own, and a crash can come between any two steps. The ledger is
// the real one; the model adds the order in which a controller has to write records and send messages.

// protocolFault selects a defect of the controller that the model must detect.
type protocolFault struct {
	dispatchesBeforeRecord bool
	answersBeforeRecord    bool
	skipsCooldown          bool
	assumesNeverRan        bool // of attempts that were in flight at a crash
}

const (
	modelJobs        = 2
	maxModelCrashes  = 2
	maxModelAttempts = 2 // per job
	minModelStates   = 1000
)

var modelCalls = [modelJobs]CallID{"a", "b"}

// modelState is one state of the model. The fields of the first group survive a crash.
type modelState struct {
	log          []store.Record
	clientAnswer [modelJobs]string // what the client received; different answers are joined by " and "
	executions   [modelJobs]int
	atEngine     [modelJobs]bool
	crashes      int
	requests     [modelJobs]int // that the client sent
	attempts     [modelJobs]int

	isUp                 bool
	isKeyInCooldown      bool                   // no job of the ordering key may be dispatched
	awaitsOutcome        [modelJobs]bool        // the controller will receive the outcome of the attempt
	toDispatch           [modelJobs]bool        // dispatch recorded, message not sent yet
	outcome              [modelJobs]Outcome     // received, not recorded yet
	toAnswer             [modelJobs]FinalAnswer // recorded, not sent yet
	dispatchedUnrecorded [modelJobs]bool        // only with dispatchesBeforeRecord
}

func (s modelState) fingerprint() string {
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

// explorer collects the successors of a state.
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

// successors returns all states that can follow a state.
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
		e.addRecordedAction(i)
		e.addOutcome(i)
		if open, isOpen := openJobs[call]; isOpen && !e.isRecoveryDelayed(i) {
			e.addRecovery(ledger, i, open)
		}
	}
	return e.next
}

// addEngineSteps ends attempts. Engines continue even while the controller is down.
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
		s.isKeyInCooldown = false
		s.awaitsOutcome = [modelJobs]bool{}
		s.toDispatch = [modelJobs]bool{}
		s.outcome = [modelJobs]Outcome{}
		s.toAnswer = [modelJobs]FinalAnswer{}
		s.dispatchedUnrecorded = [modelJobs]bool{}
	})
}

func (e *explorer) addRestart() {
	e.add(func(s *modelState) {
		ledger := s.ledger()
		for _, open := range ledger.OpenJobs(1) {
			s.isKeyInCooldown = s.isKeyInCooldown || open.NeedsKeyCooldown && !e.fault.skipsCooldown
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

// addCooldownEnd ends the cooldown, which is longer than any attempt runs.
func (e *explorer) addCooldownEnd() {
	if e.from.isKeyInCooldown && e.from.atEngine == [modelJobs]bool{} {
		e.add(func(s *modelState) { s.isKeyInCooldown = false })
	}
}

// addRequest sends a request of the client, which repeats it after each crash.
func (e *explorer) addRequest(ledger *Ledger, i int) {
	call := modelCalls[i]
	if e.from.requests[i] > e.from.crashes {
		return
	}
	answer, isAnswered := ledger.Answer(call)
	isInOrder := i == 0 || ledger.Contains(modelCalls[0])
	switch {
	case !ledger.Contains(call) && isInOrder:
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

// addRecordedAction sends an answer or a dispatch that was recorded before.
func (e *explorer) addRecordedAction(i int) {
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
			s.awaitsOutcome[i] = true
		})
	}
}

// addOutcome records a received outcome.
func (e *explorer) addOutcome(i int) {
	if e.from.outcome[i] == "" {
		return
	}
	if e.fault.answersBeforeRecord && e.from.outcome[i] == OutcomeRan {
		e.add(func(s *modelState) { s.answer(i, AnswerDone) })
	}
	call := modelCalls[i]
	e.add(func(s *modelState) {
		if s.dispatchedUnrecorded[i] {
			s.record(KindDispatched, Dispatched{Call: call, Engine: "e", AtNS: 1})
			s.dispatchedUnrecorded[i] = false
		}
		s.record(KindAttemptEnded, AttemptEnded{Call: call, Outcome: s.outcome[i]})
		s.outcome[i] = ""
	})
}

// isRecoveryDelayed reports whether a recorded dispatch, an attempt or an outcome of a job must be completed first.
func (e *explorer) isRecoveryDelayed(i int) bool {
	waitsForEngine := e.from.atEngine[i] && !e.fault.skipsCooldown && !e.fault.assumesNeverRan
	return e.from.toDispatch[i] || waitsForEngine || e.from.outcome[i] != ""
}

// addRecovery continues an open job according to its action.
func (e *explorer) addRecovery(ledger *Ledger, i int, open OpenJob) {
	call := open.Call
	isDelayed := e.from.isKeyInCooldown || e.from.dispatchedUnrecorded[i] || e.from.attempts[i] >= maxModelAttempts
	canDispatch := ledger.CanDispatch(call) && !isDelayed
	switch {
	case open.Action == ActionSendAnswer:
		e.add(func(s *modelState) {
			s.record(KindAnswered, Answered{call, AnswerDone})
			s.toAnswer[i] = AnswerDone
		})
	case open.Action == ActionCancel && !ledger.jobs[call].InFlight:
		e.add(func(s *modelState) {
			s.record(KindAnswered, Answered{call, AnswerCancelled})
			s.toAnswer[i] = AnswerCancelled
			s.isKeyInCooldown = s.isKeyInCooldown || !e.fault.skipsCooldown
		})
	case open.Action == ActionRetry && canDispatch && e.fault.dispatchesBeforeRecord:
		e.add(func(s *modelState) {
			s.atEngine[i] = true
			s.dispatchedUnrecorded[i] = true
			s.awaitsOutcome[i] = true
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

// endAttempt ends an attempt at its engine.
func (s *modelState) endAttempt(i, executions int, outcome Outcome) {
	s.atEngine[i] = false
	s.executions[i] += executions
	if s.awaitsOutcome[i] {
		s.outcome[i] = outcome
		s.awaitsOutcome[i] = false
	}
}

func (s *modelState) answer(i int, answer FinalAnswer) {
	if s.clientAnswer[i] == "" || s.clientAnswer[i] == string(answer) {
		s.clientAnswer[i] = string(answer)
	} else {
		s.clientAnswer[i] += " and " + string(answer)
	}
}

// violation describes a rule that is broken by a state or by the step to it; empty if there is none.
func (s modelState) violation(before modelState) string {
	for i := range modelJobs {
		switch {
		case s.executions[i] > 1:
			return fmt.Sprintf("%s has run %d times", modelCalls[i], s.executions[i])
		case strings.Contains(s.clientAnswer[i], "and"):
			return fmt.Sprintf("%s was answered %s", modelCalls[i], s.clientAnswer[i])
		case s.clientAnswer[i] == string(AnswerDone) && s.executions[i] == 0:
			return fmt.Sprintf("%s was answered as done but has not run", modelCalls[i])
		}
	}
	if s.atEngine[1] && !before.atEngine[1] && s.atEngine[0] {
		return "b is dispatched while a is at an engine"
	}
	return ""
}

// explore visits all reachable states and returns the first violation, if any, and the number of states visited.
func explore(fault protocolFault) (violation string, states int) {
	start := modelState{isUp: true}
	visited := map[string]bool{start.fingerprint(): true}
	stack := []modelState{start}
	for len(stack) > 0 {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range state.successors(fault) {
			if violation := next.violation(state); violation != "" {
				return violation, len(visited)
			}
			if key := next.fingerprint(); !visited[key] {
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
		"dispatch before its record":              {dispatchesBeforeRecord: true},
		"answer before the record of the outcome": {answersBeforeRecord: true},
		"no cooldown of the key":                  {skipsCooldown: true},
		"interrupted attempts taken as never run": {assumesNeverRan: true},
	} {
		violation, states := explore(fault)
		if violation == "" {
			t.Errorf("%s: no violation found in %d states", name, states)
		} else {
			t.Logf("%s: %s", name, violation)
		}
	}
}
