package assignment

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"

	"swiftreel/internal/quota"
)

// These tests explore all reachable states of a model with two successive leaders and two receivers. A leader may stall
// at any of its steps for any time (before, between or after its checks), and each assignment may arrive at any later
// time or never. The ledger and the receivers' fence are the production code; the lease follows the rules of package
// leader.

// Times are in abstract time units.
const (
	lease         = 2 // during which voters elect no other leader
	shareLifetime = 3
	endOfTime     = 8

	stepsPerRound     = 5
	firstLeaderRounds = 2 // the second leader has one round more
	noStall           = -1
	maxStates         = 600_000
)

// defects disables parts of the protocol; the exploration must detect each one that is missing.
type defects struct{ noFence, noLeaseCheck, noWait, noCommit bool }

// delivery is an assignment in flight.
type delivery struct {
	to         int
	assignment Assignment
}

// leaderState is a leader's progress in its rounds. The steps of a round are: poll, commit, check the lease, send to
// the first receiver, send to the second.
type leaderState struct {
	term     int64 // 0 while it does not lead
	step     int   // counted over all rounds
	quorumAt int64 // when a majority last confirmed it
	polledAt int64
	sequence int64
	ledger   *quota.Ledger
	targets  map[string]quota.Shares
	roundAt  int64 // start of the latest round
}

// isDone reports whether a leader has no round left.
func (l *leaderState) isDone(index int) bool {
	return l.term == 0 || l.step >= (firstLeaderRounds+index)*stepsPerRound
}

// hasLease reports whether the lease still holds, with the same margin for clock drift as in package leader.
func (l *leaderState) hasLease(now int64, d defects) bool {
	return l.term != 0 && (d.noLeaseCheck || now-l.quorumAt < lease*800/1000)
}

// modelState is one state of the modelled system.
type modelState struct {
	now        int64
	leaders    [2]leaderState
	committed  quota.Record
	term       int64 // the committed one
	deliveries []delivery
	accepted   [2]Accepted
	maxTerm    [2]int64 // highest accepted, by receiver
	isStalled  bool     // the first leader is stalled within a round
	stalls     int
}

var receivers = [2]string{"c1", "c2"}

// key identifies a state by a 128-bit hash.
func (s *modelState) key() [16]byte {
	h := fnv.New128a()
	put := func(list ...int64) {
		for _, n := range list {
			h.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16)})
		}
	}
	put(s.now, s.term, s.maxTerm[0], s.maxTerm[1], int64(s.stalls))
	fmt.Fprint(h, s.isStalled)
	put(s.committed.Limits["c1"][quota.FleetThreads], s.committed.Limits["c2"][quota.FleetThreads])
	for _, l := range s.leaders {
		put(l.term, int64(l.step), l.quorumAt, l.polledAt, l.sequence, l.roundAt)
		if l.ledger != nil {
			fmt.Fprintf(h, "%v", *l.ledger)
		}
	}
	for _, a := range s.accepted {
		put(a.Term, a.Sequence, a.Shares[quota.FleetThreads], a.SharesUntil)
	}
	for _, d := range s.deliveries {
		put(int64(d.to), d.assignment.Term, d.assignment.Sequence)
	}
	return [16]byte(h.Sum(nil))
}

func (s *modelState) clone() *modelState {
	clone := *s
	clone.deliveries = slices.Clone(s.deliveries)
	for i := range clone.leaders {
		if ledger := clone.leaders[i].ledger; ledger != nil {
			clone.leaders[i].ledger = ledger.Clone()
		}
	}
	return &clone
}

// targetsOf returns a leader's targets. The second leader raises the share of c2 and lowers that of c1.
func targetsOf(index int) map[string]quota.Shares {
	large, small := quota.Shares{quota.FleetThreads: 700_000}, quota.Shares{quota.FleetThreads: 300_000}
	if index == 0 {
		return map[string]quota.Shares{"c1": large, "c2": small}
	}
	return map[string]quota.Shares{"c1": small, "c2": large}
}

