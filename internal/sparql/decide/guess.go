// Package decide holds what the SPARQL side has to decide and remember for itself: guesses of a text's cost, marks of
// updates that may be repeated, drains told by two sources, and a guard between protocols. Which engine a job goes to,
// whether again, and what is turned away stays with the decision module.
//
// No I/O and no clock: times come in as arguments. Every table is bounded and says what empties it.
package decide

import (
	"container/list"
	"math"

	"swiftreel/choice"
	"swiftreel/internal/sparql/syntax"
)

// Figures of guesses.
const (
	unitWork   = choice.Nanos(200_000)         // of a pattern with nothing free, until answers tell
	leastWork  = choice.Nanos(100_000)         // a guess
	mostWork   = choice.Nanos(600_000_000_000) //
	mostMemory = 64                            // a shape counts at most so many answers: it follows what changes
	overall    = 200                           // and so many tell how far first guesses are off
	sure       = 3                             // answers from which on a shape's own mean stands alone
)

// weightOf is how much more a pattern costs by how many of its places are free.
var weightOf = [4]float64{1, 3, 30, 600}

// Guesses learns what texts cost by their shape. It keeps so many shapes as it is made for; the one asked for longest
// ago makes way.
type Guesses struct {
	most  int
	known map[uint64]*list.Element
	order *list.List // of *shape, the last asked for first
	off   float64    // log of true work over the first guess
	offN  float64
}

type shape struct {
	id   uint64
	n    float64
	mean float64 // log of work, ns
}

// NewGuesses keeps up to most shapes, about 150 bytes each.
func NewGuesses(most int) *Guesses {
	return &Guesses{most: max(1, most), known: map[uint64]*list.Element{}, order: list.New()}
}

// Of guesses the work of a text. Known: answers to its shape stand behind it.
func (g *Guesses) Of(s *syntax.Statement) (work choice.Nanos, known bool) {
	first := math.Log(first(s)) + g.off
	e := g.known[s.Fingerprint]
	if e == nil {
		return bounded(first), false
	}
	g.order.MoveToFront(e)
	k := e.Value.(*shape)
	if k.n >= sure {
		return bounded(k.mean), true
	}
	return bounded((k.n*k.mean + first) / (k.n + 1)), true
}

// Learn takes the true work of a text that was done.
func (g *Guesses) Learn(s *syntax.Statement, work choice.Nanos) {
	if work <= 0 {
		return
	}
	told := math.Log(float64(min(work, mostWork)))
	g.offN = min(g.offN+1, overall)
	g.off += (told - math.Log(first(s)) - g.off) / g.offN
	e := g.known[s.Fingerprint]
	if e == nil {
		if g.order.Len() >= g.most {
			last := g.order.Back()
			delete(g.known, last.Value.(*shape).id)
			g.order.Remove(last)
		}
		e = g.order.PushFront(&shape{id: s.Fingerprint})
		g.known[s.Fingerprint] = e
	}
	g.order.MoveToFront(e)
	k := e.Value.(*shape)
	k.n = min(k.n+1, mostMemory)
	k.mean += (told - k.mean) / k.n
}

// Shapes tells how many are kept.
func (g *Guesses) Shapes() int { return g.order.Len() }

func bounded(log float64) choice.Nanos {
	return max(leastWork, choice.Nanos(math.Exp(min(log, math.Log(float64(mostWork))))))
}

// first is the work of a text by its counts alone, in ns. Patterns add up, as joins go from one to the next; what is of
// any length, optional or sorted multiplies; an outermost LIMIT without sorting ends early.
func first(s *syntax.Statement) float64 {
	c, sum := s.Cost, 1.0
	for free, n := range c.Free {
		sum += float64(n) * weightOf[free]
	}
	sum *= math.Pow(4, float64(min(c.Paths, 6))) * math.Pow(1.5, float64(min(c.Joins+c.Unions+c.Subqueries, 12)))
	if c.Sorts+c.Aggregates > 0 {
		sum *= 2
	} else if c.Limit >= 0 {
		sum = min(sum, 5+float64(min(c.Limit, 1_000_000))/10)
	}
	sum += float64(c.Rows) / 5
	if s.ReadsAny || s.WritesAny {
		sum *= 3
	}
	return sum * float64(unitWork)
}
