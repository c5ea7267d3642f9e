package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A simulation runs members in virtual time, with the production Core and raft. It simulates a network that loses,
// delays, duplicates and reorders messages and can be cut in one direction, processes that stall, crash and lose their
// stores, and clocks that run at different rates.

const (
	simulationStep = int64(10e6) // ns
	maxDelayMS     = 30
	maxLateMS      = 3000 // spans several raft terms
	maxDuplicateMS = 500
	diskFaultOneIn = 2000
)

// simulatedMember is a member with its store and clock.
type simulatedMember struct {
	core         *Core // nil after a crash
	persistent   PersistentState
	clockRate    float64
	nextTick     int64 // by the member's clock
	stalledUntil int64 // in simulation time, like downUntil
	downUntil    int64
}

// link is one direction of the connection between two members.
type link struct{ from, to uint64 }

// packet is a message in flight.
type packet struct {
	arrivesAt int64
	to        uint64
	text      []byte
}

// simulation is a fleet in virtual time.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     int64
	members map[uint64]*simulatedMember
	ids     []uint64
	packets []packet
	cut     map[link]bool
	timing  Timing

	lossPercent int
	diskFaults  bool // one in diskFaultOneIn writes fails, and the member resumes from what is stored
	drop        func(*raftpb.Message) bool
	ignoreLease bool // an injected defect
	reuseIDs    bool // an injected defect: a member that has lost its store rejoins under its old ID

	onActive func(uint64, *simulatedMember) // called for a member that may act, before it receives messages in this step
	onResult func(uint64, Result)

	leaders   map[Term]string
	applied   map[uint64]string // applied state by log index
	acts      int
	violation string
}

func newSimulation(t *testing.T, seed uint64, size int) *simulation {
	t.Helper()
	s := &simulation{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 3)),
		members:     map[uint64]*simulatedMember{},
		cut:         map[link]bool{},
		timing:      DefaultTiming(),
		lossPercent: 2,
		leaders:     map[Term]string{},
		applied:     map[uint64]string{},
	}
	s.timing.RetainedEntries = 16
	names := map[uint64]string{}
	for i := range size {
		id := uint64(i + 1)
		s.ids = append(s.ids, id)
		names[id] = nameOf(id)
	}
	for _, id := range s.ids {
		clockRate := 1 + 0.05*(2*s.random.Float64()-1)
		s.members[id] = &simulatedMember{persistent: BootstrapState(id, names), clockRate: clockRate}
	}
	return s
}

func nameOf(id uint64) string { return fmt.Sprint("v", id) }

func (s *simulation) start() {
	for _, id := range s.ids {
		s.restart(id)
	}
}

// localTime returns the time of a member's clock.
func (s *simulation) localTime(m *simulatedMember) int64 { return int64(float64(s.now) * m.clockRate) }

// activeTerm returns the term under which a member may act, or 0.
func (s *simulation) activeTerm(m *simulatedMember) Term { return m.core.ActiveTerm(s.localTime(m)) }

func (s *simulation) restart(id uint64) {
	m := s.members[id]
	core, err := NewCore(nameOf(id), m.persistent, s.timing, s.localTime(m))
	if err != nil {
		s.t.Fatal(err)
	}
	core.ignoreLease = s.ignoreLease
	m.core = core
	m.nextTick = s.localTime(m)
}

// carryOut persists an output, and then delivers its results and messages. If the disk fails, the member halts and
// later resumes from what is stored, which may or may not include the output.
func (s *simulation) carryOut(id uint64, out Output) {
	if s.diskFaults && s.random.IntN(diskFaultOneIn) == 0 {
		s.halt(id, out)
		return
	}
	s.members[id].persist(out)
	for _, result := range out.Results {
		if s.onResult != nil {
			s.onResult(id, result)
		}
	}
	for _, message := range out.Messages {
		s.send(id, message)
	}
}

