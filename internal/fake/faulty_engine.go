package fake

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"swiftreel/internal/engine"
)

// FaultyEngine answers as an engine behind a bad network does: half of the dispatches well, the others with an answer
// that is spoilt, doubled, cut off or missing. The rows of each good result begin with the job's id. The faults
// follow a seed. It is safe for concurrent use.
type FaultyEngine struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewFaultyEngine draws faults from a seed.
func NewFaultyEngine(seed uint64) *FaultyEngine {
	return &FaultyEngine{random: rand.New(rand.NewPCG(seed, 1))}
}

func (e *FaultyEngine) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

// FaultyEngineRows is the result of a job, of both its pages, where it is answered well.
func FaultyEngineRows(id string) string { return rowsOfPage(id, 0) + rowsOfPage(id, 1) }

const (
	rowsPerPage     = 20
	lastPage        = 1
	wrongPage       = 7  // that no result has
	wrongPageEach   = 20 // one in so many later pages
	drawsOfDispatch = 24 // one in so many has each of dispatchFaults
)

func rowsOfPage(id string, page int) string {
	return strings.Repeat(fmt.Sprintf("%s\t%d\tx\n", id, page), rowsPerPage)
}

// Handle handles a command; it is what StartEngine takes.
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
	if e.draw(wrongPageEach) == 0 {
		page = wrongPage
	}
	if session.takeAborted(id) {
		session.Answer(id, "failed", "", "")
		return
	}
	session.Answer(id, "page", fmt.Sprintf("sheet=%d", page), rowsOfPage(id, lastPage))
}

func (e *FaultyEngine) answerDispatch(session *Session, id string) {
	answer := string(engine.AppendAnswer(nil, id, "data", "sheets=2,toil=20,room=8", []byte(rowsOfPage(id, 0))))
	if n := e.draw(drawsOfDispatch); n < len(dispatchFaults) {
		dispatchFaults[n](session, id, answer)
		return
	}
	session.Write([]byte(answer))
}

// dispatchFaults are the ways in which a dispatch goes wrong, each given the answer that would be right.
var dispatchFaults = []func(session *Session, id, answer string){
	func(session *Session, id, _ string) { session.Answer(id, "full", "", "") },
	func(session *Session, id, _ string) { session.Answer(id, "failed", "", "") },
	func(session *Session, id, _ string) { // refused twice
		session.Answer(id, "full", "", "")
		session.Answer(id, "full", "", "")
	},
	func(session *Session, _, answer string) { // one for nobody, then two
		const nobody = "0000000000000000"
		session.Answer(nobody, "data", "sheets=1", rowsOfPage(nobody, 0))
		session.Write([]byte(answer + answer))
	},
	func(session *Session, _, _ string) { session.Write([]byte("\x00\x17 noise\r\n")) },
	func(session *Session, id, _ string) { // a length past all bounds
		session.Write([]byte(id + " data sheets=1 3000000000\r\n" + rowsOfPage(id, 0)))
	},
	func(session *Session, _, answer string) { session.Write([]byte(answer[:len(answer)/2])) },
	func(session *Session, _, answer string) { // a character that no row has
		session.Write([]byte(strings.Replace(answer, "\tx\n", "\t\x7f\n", 1)))
	},
	func(session *Session, _, answer string) { // a figure that is none
		session.Write([]byte(strings.Replace(answer, "toil=20", "toil=2x", 1)))
	},
	func(session *Session, _, _ string) { session.Reset() },
	func(session *Session, _, answer string) {
		session.Write([]byte(answer))
		session.Reset()
	},
	func(*Session, string, string) {}, // no answer ever
}
