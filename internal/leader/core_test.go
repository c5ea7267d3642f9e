package leader

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Members in virtual time: the real core and the library's state machine, links that lose, delay, double, reorder and cut
// one way, processes that stall, die and lose their disks, clocks that run unlike.

const tick = int64(10e6) // of the world

type voter struct {
	core   *Core
	disk   PersistentState
	drift  float64
	due    int64 // of its next tick, its own time
	stall  int64 // until, the world's time
	down   int64
	forgot bool // its disk, at the last start
}

type letter struct {
	at       int64
	from, to uint64
	text     []byte
}

type world struct {
	t       *testing.T
	r       *rand.Rand
	now     int64
	voters  map[uint64]*voter
	ids     []uint64
	sky     []letter
	cut     map[[2]uint64]bool // one way
	pace    Timing
	noLease bool
	reuse   bool // a member that lost its memory comes back under its old number
	owners  map[Term]string
	log     map[uint64]string // what was applied, by index
	acts    int
	broken  string
	loss    int                  // of 100 messages
	acting  func(uint64, *voter) // one that may act, before it hears of anything in that moment
	done    func(uint64, Result) // a member's command has its outcome
	drop    func(*raftpb.Message) bool
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 3)), voters: map[uint64]*voter{}, cut: map[[2]uint64]bool{}, pace: DefaultTiming(), owners: map[Term]string{}, log: map[uint64]string{}, loss: 2}
	w.pace.RetainedEntries = 16
	names := map[uint64]string{}
	for i := range n {
		id := uint64(i + 1)
		w.ids, names[id] = append(w.ids, id), fmt.Sprint("v", id)
	}
	for _, id := range w.ids {
		w.voters[id] = &voter{disk: BootstrapState(id, names), drift: 1 + 0.05*(2*w.r.Float64()-1)}
	}
	return w
}

func (w *world) start() {
	for _, id := range w.ids {
		w.boot(id)
	}
}

func (w *world) local(v *voter) int64 { return int64(float64(w.now) * v.drift) }

func (w *world) boot(id uint64) {
	v := w.voters[id]
	c, err := NewCore(fmt.Sprint("v", id), v.disk, w.pace, w.local(v))
	if err != nil {
		w.t.Fatal(err)
	}
	c.ignoreLease = w.noLease
	v.core, v.due = c, w.local(v)
}

// does saves, then sends.
func (w *world) does(id uint64, o Output) {
	d := &w.voters[id].disk
	if o.HardState != nil {
		d.HardState = o.HardState
	}
	if o.Snapshot != nil {
		d.Snapshot = o.Snapshot
		last := o.Snapshot.GetMetadata().GetIndex()
		for len(d.Entries) > 0 && (o.ReplaceLog || d.Entries[0].GetIndex() <= last) {
			d.Entries = d.Entries[1:]
		}
	}
	for _, e := range o.Entries {
		for len(d.Entries) > 0 && d.Entries[len(d.Entries)-1].GetIndex() >= e.GetIndex() {
			d.Entries = d.Entries[:len(d.Entries)-1]
		}
		if o.Snapshot == nil || e.GetIndex() > o.Snapshot.GetMetadata().GetIndex() {
			d.Entries = append(d.Entries, e)
		}
	}
	for _, x := range o.Results {
		if w.done != nil {
			w.done(id, x)
		}
	}
	for _, m := range o.Messages {
		text, err := proto.Marshal(m)
		if err != nil {
			w.t.Fatal(err)
		}
		if w.cut[[2]uint64{id, m.GetTo()}] || w.r.IntN(100) < w.loss || w.drop != nil && w.drop(m) {
			continue
		}
		l := letter{w.now + int64(w.r.IntN(30))*1e6, id, m.GetTo(), text}
		if w.r.IntN(100) == 0 {
			l.at += int64(w.r.IntN(3000)) * 1e6 // past several reigns
		}
		w.sky = append(w.sky, l)
		if w.r.IntN(100) == 0 {
			l.at += int64(w.r.IntN(500)) * 1e6
			w.sky = append(w.sky, l)
		}
	}
}