// halt simulates a failed write of an output.
func (s *simulation) halt(id uint64, out Output) {
	m := s.members[id]
	if s.random.IntN(2) == 0 {
		m.persist(out) // the error occurred after the write
	}
	m.core = nil
	m.downUntil = s.now + s.timing.Lease
}

func (m *simulatedMember) persist(out Output) {
	persistent := &m.persistent
	if out.HardState != nil {
		persistent.HardState = out.HardState
	}
	covered := uint64(0)
	if out.Snapshot != nil {
		persistent.Snapshot = out.Snapshot
		covered = out.Snapshot.GetMetadata().GetIndex()
		for len(persistent.Entries) > 0 && (out.ReplaceLog || persistent.Entries[0].GetIndex() <= covered) {
			persistent.Entries = persistent.Entries[1:]
		}
	}
	for _, entry := range out.Entries {
		last := len(persistent.Entries)
		for last > 0 && persistent.Entries[last-1].GetIndex() >= entry.GetIndex() {
			last--
		}
		persistent.Entries = persistent.Entries[:last]
		if entry.GetIndex() > covered {
			persistent.Entries = append(persistent.Entries, entry)
		}
	}
}

// send loses some messages, delays all others, some of them for a long time, and duplicates some.
func (s *simulation) send(from uint64, message *raftpb.Message) {
	text, err := proto.Marshal(message)
	if err != nil {
		s.t.Fatal(err)
	}
	isCut := s.cut[link{from, message.GetTo()}]
	if isCut || s.random.IntN(100) < s.lossPercent || s.drop != nil && s.drop(message) {
		return
	}
	p := packet{s.now + s.milliseconds(maxDelayMS), message.GetTo(), text}
	if s.random.IntN(100) == 0 {
		p.arrivesAt += s.milliseconds(maxLateMS)
	}
	s.packets = append(s.packets, p)
	if s.random.IntN(100) == 0 {
		p.arrivesAt += s.milliseconds(maxDuplicateMS)
		s.packets = append(s.packets, p)
	}
}

func (s *simulation) milliseconds(limit int) int64 { return int64(s.random.IntN(limit)) * 1e6 }

// step advances the simulation by one step. It first checks for active members, because a member that resumes after a
// stall may check whether it may act before it receives any message.
func (s *simulation) step() {
	s.now += simulationStep
	s.checkActive()
	s.deliver()
	active := ""
	for _, id := range s.ids {
		m := s.members[id]
		if m.core == nil {
			if m.downUntil <= s.now {
				s.restart(id)
			}
			continue
		}
		if m.stalledUntil > s.now {
			continue
		}
		if m.nextTick <= s.localTime(m) {
			m.nextTick = s.localTime(m) + s.timing.Tick // missed ticks are skipped
			s.carryOut(id, m.core.Tick(s.localTime(m)))
		}
		if m.core == nil { // halted by a disk fault
			continue
		}
		if term := s.activeTerm(m); term != 0 {
			s.act(id, m, term, active)
			active = nameOf(id)
		}
		if m.core != nil {
			s.checkApplied(m.core)
		}
	}
}

// checkActive records a violation if two members may act at the same time.
func (s *simulation) checkActive() {
	active := ""
	for _, id := range s.ids {
		m := s.members[id]
		if m.core == nil || m.stalledUntil > s.now || s.activeTerm(m) == 0 {
			continue
		}
		if active != "" {
			s.violation = fmt.Sprintf("%s and %s both may act", active, m.core.name)
		}
		active = m.core.name
		if s.onActive != nil {
			s.onActive(id, m)
		}
	}
}

func (s *simulation) deliver() {
	packets := s.packets
	s.packets = nil
	for _, p := range packets {
		m := s.members[p.to]
		switch {
		case p.arrivesAt > s.now || m != nil && m.stalledUntil > s.now:
			s.packets = append(s.packets, p)
		case m == nil || m.core == nil: // lost
		default:
			message := &raftpb.Message{}
			if err := proto.Unmarshal(p.text, message); err != nil {
				s.t.Fatal(err)
			}
			s.carryOut(p.to, m.core.Step(s.localTime(m), message))
		}
	}
}

