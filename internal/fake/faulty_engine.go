package fake

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"swiftreel/internal/engine"
)

// FaultyEngine behaves like an engine behind an unreliable network: it answers half of the dispatches correctly, and
// the others with a corrupted, duplicated, truncated or missing answer. The rows of each correct result begin with the
// job's ID. The faults are drawn from a seed. It is safe for concurrent use.
type FaultyEngine struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewFaultyEngine returns a handler whose faults are drawn from a seed.
func NewFaultyEngine(seed uint64) *FaultyEngine {
	return &FaultyEngine{random: rand.New(rand.NewPCG(seed, 1))}
}

func (e *FaultyEngine) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

// FaultyEngineRows returns the rows of a correct result, both pages together.
func FaultyEngineRows(id string) string { return pageRows(id, 0) + pageRows(id, 1) }

const (
	rowsPerPage        = 20
	lastPage           = 1
	wrongPage          = 7  // a page number that no result has
	wrongPageOneIn     = 20 // one in this many pages after the first is numbered wrongPage
	dispatchFaultOneIn = 24 // one in this many dispatches gets each of dispatchFaults
)

func pageRows(id string, page int) string {
	return strings.Repeat(fmt.Sprintf("%s\t%d\tx\n", id, page), rowsPerPage)
}

// Handle handles a command. It is the handler to pass to StartEngine.
func (e *FaultyEngine) Handle(session *Session, command engine.Command) {
	switch command.Name {
	case "stats", "alive":
		session.Answer(command.ID, "well", "load=concurrent:0", "")
	case "more":
		e.answerPage(session, command.ID)
	case "abort":
		session.abort(command.ID)
	case "fetch":
		e.answerDispatch(session, command.ID)
	}
}

func (e *FaultyEngine) answerPage(session *Session, id string) {
	page := lastPage
	if e.draw(wrongPageOneIn) == 0 {
		page = wrongPage
	}
	if session.consumeAborted(id) {
		session.Answer(id, "failed", "", "")
		return
	}
	session.Answer(id, "page", fmt.Sprintf("sheet=%d", page), pageRows(id, lastPage))
}

func (e *FaultyEngine) answerDispatch(session *Session, id string) {
	answer := string(engine.AppendAnswer(nil, id, "data", "sheets=2,toil=20,room=8", []byte(pageRows(id, 0))))
	if n := e.draw(dispatchFaultOneIn); n < len(dispatchFaults) {
		dispatchFaults[n](session, id, answer)
		return
	}
	session.Write([]byte(answer))
}

// dispatchFaults are the faulty ways to answer a dispatch. Each is given the correct answer.
var dispatchFaults = []func(session *Session, id, answer string){
	func(session *Session, id, _ string) { session.Answer(id, "full", "", "") },
	func(session *Session, id, _ string) { session.Answer(id, "failed", "", "") },
	func(session *Session, id, _ string) { // refused twice
		session.Answer(id, "full", "", "")
		session.Answer(id, "full", "", "")
	},
	func(session *Session, _, answer string) { // an answer to an unknown ID, then a duplicate answer
		const unknownID = "0000000000000000"
		session.Answer(unknownID, "data", "sheets=1", pageRows(unknownID, 0))
		session.Write([]byte(answer + answer))
	},
	func(session *Session, _, _ string) { session.Write([]byte("\x00\x17 noise\r\n")) },
	func(session *Session, id, _ string) { // a body length above any limit
		session.Write([]byte(id + " data sheets=1 3000000000\r\n" + pageRows(id, 0)))
	},
	func(session *Session, _, answer string) { session.Write([]byte(answer[:len(answer)/2])) },
	func(session *Session, _, answer string) { // a control character in a row
		session.Write([]byte(strings.Replace(answer, "\tx\n", "\t\x7f\n", 1)))
	},
	func(session *Session, _, answer string) { // a malformed number
		session.Write([]byte(strings.Replace(answer, "toil=20", "toil=2x", 1)))
	},
	func(session *Session, _, _ string) { session.Reset() },
	func(session *Session, _, answer string) {
		session.Write([]byte(answer))
		session.Reset()
	},
	func(*Session, string, string) {}, // never answers
}