// both tells of two that may act at one moment.
func (w *world) both() {
	may := ""
	for _, id := range w.ids {
		if v := w.voters[id]; v.core != nil && v.stall <= w.now && v.core.ActiveTerm(w.local(v)) != 0 {
			if may != "" {
				w.broken = fmt.Sprintf("%s and %s both may act", may, v.core.name)
			}
			if may = v.core.name; w.acting != nil {
				w.acting(id, v)
			}
		}
	}
}

// one is a moment of the world. One that wakes may ask whether it may act before it hears of anything.
func (w *world) one() {
	w.now += tick
	w.both()
	sky := w.sky
	w.sky = nil
	for _, l := range sky {
		v := w.voters[l.to]
		switch {
		case l.at > w.now || v != nil && v.stall > w.now:
			w.sky = append(w.sky, l)
		case v == nil || v.core == nil:
		default:
			m := &raftpb.Message{}
			proto.Unmarshal(l.text, m)
			w.does(l.to, v.core.Step(w.local(v), m))
		}
	}
	may := ""
	for _, id := range w.ids {
		v := w.voters[id]
		if v.core == nil {
			if v.down <= w.now {
				w.boot(id)
			}
			continue
		}
		if v.stall > w.now {
			continue
		}
		if v.due <= w.local(v) {
			v.due = w.local(v) + w.pace.Tick // ticks that were missed are not made up for
			w.does(id, v.core.Tick(w.local(v)))
		}
		if r := v.core.ActiveTerm(w.local(v)); r != 0 {
			if was := w.owners[r]; was != "" && was != v.core.name {
				w.broken = fmt.Sprintf("reign %d has two owners, %s and %s", r, was, v.core.name)
			}
			if w.owners[r] = v.core.name; may != "" {
				w.broken = fmt.Sprintf("%s and %s both may act", may, v.core.name)
			}
			may = v.core.name
			w.acts++
			if w.r.IntN(10) == 0 {
				out, err := v.core.Propose(uint64(w.acts), r, fmt.Sprint("item", w.r.IntN(3)), fmt.Append(nil, v.core.name, w.acts))
				if err == nil {
					w.does(id, out)
				}
			}
		}
		a := v.core.State()
		text := fmt.Sprint(a.Term, a.Leader, a.Versions)
		if was, is := w.log[v.core.appliedIndex]; is && was != text {
			w.broken = fmt.Sprintf("at %d %s was agreed, and %s by %s", v.core.appliedIndex, was, text, v.core.name)
		}
		w.log[v.core.appliedIndex] = text
	}
}

// trouble strikes now and then, until it ends.
func (w *world) trouble() {
	id := w.ids[w.r.IntN(len(w.ids))]
	v := w.voters[id]
	switch w.r.IntN(400) {
	case 0:
		v.stall = w.now + int64(w.r.IntN(4000))*1e6
	case 1:
		v.core, v.down = nil, w.now+int64(w.r.IntN(2000))*1e6
	case 2, 3:
		w.cut[[2]uint64{id, w.ids[w.r.IntN(len(w.ids))]}] = true
	case 4, 5, 6:
		clear(w.cut)
	case 8:
		if v.core != nil && v.stall <= w.now {
			if out, is := v.core.TransferLeadership(""); is {
				w.does(id, out)
			}
		}
	case 7:
		if w.reuse {
			names := map[uint64]string{}
			for _, n := range w.ids {
				names[n] = fmt.Sprint("v", n)
			}
			v.core, v.down, v.disk = nil, w.now+1, BootstrapState(id, names)
		}
	}
}

func (w *world) play(span int64) string {
	w.start()
	for w.now < span && w.broken == "" {
		w.one()
		w.trouble()
	}
	return w.broken
}

var worlds = flag.Int("worlds", 120, "worlds with trouble that are played")

func TestOneOwnerAtATime(t *testing.T) {
	var acts atomic.Int64
	one := func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 3+2*int(seed%2))
		if broken := w.play(30e9); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
			return
		}
		acts.Add(int64(w.acts))
		clear(w.cut)
		for _, v := range w.voters {
			v.stall, v.down = 0, 0
		}
		before := w.acts
		for end := w.now + 8e9; w.now < end; {
			w.one()
		}
		if w.acts == before || w.broken != "" {
			t.Errorf("seed %d: nobody owns after all is well again (%s)", seed, w.broken)
		}
	}
	var wait sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range uint64(*worlds) {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			one(t, seed)
		})
	}
	wait.Wait()
	if acts.Load() < int64(500**worlds) {
		t.Errorf("only %d acts", acts.Load())
	}
	t.Logf("%d worlds, %d acts: never two that may act", *worlds, acts.Load())
}

