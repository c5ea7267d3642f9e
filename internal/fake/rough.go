package fake

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"swiftreel/internal/engine"
)

// Rough answers as an engine behind a bad network does: mostly well, else spoilt, twice, in part, or never. Each good
// result's rows begin with the job's id. Its chance comes from a seed.
type Rough struct {
	mu     sync.Mutex
	chance *rand.Rand
}

// NewRough makes one.
func NewRough(seed uint64) *Rough { return &Rough{chance: rand.New(rand.NewPCG(seed, 1))} }

func (r *Rough) pick(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chance.IntN(n)
}

// Rows is the result that Rough gives for a job, in two pages.
func Rows(id string) string { return page(id, 0) + page(id, 1) }

func page(id string, n int) string { return strings.Repeat(fmt.Sprintf("%s\t%d\tx\n", id, n), 20) }

// Handle answers a command.
func (r *Rough) Handle(s *Session, c engine.Command) {
	switch c.Name {
	case "stats", "alive":
		s.Answer(c.ID, "well", "load=concurrent:0", "")
	case "more":
		n := 1
		if r.pick(20) == 0 {
			n = 7
		}
		if s.takeBack(c.ID) {
			s.Answer(c.ID, "failed", "", "")
			return
		}
		s.Answer(c.ID, "page", fmt.Sprintf("sheet=%d", n), page(c.ID, 1))
	case "abort":
		s.abort(c.ID)
	case "fetch":
		r.fetch(s, c.ID)
	}
}

func (r *Rough) fetch(s *Session, id string) {
	data := string(engine.AppendAnswer(nil, id, "data", "sheets=2,toil=20,room=8", []byte(page(id, 0))))
	switch r.pick(24) {
	case 0:
		s.Answer(id, "full", "", "")
	case 1:
		s.Answer(id, "failed", "", "")
	case 2:
		s.Answer(id, "full", "", "")
		s.Answer(id, "full", "", "")
	case 3: // more than belongs to it
		s.Answer("0000000000000000", "data", "sheets=1", page("0000000000000000", 0))
		s.Write([]byte(data + data))
	case 4:
		s.Write([]byte("\x00\x17 noise\r\n"))
	case 5:
		s.Write([]byte(id + " data sheets=1 3000000000\r\n" + page(id, 0)))
	case 6:
		s.Write([]byte(data[:len(data)/2]))
	case 7:
		s.Write([]byte(strings.Replace(data, "\tx\n", "\t\x7f\n", 1)))
	case 8:
		s.Write([]byte(strings.Replace(data, "toil=20", "toil=2x", 1)))
	case 9:
		s.Reset()
	case 10:
		s.Write([]byte(data))
		s.Reset()
	case 11: // never
	default:
		s.Write([]byte(data))
	}
}
