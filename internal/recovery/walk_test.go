package recovery

import (
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/store"
)

// All that can come of two jobs of one key, with two crashes anywhere: each act outside (to an engine, to a client) and each
// record before it are steps of their own. The book is the real one; around it stands the order in which a controller is to write
// and act.

type variant struct{ sendsFirst, tellsFirst, noRest, hopes bool }

const jobs = 2

var calls = [jobs]Call{"a", "b"}

// world is a state. What is volatile is lost at a crash; engines and clients are not.
type world struct {
	log      []store.Record
	told     [jobs]string // what the client heard, each once
	effects  [jobs]int
	flying   [jobs]bool // at an engine
	crashes  int
	up       bool
	rests    bool         // volatile, as what follows
	linked   [jobs]bool   // what an engine answers comes here
	toSend   [jobs]bool   // recorded, and not out yet
	outcome  [jobs]How    // on its way here
	toTell   [jobs]string // recorded, and not told yet
	asked    [jobs]int    // by the client
	sent     [jobs]int    // at most twice
	unsentOf [jobs]bool   // sends first: sent, and not recorded
}

func (w world) key() string {
	var b strings.Builder
	for _, r := range w.log {
		fmt.Fprintf(&b, "%d%s", r.Kind, r.Payload)
	}
	w.log = nil
	return b.String() + fmt.Sprintf("%+v", w)
}

func (w *world) book() *Book {
	b := NewBook(8)
	for _, r := range w.log {
		if err := b.Apply(r); err != nil {
			panic(err)
		}
	}
	return b
}

func (w *world) record(k store.Kind, v any) {
	r, err := Entry(k, v)
	if err != nil {
		panic(err)
	}
	w.log = append(w.log[:len(w.log):len(w.log)], r)
}

// steps are all that can come next.
func (w world) steps(v variant) (list []world) {
	add := func(do func(*world)) {
		n := w
		do(&n)
		list = append(list, n)
	}
	for i := range jobs { // engines go on whatever happens here
		if w.flying[i] {
			add(func(n *world) { n.lands(i, 1, Ran) })
			add(func(n *world) { n.lands(i, 0, NeverRan) })
			add(func(n *world) { n.lands(i, 0, Unsure) })
			add(func(n *world) { n.lands(i, 1, Unsure) })
		}
	}
	if w.crashes < 2 && w.up {
		add(func(n *world) {
			n.crashes++
			n.up, n.rests, n.toSend, n.outcome, n.toTell, n.unsentOf = false, false, [jobs]bool{}, [jobs]How{}, [jobs]string{}, [jobs]bool{}
			n.linked = [jobs]bool{}
		})
	}
	if !w.up {
		add(func(n *world) {
			b := n.book()
			for _, o := range b.Open(1) {
				n.rests = n.rests || o.Rests && !v.noRest
			}
			for _, e := range b.AfterCrash() {
				if v.hopes {
					e.How = NeverRan
				}
				n.record(EndedKind, e)
			}
			n.up = true
		})
		return list
	}
	if w.rests && w.flying == [jobs]bool{} { // a rest is longer than an engine is at anything
		add(func(n *world) { n.rests = false })
	}
	b := w.book()
	fates := map[Call]Open{}
	for _, o := range b.Open(1) {
		fates[o.Call] = o
	}
	for i, c := range calls {
		o, open := fates[c]
		how, _, answered := b.Answer(c)
		switch {
		case !b.Known(c) && w.asked[i] <= w.crashes && (i == 0 || b.Known(calls[0])): // a client asks again after a crash
			add(func(n *world) {
				n.asked[i]++
				n.record(TakenKind, Taken{Call: c, Type: "import", Key: "k", Effect: RunOnce})
			})
		case answered && w.toTell[i] == "" && w.told[i] == "" && w.asked[i] <= w.crashes: // it is told what it was to be told
			add(func(n *world) { n.asked[i]++; n.toTell[i] = how })
		}
		if w.toTell[i] != "" {
			add(func(n *world) { n.tell(i, n.toTell[i]); n.toTell[i] = "" })
		}
		if w.toSend[i] {
			add(func(n *world) { n.toSend[i], n.flying[i], n.linked[i] = false, true, true })
		}
		if w.outcome[i] != "" {
			if v.tellsFirst && w.outcome[i] == Ran {
				add(func(n *world) { n.tell(i, Done) })
			}
			add(func(n *world) {
				if n.unsentOf[i] {
					n.record(SentKind, Sent{Call: c, Engine: "e", At: 1})
					n.unsentOf[i] = false
				}
				n.record(EndedKind, Ended{Call: c, How: n.outcome[i]})
				n.outcome[i] = ""
			})
		}
		if !open || w.toSend[i] || w.flying[i] && !v.noRest && !v.hopes || w.outcome[i] != "" {
			continue
		}
		switch {
		case o.Fate == Repeat:
			add(func(n *world) { n.record(AnsweredKind, Answered{c, Done}); n.toTell[i] = Done })
		case o.Fate == Lost && !b.jobs[c].Out:
			add(func(n *world) {
				n.record(AnsweredKind, Answered{c, Cancelled})
				n.toTell[i] = Cancelled
				n.rests = n.rests || !v.noRest
			})
		case o.Fate == Again && b.Goes(c) && !w.rests && !w.unsentOf[i] && w.sent[i] < 2:
			if v.sendsFirst {
				add(func(n *world) { n.flying[i], n.unsentOf[i], n.linked[i], n.sent[i] = true, true, true, n.sent[i]+1 })
				break
			}
			add(func(n *world) {
				n.record(SentKind, Sent{Call: c, Engine: "e", At: 1})
				n.toSend[i], n.sent[i] = true, n.sent[i]+1
			})
		}
	}
	return list
}