// A ring of cuts: each of five members does not hear the next one, and everyone hears someone. Somebody owns, one at a time, and
// goes on to do so.
func TestARingOfCutsHasOneOwner(t *testing.T) {
	for seed := range uint64(8) {
		w := newWorld(t, seed, 5)
		w.start()
		for i, id := range w.ids {
			w.cut[[2]uint64{id, w.ids[(i+1)%5]}] = true
		}
		for w.now < 60e9 {
			w.one()
		}
		reigns := len(w.owners)
		if w.broken != "" || reigns == 0 {
			t.Fatalf("seed %d: %d owners, %s", seed, reigns, w.broken)
		}
		acts := w.acts
		for w.now < 120e9 {
			w.one()
		}
		if w.broken != "" || w.acts-acts < 1000 || len(w.owners)-reigns > 6 {
			t.Errorf("seed %d: %d acts and %d more owners in a minute, %s", seed, w.acts-acts, len(w.owners)-reigns, w.broken)
		}
	}
}

func TestBrokenVariantsAreFound(t *testing.T) {
	for name, broken := range map[string]func(*world){"no lease": func(w *world) { w.noLease = true }, "a number reused after its memory was lost": func(w *world) { w.reuse = true }} {
		found := ""
		for seed := range uint64(300) {
			w := newWorld(t, seed, 3)
			broken(w)
			func() {
				defer func() {
					if r := recover(); r != nil { // the library asserts what such a member breaks
						found = fmt.Sprint(r)
					}
				}()
				found = w.play(30e9)
			}()
			if found != "" {
				break
			}
		}
		if found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}

func TestAnOwnerStepsDownInOrder(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.start()
	var first uint64
	for w.now < 10e9 && first == 0 {
		w.one()
		for _, id := range w.ids {
			if w.voters[id].core.ActiveTerm(w.local(w.voters[id])) != 0 {
				first = id
			}
		}
	}
	v := w.voters[first]
	out, is := v.core.TransferLeadership("")
	if !is || v.core.ActiveTerm(w.local(v)) != 0 {
		t.Fatal("it acts on after it stepped down")
	}
	w.does(first, out)
	from := w.now
	for {
		w.one()
		for _, id := range w.ids {
			if id != first && w.voters[id].core.ActiveTerm(w.local(w.voters[id])) != 0 {
				if w.now-from > 500e6 {
					t.Errorf("handed over after %d ms", (w.now-from)/1e6)
				}
				return
			}
		}
		if w.now > from+10e9 {
			t.Fatal("nobody takes over")
		}
	}
}

func TestAMemberThatLostItsMemoryComesBackAsANewOne(t *testing.T) {
	comesBack(t, newWorld(t, 2, 3))
}

func TestASnapshotThatIsLostIsSentAgain(t *testing.T) {
	for _, kind := range []raftpb.MessageType{raftpb.MsgSnap, raftpb.MsgAppResp} { // it, or word that it has come
		w := newWorld(t, 2, 3)
		w.loss = 0
		lost := 0
		w.drop = func(m *raftpb.Message) bool {
			is := m.GetType() == kind && (m.GetTo() == 9 || m.GetFrom() == 9) && lost < 3
			if is {
				lost++
			}
			return is
		}
		comesBack(t, w)
		if lost < 3 {
			t.Errorf("%v: %d were lost, so that it shows nothing", kind, lost)
		}
	}
}

func comesBack(t *testing.T, w *world) {
	w.start()
	owner := func() *Core {
		for _, v := range w.voters {
			if v.core != nil && v.core.ActiveTerm(w.local(v)) != 0 {
				return v.core
			}
		}
		return nil
	}
	for owner() == nil && w.now < 10e9 {
		w.one()
	}
	lost := uint64(1)
	if owner().id == lost {
		lost = 2
	}
	delete(w.voters, lost)
	for i, id := range w.ids {
		if id == lost {
			w.ids[i] = 9
		}
	}
	w.voters[9] = &voter{disk: PersistentState{MemberID: 9, HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}, drift: 1}
	w.boot(9)
	name := fmt.Sprint("v", lost)
	for end := w.now + 20e9; w.now < end; {
		if c := owner(); c != nil && w.r.IntN(20) == 0 {
			if out, err := c.AddMember(9, name); err == nil {
				w.does(c.id, out)
			}
		}
		w.one()
		voters := w.voters[9].core.Voters()
		if c := owner(); c != nil && len(voters) == 3 && c.state.Members[9] == name && c.state.Members[lost] == "" {
			if w.voters[9].core.state.Term != c.state.Term {
				t.Errorf("it does not know what is agreed")
			}
			if w.broken != "" {
				t.Error(w.broken)
			}
			return
		}
	}
	t.Fatalf("it is not taken in: %v", w.voters[9].core.Voters())
}

// Five members, of which one is forgotten, and the others lose their memory one by one and come back under new numbers.
func TestMembersAreForgottenAndChangedOneByOne(t *testing.T) {
	w := newWorld(t, 11, 5)
	w.start()
	owner := func() (c *Core) {
		for _, id := range w.ids {
			if v := w.voters[id]; v.core != nil && v.core.ActiveTerm(w.local(v)) != 0 {
				c = v.core
			}
		}
		return c
	}
	until := func(what string, is func(c *Core) bool) {
		t.Helper()
		for end := w.now + 60e9; w.now < end; w.one() {
			if c := owner(); c != nil && is(c) {
				return
			}
		}
		t.Fatalf("%s: %+v", what, owner())
	}
	until("an owner", func(*Core) bool { return true })
	gone := uint64(1)
	if owner().id == gone {
		if _, err := owner().RemoveMember("v1"); err == nil {
			t.Error("an owner forgets itself")
		}
		gone = 2
	}
	name := fmt.Sprint("v", gone)
	delete(w.voters, gone)
	w.ids = slices.DeleteFunc(w.ids, func(id uint64) bool { return id == gone })
	until("one is forgotten", func(c *Core) bool {
		if out, err := c.RemoveMember(name); err == nil {
			w.does(c.id, out)
		} else if !errors.Is(err, ErrNotLeader) && !slices.Contains(c.Voters(), gone) {
			return true // it is no member
		}
		return false
	})
	for i, id := range slices.Clone(w.ids) {
		next := 100 + uint64(i)
		name := fmt.Sprint("v", id)
		delete(w.voters, id)
		w.ids[slices.Index(w.ids, id)] = next
		w.voters[next] = &voter{disk: PersistentState{MemberID: next, HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}, drift: 1}
		w.boot(next)
		until(name+" comes back", func(c *Core) bool {
			if w.r.IntN(20) == 0 {
				if out, err := c.AddMember(next, name); err == nil {
					w.does(c.id, out)
				}
			}
			return slices.Contains(c.Voters(), next) && len(c.Voters()) == 4 && c.state.Members[id] == "" && len(w.voters[next].core.Voters()) == 4
		})
	}
	if w.broken != "" {
		t.Error(w.broken)
	}
}

func TestWhatIsAgreedIsFencedAndBounded(t *testing.T) {
	a := State{}
	for i, c := range []struct {
		c  Command
		ok bool
	}{
		{Command{Term: 1, Item: "x"}, false}, {Command{Term: 3, Candidate: "a"}, true}, {Command{Term: 3, Candidate: "b"}, false}, {Command{Term: 2, Candidate: "b"}, false},
		{Command{Term: 3, Item: "x", Value: []byte("1")}, true}, {Command{Term: 2, Item: "x"}, false}, {Command{Term: 4, Candidate: "b"}, true},
		{Command{Term: 3, Item: "x"}, false}, {Command{Term: 4, Item: "y", Value: make([]byte, maxItemBytes+1)}, false},
	} {
		if err := a.apply(c.c); (err == nil) != c.ok {
			t.Errorf("%d: %v", i, err)
		}
	}
	for i := range 2 * maxItems {
		a.apply(Command{Term: 4, Item: fmt.Sprint(i), Value: []byte("1")})
	}
	if len(a.Items) != maxItems || string(a.Items["x"]) != "1" || a.Leader != "b" {
		t.Errorf("%+v", a)
	}
}
