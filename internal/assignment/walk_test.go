package assignment

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"

	"swiftreel/internal/quota"
)

// All that can come of two owners, one after the other, and two receivers: each step of an owner may be its last for any
// time (a stall before, between or after its checks), each word may arrive at any later time or never. What is walked are the
// ledger and the receivers' fence as they are, and the lease as core.go has it.

const (
	lease, lasts = 2, 3 // moments: of the voters' promise; of a part
	mostTime     = 8
	round        = 5 // steps
	firsts       = 2 // rounds of the first owner; of the second one more
)

// variant is the walk as it is, or one with a part taken out, which it must find.
type variant struct{ noFence, noMargin, noWait, noRecord bool }

type wordAt struct {
	to   int
	word Assignment
}

// owning is an owner's place in its rounds: look, have it agreed on, ask whether it may, send to the first, to the second.
type owning struct {
	reign  int64 // 0: it does not own
	step   int   // in all
	heldAt int64 // when a majority followed it last
	stamp  int64 // when the receivers were asked
	count  int64
	ledger *quota.Ledger
	want   map[string]quota.Shares
	acted  int64 // the last moment at which it began a round
}

type state struct {
	now      int64
	owners   [2]owning
	agreed   quota.Record
	reign    int64 // agreed
	sky      []wordAt
	held     [2]Accepted
	seenHigh [2]int64 // reign
	stalled  bool     // the first owner is, in the midst of a round
	stalls   int
}

var names = [2]string{"c1", "c2"}

// key tells states apart: a hash, of 128 bits.
func (s *state) key() [16]byte {
	h := fnv.New128a()
	put := func(list ...int64) {
		for _, n := range list {
			h.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16)})
		}
	}
	record := func(r quota.Record) { put(r.Limits["c1"][quota.Fleet], r.Limits["c2"][quota.Fleet]) }
	put(s.now, s.reign, s.seenHigh[0], s.seenHigh[1], int64(s.stalls))
	fmt.Fprint(h, s.stalled)
	record(s.agreed)
	for _, o := range s.owners {
		put(o.reign, int64(o.step), o.heldAt, o.stamp, o.count, o.acted)
		if o.ledger != nil {
			fmt.Fprintf(h, "%v", *o.ledger)
		}
	}
	for _, g := range s.held {
		put(g.Term, g.Sequence, g.Shares[quota.Fleet], g.SharesUntil)
	}
	for _, w := range s.sky {
		put(int64(w.to), w.word.Term, w.word.Sequence)
	}
	return [16]byte(h.Sum(nil))
}

func (s *state) clone() *state {
	c := *s
	c.sky = slices.Clone(s.sky)
	for i := range c.owners {
		if l := c.owners[i].ledger; l != nil {
			c.owners[i].ledger = l.Clone()
		}
	}
	return &c
}

// wants are those of the two owners: the second gives to the one from whom it has to take first.
func wants(i int) map[string]quota.Shares {
	much, less := quota.Shares{quota.Fleet: 700_000}, quota.Shares{quota.Fleet: 300_000}
	if i == 0 {
		return map[string]quota.Shares{"c1": much, "c2": less}
	}
	return map[string]quota.Shares{"c1": less, "c2": much}
}

func (s *state) takesOver(i int, v variant) {
	from := s.now
	if v.noWait {
		from -= 2 * lasts
	}
	s.reign++
	s.owners[i] = owning{acted: -1, reign: s.reign, heldAt: s.now, ledger: quota.NewLedger(s.agreed, lasts, from), want: wants(i)}
}

// may is core.go's: the lease less what clocks may run unlike.
func (o *owning) may(now int64, v variant) bool {
	return o.reign != 0 && (v.noMargin || now-o.heldAt < lease*800/1000)
}

// step is an owner's next; false: it has none now.
func (s *state) step(i int, v variant) bool {
	o := &s.owners[i]
	if o.reign == 0 || o.step >= (firsts+i)*round {
		return false
	}
	if s.reign == o.reign { // it leads: a majority follows
		o.heldAt = s.now
	}
	switch o.step % round {
	case 0:
		o.stamp = s.now
		for k, h := range s.held {
			if h.Term == o.reign {
				o.ledger.Confirm(names[k], h.Sequence)
			}
		}
	case 1: // what is agreed is fenced by its reign
		next, differs := o.ledger.NextRecord(o.want, s.now)
		if v.noRecord {
			next = quota.Record{Limits: o.want}
		}
		if differs {
			if s.reign != o.reign && !v.noRecord { // of a reign that is over: it changes nothing
				o.step = (firsts+i)*round - 1
				break
			}
			if o.ledger.Commit(next); s.reign == o.reign && !v.noRecord {
				s.agreed = next
			}
		}
	case 2:
		if !o.may(s.now, v) { // it begins anew
			o.step += 2
		}
	case 3, 4:
		k := o.step%round - 3
		o.count++
		part := o.ledger.Grant(names[k], o.want[names[k]], o.stamp, o.count)
		w := Assignment{Term: o.reign, Sequence: o.count, Leader: fmt.Sprint(i), Member: names[k], Incarnation: "x", Shares: part, SharesUntil: o.stamp + lasts}
		s.sky = append(s.sky, wordAt{k, w})
	}
	o.step++
	return true
}