// act records a violation if a term has two leaders or two members are active, and sometimes writes an item.
func (s *simulation) act(id uint64, m *simulatedMember, term Term, otherActive string) {
	name := m.core.name
	if known := s.leaders[term]; known != "" && known != name {
		s.violation = fmt.Sprintf("term %d has two leaders, %s and %s", term, known, name)
	}
	s.leaders[term] = name
	if otherActive != "" {
		s.violation = fmt.Sprintf("%s and %s both may act", otherActive, name)
	}
	s.acts++
	if s.random.IntN(10) != 0 {
		return
	}
	item := fmt.Sprint("item", s.random.IntN(3))
	out, err := m.core.Propose(uint64(s.acts), term, item, fmt.Append(nil, name, s.acts))
	if err == nil {
		s.carryOut(id, out)
	}
}

// checkApplied records a violation if members have applied different states at the same log index.
func (s *simulation) checkApplied(core *Core) {
	state := core.State()
	text := fmt.Sprint(state.Term, state.Leader, state.Versions)
	if known, isKnown := s.applied[core.appliedIndex]; isKnown && known != text {
		s.violation = fmt.Sprintf("at %d the state is %s, and %s at %s", core.appliedIndex, known, text, core.name)
	}
	s.applied[core.appliedIndex] = text
}

// injectFault injects a random fault in a small fraction of its calls, or ends network cuts.
func (s *simulation) injectFault() {
	id := s.randomID()
	m := s.members[id]
	switch s.random.IntN(400) {
	case 0:
		m.stalledUntil = s.now + s.milliseconds(4000)
	case 1:
		m.core = nil
		m.downUntil = s.now + s.milliseconds(2000)
	case 2, 3:
		s.cut[link{id, s.randomID()}] = true
	case 4, 5, 6:
		clear(s.cut)
	case 7:
		if s.reuseIDs {
			m.core = nil
			m.downUntil = s.now + 1
			m.persistent = BootstrapState(id, s.names())
		}
	case 8:
		if m.core != nil && m.stalledUntil <= s.now {
			if out, isTransferring := m.core.TransferLeadership(""); isTransferring {
				s.carryOut(id, out)
			}
		}
	}
}

func (s *simulation) randomID() uint64 { return s.ids[s.random.IntN(len(s.ids))] }

func (s *simulation) names() map[uint64]string {
	names := map[uint64]string{}
	for _, id := range s.ids {
		names[id] = nameOf(id)
	}
	return names
}

// run starts the members, runs them with faults until the given time, and returns the violation found, or "".
func (s *simulation) run(duration int64) string {
	s.start()
	for s.now < duration && s.violation == "" {
		s.step()
		s.injectFault()
	}
	return s.violation
}

// runUntil advances the simulation to the given time without injecting faults.
func (s *simulation) runUntil(end int64) {
	for s.now < end {
		s.step()
	}
}

// activeLeader returns the core of a member that may act, or nil.
func (s *simulation) activeLeader() *Core {
	for _, id := range s.ids {
		m := s.members[id]
		if m.core != nil && s.activeTerm(m) != 0 {
			return m.core
		}
	}
	return nil
}

// awaitLeader advances the simulation until a member may act, and returns its core.
func (s *simulation) awaitLeader(limit int64) *Core {
	s.t.Helper()
	for end := s.now + limit; s.now < end; s.step() {
		if core := s.activeLeader(); core != nil {
			return core
		}
	}
	s.t.Fatal("no member becomes the leader")
	return nil
}

// replaceMember replaces a member with one that has an empty store and a new ID.
func (s *simulation) replaceMember(former, id uint64) {
	delete(s.members, former)
	for i := range s.ids {
		if s.ids[i] == former {
			s.ids[i] = id
		}
	}
	empty := PersistentState{MemberID: id, HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	s.members[id] = &simulatedMember{persistent: empty, clockRate: 1}
	s.restart(id)
}