// takeOver makes a leader active in the next term.
func (s *modelState) takeOver(index int, d defects) {
	since := s.now
	if d.noWait {
		since -= 2 * shareLifetime
	}
	s.term++
	s.leaders[index] = leaderState{
		term:     s.term,
		quorumAt: s.now,
		ledger:   quota.NewLedger(s.committed, shareLifetime, since),
		targets:  targetsOf(index),
		roundAt:  -1,
	}
}

// step performs a leader's next step. It returns false if there is none.
func (s *modelState) step(index int, d defects) bool {
	l := &s.leaders[index]
	if l.isDone(index) {
		return false
	}
	if s.term == l.term { // a majority follows it
		l.quorumAt = s.now
	}
	switch l.step % stepsPerRound {
	case 0:
		s.poll(l)
	case 1:
		s.commit(index, d)
	case 2:
		if !l.hasLease(s.now, d) {
			l.step += 2 // skip to the next round
		}
	case 3, 4:
		s.send(index, l.step%stepsPerRound-3)
	}
	l.step++
	return true
}

func (s *modelState) poll(l *leaderState) {
	l.polledAt = s.now
	for i, a := range s.accepted {
		if a.Term == l.term {
			l.ledger.Confirm(receivers[i], a.Sequence)
		}
	}
}

// commit performs the commit step, which is fenced by the leader's term.
func (s *modelState) commit(index int, d defects) {
	l := &s.leaders[index]
	next, isChanged := l.ledger.NextRecord(l.targets, s.now)
	if d.noCommit {
		next = quota.Record{Limits: l.targets}
	}
	if !isChanged {
		return
	}
	isStale := s.term != l.term
	if isStale && !d.noCommit { // the commit has no effect, and the leader stops
		l.step = (firstLeaderRounds+index)*stepsPerRound - 1
		return
	}
	l.ledger.Commit(next)
	if !isStale && !d.noCommit {
		s.committed = next
	}
}

func (s *modelState) send(index, to int) {
	l := &s.leaders[index]
	name := receivers[to]
	l.sequence++
	sent := Assignment{
		Term:        l.term,
		Sequence:    l.sequence,
		Leader:      fmt.Sprint(index),
		Member:      name,
		Incarnation: "x",
		Shares:      l.ledger.Grant(name, l.targets[name], l.polledAt, l.sequence),
		SharesUntil: l.polledAt + shareLifetime,
	}
	s.deliveries = append(s.deliveries, delivery{to, sent})
}

// round runs a leader to the end of its round, or up to the step at which it stalls. It returns false if there is no
// round to run.
func (s *modelState) round(index, stallBefore int, d defects) bool {
	l := &s.leaders[index]
	if l.step%stepsPerRound == 0 {
		if l.roundAt == s.now || l.step >= (firstLeaderRounds+index)*stepsPerRound {
			return false
		}
		l.roundAt = s.now
	}
	for {
		if l.step%stepsPerRound == stallBefore {
			s.isStalled = true
			s.stalls++
			return true
		}
		if !s.step(index, d) || l.step%stepsPerRound == 0 {
			s.isStalled = s.isStalled && index != 0
			return true
		}
	}
}

// deliver delivers an assignment, and returns a description of a violated invariant, or "".
func (s *modelState) deliver(index int, d defects) string {
	arrived := s.deliveries[index]
	s.deliveries = slices.Delete(slices.Clone(s.deliveries), index, index+1)
	accepted := s.accepted[arrived.to]
	if d.noFence {
		accepted.Term, accepted.Sequence = 0, 0
	}
	next, err := accepted.Accept(arrived.assignment, receivers[arrived.to], "x", s.now)
	if err != nil {
		return ""
	}
	if term := arrived.assignment.Term; term < s.maxTerm[arrived.to] {
		return fmt.Sprintf("%s takes a word of reign %d after %d", receivers[arrived.to], term, s.maxTerm[arrived.to])
	}
	s.maxTerm[arrived.to] = arrived.assignment.Term
	s.accepted[arrived.to] = next
	return ""
}