// goes has an owner go on to the end of its round; before its step stall, where that is one of them, it stalls.
func (s *state) goes(i, stall int, v variant) bool {
	o := &s.owners[i]
	if o.step%round == 0 {
		if o.acted == s.now || o.step >= (firsts+i)*round {
			return false
		}
		o.acted = s.now
	}
	for {
		if o.step%round == stall {
			s.stalled, s.stalls = true, s.stalls+1
			return true
		}
		if !s.step(i, v) || o.step%round == 0 {
			s.stalled = s.stalled && i != 0
			return true
		}
	}
}

func (s *state) arrives(at int, v variant) string {
	w := s.sky[at]
	s.sky = slices.Delete(slices.Clone(s.sky), at, at+1)
	h := s.held[w.to]
	if v.noFence {
		h.Term, h.Sequence = 0, 0
	}
	next, err := h.Accept(w.word, names[w.to], "x", s.now)
	if err != nil {
		return ""
	}
	if w.word.Term < s.seenHigh[w.to] {
		return fmt.Sprintf("%s takes a word of reign %d after %d", names[w.to], w.word.Term, s.seenHigh[w.to])
	}
	s.seenHigh[w.to], s.held[w.to] = w.word.Term, next
	return ""
}

// wrong tells of parts that together pass the whole.
func (s *state) wrong() string {
	sum := int64(0)
	for _, h := range s.held {
		sum += h.ValidAt(s.now).Shares[quota.Fleet]
	}
	if sum > quota.FullShare {
		return fmt.Sprintf("%d of %d are out at %d", sum, quota.FullShare, s.now)
	}
	return ""
}

// walk goes through all that can come; it tells what was wrong, and how many states there were.
func walk(v variant, most int) (string, int) {
	start := &state{}
	start.takesOver(0, v)
	seen := map[[16]byte]bool{start.key(): true}
	list := []*state{start}
	for n := 0; len(list) > 0; n++ {
		s := list[len(list)-1]
		list = list[:len(list)-1]
		var next []*state
		try := func(do func(*state) bool) {
			if c := s.clone(); do(c) {
				next = append(next, c)
			}
		}
		broken := ""
		try(func(c *state) bool {
			c.now++
			c.sky = slices.DeleteFunc(c.sky, func(w wordAt) bool { return w.word.SharesUntil <= c.now }) // late ones give nothing
			return c.now < mostTime
		})
		for i := range 2 {
			try(func(c *state) bool { return c.owners[i].reign != 0 && c.goes(i, -1, v) })
		}
		for before := 1; before < round && s.stalls == 0; before++ {
			try(func(c *state) bool { return c.goes(0, before, v) })
		}
		if o := s.owners[0]; s.owners[1].reign == 0 && s.now-o.heldAt >= lease { // voters have promised that to none
			try(func(c *state) bool { c.takesOver(1, v); return true })
		}
		for at := range s.sky {
			try(func(c *state) bool { broken = c.arrives(at, v); return true })
			if broken != "" {
				return broken, len(seen)
			}
		}
		for _, c := range next {
			if why := c.wrong(); why != "" {
				return why, len(seen)
			}
			if k := c.key(); !seen[k] && len(seen) < most {
				seen[k] = true
				list = append(list, c)
			}
		}
	}
	return "", len(seen)
}

func TestAllThatCanComeOfTwoOwnersAndOneStall(t *testing.T) {
	if why, n := walk(variant{}, 600_000); why != "" || n >= 600_000 {
		t.Errorf("%s (%d states)", why, n)
	} else {
		t.Logf("%d states", n)
	}
	for name, v := range map[string]variant{"no fence": {noFence: true}, "an owner that does not ask whether it may": {noMargin: true},
		"a new owner that does not wait": {noWait: true}, "parts given before they are agreed": {noRecord: true}} {
		if why, n := walk(v, 600_000); why == "" {
			t.Errorf("%s is not found in %d states", name, n)
		} else {
			t.Logf("%s: %s after %d states", name, why, n)
		}
	}
}

func TestSharesAreNotWrittenTo(t *testing.T) {
	l := quota.NewLedger(quota.Record{}, 10, 0)
	r, _ := l.NextRecord(wants(0), 1)
	l.Commit(r)
	c := l.Clone()
	was := maps.Clone(r.Limits["c1"])
	l.Grant("c1", wants(0)["c1"], 1, 1)
	l.Confirm("c1", 1)
	if got := c.Grant("c1", wants(1)["c1"], 2, 1); got[quota.Fleet] != 300_000 || !maps.Equal(was, r.Limits["c1"]) {
		t.Errorf("%v %v", got, r.Limits)
	}
}
