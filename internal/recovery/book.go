// Package recovery turns what a store holds of jobs into what is known of them after a crash: which may go again, which may have
// run, which answers are still to be repeated, which keys rest. Free of I/O and clock.
package recovery

import (
	"encoding/json"
	"fmt"
	"slices"

	"swiftreel/internal/store"
)

// Kinds of record.
const (
	TakenKind store.Kind = iota + 1
	SentKind
	EndedKind
	AnsweredKind
)

// Effect says how often a job may run.
type Effect string

// The effects.
const (
	RunOnce Effect = "run-once"
	Keyed   Effect = "keyed"
)

// Call is a job's id, as its client gave it.
type Call string

// Taken: a job was taken in. It is durable before it counts as taken.
type Taken struct {
	Call   Call   `json:"call"`
	Type   string `json:"type"`
	Tenant string `json:"tenant,omitempty"`
	Key    string `json:"key,omitempty"` // its order goes by it
	Effect Effect `json:"effect"`
	Window int64  `json:"window_ns,omitempty"` // keyed: engines drop repeats for so long after the first dispatch
}

// Sent: a dispatch is about to go to an engine. It is durable before that.
type Sent struct {
	Call   Call   `json:"call"`
	Engine string `json:"engine"`
	At     int64  `json:"at"` // Unix ns, for people and for windows
}

// How a dispatch ended.
type How string

// The ways.
const (
	Ran      How = "ran"       // its answer was good
	NeverRan How = "never ran" // for certain
	Unsure   How = "unsure"
)

// Ended: a dispatch's outcome. It is durable before a client is told of it.
type Ended struct {
	Call   Call   `json:"call"`
	How    How    `json:"how"`
	Answer []byte `json:"answer,omitempty"` // of one that ran, where it is small
}

// Answered: the final answer goes out. It is durable before that, so that one who asks again is told the same.
type Answered struct {
	Call Call   `json:"call"`
	How  string `json:"how"` // done, throttled, cancelled
}

// The final answers.
const (
	Done      = "done"
	Throttled = "throttled"
	Cancelled = "cancelled"
)

// job is what is known of one.
type job struct {
	Taken
	Out      bool   `json:"out"` // a dispatch has no outcome
	Ran      bool   `json:"ran"` // one did
	May      bool   `json:"may"` // one may have: some outcome is unsure
	First    int64  `json:"first,omitempty"`
	Answer   []byte `json:"answer,omitempty"`
	Answered string `json:"answered,omitempty"`
}

// Book is the state of all jobs that the log speaks of. It holds the open ones, and the last answers.
type Book struct {
	jobs     map[Call]*job
	order    []Call // as taken; those that are over leave now and then
	open     int
	answered []Call // the oldest first
	most     int
}

// NewBook keeps so many answers.
func NewBook(most int) *Book { return &Book{jobs: map[Call]*job{}, most: most} }

// Apply takes a record in, in the log's order. An error says that the log tells what cannot be.
func (b *Book) Apply(r store.Record) error {
	switch r.Kind {
	case TakenKind:
		var t job // a checkpoint tells all that is known of one
		if err := json.Unmarshal(r.Payload, &t); err != nil {
			return err
		}
		if b.jobs[t.Call] != nil {
			return fmt.Errorf("call %s is taken twice", t.Call)
		}
		b.jobs[t.Call] = &t
		if t.Answered != "" {
			b.settle(t.Call)
		} else {
			b.order = append(b.order, t.Call)
			b.open++
		}
	case SentKind:
		var s Sent
		j, err := b.of(r, &s, &s.Call)
		if err != nil {
			return err
		}
		if j.Out || j.Answered != "" || j.Ran {
			return fmt.Errorf("call %s is sent while it is out, over or done", s.Call)
		}
		if j.Out = true; j.First == 0 {
			j.First = s.At
		}
	case EndedKind:
		var e Ended
		j, err := b.of(r, &e, &e.Call)
		if err != nil {
			return err
		}
		if !j.Out {
			return fmt.Errorf("call %s ends and was not out", e.Call)
		}
		j.Out, j.Ran, j.May, j.Answer = false, j.Ran || e.How == Ran, j.May || e.How == Unsure, e.Answer
	case AnsweredKind:
		var a Answered
		j, err := b.of(r, &a, &a.Call)
		if err != nil {
			return err
		}
		if j.Answered != "" {
			return fmt.Errorf("call %s is answered twice", a.Call)
		}
		j.Answered = a.How
		if b.open--; len(b.order) > 2*b.open+64 {
			b.order = b.live()
		}
		b.settle(a.Call)
	default:
		return fmt.Errorf("a record of kind %d", r.Kind)
	}
	return nil
}