// invariantViolation describes by how much the shares in use exceed the full share, or returns "".
func (s *modelState) invariantViolation() string {
	sum := int64(0)
	for _, a := range s.accepted {
		sum += a.ValidAt(s.now).Shares[quota.FleetThreads]
	}
	if sum > quota.FullShare {
		return fmt.Sprintf("%d of %d are out at %d", sum, quota.FullShare, s.now)
	}
	return ""
}

// tick advances time by one unit. It drops assignments that have expired, as they no longer have an effect. It returns
// false at the end of time.
func (s *modelState) tick() bool {
	s.now++
	s.deliveries = slices.DeleteFunc(s.deliveries, func(d delivery) bool { return d.assignment.SharesUntil <= s.now })
	return s.now < endOfTime
}

// successors returns all states that can follow, or a description of an invariant that a transition violates.
func (s *modelState) successors(d defects) (next []*modelState, fault string) {
	addSuccessor := func(change func(*modelState) bool) {
		if clone := s.clone(); change(clone) {
			next = append(next, clone)
		}
	}
	addSuccessor((*modelState).tick)
	for i := range s.leaders {
		addSuccessor(func(c *modelState) bool { return c.leaders[i].term != 0 && c.round(i, noStall, d) })
	}
	for before := 1; before < stepsPerRound && s.stalls == 0; before++ {
		addSuccessor(func(c *modelState) bool { return c.round(0, before, d) })
	}
	isLeaseOver := s.now-s.leaders[0].quorumAt >= lease // voters elect no other leader before
	if s.leaders[1].term == 0 && isLeaseOver {
		addSuccessor(func(c *modelState) bool {
			c.takeOver(1, d)
			return true
		})
	}
	for i := range s.deliveries {
		addSuccessor(func(c *modelState) bool {
			fault = c.deliver(i, d)
			return true
		})
		if fault != "" {
			return nil, fault
		}
	}
	return next, ""
}

// explore visits all reachable states. It returns a description of a violated invariant, or "", and the number of
// states found.
func explore(d defects) (fault string, states int) {
	start := &modelState{}
	start.takeOver(0, d)
	seen := map[[16]byte]bool{start.key(): true}
	unvisited := []*modelState{start}
	for len(unvisited) > 0 {
		state := unvisited[len(unvisited)-1]
		unvisited = unvisited[:len(unvisited)-1]
		next, fault := state.successors(d)
		if fault != "" {
			return fault, len(seen)
		}
		for _, successor := range next {
			if fault := successor.invariantViolation(); fault != "" {
				return fault, len(seen)
			}
			if key := successor.key(); !seen[key] && len(seen) < maxStates {
				seen[key] = true
				unvisited = append(unvisited, successor)
			}
		}
	}
	return "", len(seen)
}

// make proof-owner-virtual prints the log lines of this test, so their wording must not change.
func TestAllThatCanHappenWithTwoLeadersAndOneStall(t *testing.T) {
	if fault, states := explore(defects{}); fault != "" || states >= maxStates {
		t.Errorf("%s (%d states)", fault, states)
	} else {
		t.Logf("%d states", states)
	}
	for name, d := range map[string]defects{
		"no fence": {noFence: true},
		"an owner that does not ask whether it may": {noLeaseCheck: true},
		"a new owner that does not wait":            {noWait: true},
		"parts given before they are agreed":        {noCommit: true},
	} {
		if fault, states := explore(d); fault == "" {
			t.Errorf("%s is not found in %d states", name, states)
		} else {
			t.Logf("%s: %s after %d states", name, fault, states)
		}
	}
}

func TestClonesOfALedgerShareNothing(t *testing.T) {
	ledger := quota.NewLedger(quota.Record{}, 10, 0)
	record, _ := ledger.NextRecord(targetsOf(0), 1)
	ledger.Commit(record)
	clone := ledger.Clone()
	limits := maps.Clone(record.Limits["c1"])
	ledger.Grant("c1", targetsOf(0)["c1"], 1, 1)
	ledger.Confirm("c1", 1)
	granted := clone.Grant("c1", targetsOf(1)["c1"], 2, 1)
	if granted[quota.FleetThreads] != 300_000 || !maps.Equal(limits, record.Limits["c1"]) {
		t.Errorf("%v %v", granted, record.Limits)
	}
}