// lands is an engine's end with a dispatch.
func (w *world) lands(i, effects int, how How) {
	w.flying[i] = false
	if w.effects[i] += effects; w.linked[i] {
		w.outcome[i], w.linked[i] = how, false
	}
}

func (w *world) tell(i int, how string) {
	if w.told[i] == "" || w.told[i] == how {
		w.told[i] = how
	} else {
		w.told[i] += " and " + how
	}
}

// wrong tells of what must not be.
func (w world) wrong(before world) string {
	for i := range jobs {
		switch {
		case w.effects[i] > 1:
			return fmt.Sprintf("%s has run %d times", calls[i], w.effects[i])
		case strings.Contains(w.told[i], "and"):
			return fmt.Sprintf("%s was answered %s", calls[i], w.told[i])
		case w.told[i] == Done && w.effects[i] == 0:
			return fmt.Sprintf("%s is done, and has not run", calls[i])
		}
	}
	if w.flying[1] && !before.flying[1] && w.flying[0] {
		return "b begins while a is at an engine"
	}
	return ""
}

func walk(v variant) (string, int) {
	start := world{up: true}
	seen, list := map[string]bool{start.key(): true}, []world{start}
	for len(list) > 0 {
		w := list[len(list)-1]
		list = list[:len(list)-1]
		for _, n := range w.steps(v) {
			if why := n.wrong(w); why != "" {
				return why, len(seen)
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				list = append(list, n)
			}
		}
	}
	return "", len(seen)
}

func TestNoCrashRunsAJobTwiceOrOutOfOrder(t *testing.T) {
	why, n := walk(variant{})
	if why != "" || n < 1000 {
		t.Errorf("%s (%d states)", why, n)
	}
	t.Logf("%d states", n)
	for name, v := range map[string]variant{"a dispatch before it is recorded": {sendsFirst: true}, "an answer before its outcome is recorded": {tellsFirst: true},
		"a key that does not rest": {noRest: true}, "what was out counts as never run": {hopes: true}} {
		if why, n := walk(v); why == "" {
			t.Errorf("%s: not found in %d states", name, n)
		} else {
			t.Logf("%s: %s", name, why)
		}
	}
}