// live are the open jobs in order. One that has left the book was over.
func (b *Book) live() (list []Call) {
	for _, c := range b.order {
		if j := b.jobs[c]; j != nil && j.Answered == "" {
			list = append(list, c)
		}
	}
	return list
}

func (b *Book) of(r store.Record, into any, call *Call) (*job, error) {
	if err := json.Unmarshal(r.Payload, into); err != nil {
		return nil, err
	}
	j := b.jobs[*call]
	if j == nil {
		return nil, fmt.Errorf("call %s was not taken", *call)
	}
	return j, nil
}

// settle keeps an answer to be repeated; the oldest leave.
func (b *Book) settle(c Call) {
	b.answered = append(b.answered, c)
	for len(b.answered) > b.most {
		delete(b.jobs, b.answered[0])
		b.answered = b.answered[1:]
	}
}

// Fate is what is to be done with an open job after a crash.
type Fate string

// The fates.
const (
	Again  Fate = "may go again"      // no dispatch of it has run, for certain
	Repeat Fate = "repeat its answer" // it ran, and its client was not told
	Lost   Fate = "cancel for good"   // it may have run: nobody knows
)

// Open is an open job and its fate.
type Open struct {
	Taken
	Fate   Fate   `json:"Fate"`
	Answer []byte `json:"Answer"`
	Rests  bool   `json:"Rests"` // its key does, from the start on: an engine may still be at it
}

// Open are the open jobs, in the order in which they were taken. now is Unix ns: a keyed one may go again as long as engines
// drop a repeat; a clock that was set back or far on makes it lost, never run twice.
func (b *Book) Open(now int64) (list []Open) {
	for _, c := range b.live() {
		j := b.jobs[c]
		o := Open{Taken: j.Taken, Fate: Again, Rests: j.Out || j.May}
		switch {
		case j.Ran:
			o.Fate, o.Answer = Repeat, j.Answer
		case (j.Out || j.May) && !(j.Effect == Keyed && now >= j.First && now < j.First+j.Window):
			o.Fate = Lost
		}
		list = append(list, o)
	}
	return list
}

// Answer is the final answer that a call was given, for one who asks again.
func (b *Book) Answer(c Call) (how string, answer []byte, is bool) {
	if j := b.jobs[c]; j != nil && j.Answered != "" {
		return j.Answered, j.Answer, true
	}
	return "", nil, false
}

// Known tells whether a call was taken: one that is must not be taken as new.
func (b *Book) Known(c Call) bool { return b.jobs[c] != nil }

// AfterCrash are the records to begin with: nobody will hear any more of what was out. They are written before a job goes on;
// where a second crash leaves some of them out they come again.
func (b *Book) AfterCrash() (list []Ended) {
	for _, c := range b.live() {
		if b.jobs[c].Out {
			list = append(list, Ended{Call: c, How: Unsure})
		}
	}
	return list
}

// Goes tells whether an open job may be sent now: nothing of it is out, it has not run, and all earlier ones of its key are over.
func (b *Book) Goes(c Call) bool {
	j := b.jobs[c]
	if j == nil || j.Answered != "" || j.Out || j.Ran {
		return false
	}
	for _, o := range b.order {
		if o == c {
			return true
		}
		if e := b.jobs[o]; e != nil && e.Answered == "" && j.Key != "" && e.Key == j.Key && e.Type == j.Type {
			return false
		}
	}
	return false
}

// Live puts what a checkpoint has to hold: answers, then open jobs in their order.
func (b *Book) Live(put func(store.Kind, []byte) error) error {
	for _, c := range slices.Concat(b.answered, b.live()) {
		text, err := json.Marshal(b.jobs[c])
		if err == nil {
			err = put(TakenKind, text)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Size is how many jobs it holds: open, and answered.
func (b *Book) Size() (open, answered int) { return b.open, len(b.answered) }

// Entry is a record of one of the kinds.
func Entry(k store.Kind, v any) (store.Record, error) {
	text, err := json.Marshal(v)
	return store.Record{Kind: k, Payload: text}, err
}
