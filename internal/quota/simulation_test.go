package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Leaders come and go, members' clocks run at different rates, assignments are late, repeated and lost: never more
// than the full share is in use.

const (
	grantLifetime = int64(5000) // the simulation's unit of time is a millisecond
	roundInterval = int64(1000)
	maxReplyDelay = 400
	maxDelay      = 3000
	maxRepeatLate = 9000
)

// holder is a member with its own clock.
type holder struct {
	name      string
	clockRate float64
	clockSkew int64
	shares    Shares
	until     int64 // its own time
	term      int
	sequence  int64
}

func (h *holder) clock(now int64) int64 { return int64(float64(now)*h.clockRate) + h.clockSkew }

// delivery is an assignment on its way.
type delivery struct {
	to        int
	term      int
	sequence  int64
	shares    Shares
	until     int64
	arrivesAt int64
}

// shareSimulation is a leader, its successors, and the members that they grant shares to.
type shareSimulation struct {
	random     *rand.Rand
	newLedger  func(record Record, lifetime, now int64) *Ledger
	resources  []Resource
	holders    []holder
	committed  Record
	commits    int
	ledger     *Ledger
	targets    map[string]Shares
	term       int
	sequence   int64
	deliveries []delivery
}

func newShareSimulation(seed uint64, newLedger func(Record, int64, int64) *Ledger) *shareSimulation {
	s := &shareSimulation{
		random:    rand.New(rand.NewPCG(seed, 1)),
		newLedger: newLedger,
		resources: []Resource{Fleet, TenantQuota("a"), TenantQuota("")},
		term:      1,
	}
	for i := range 2 + s.random.IntN(5) {
		clockRate := 1 + 0.04*(s.random.Float64()-0.5)
		skew := s.random.Int64N(1e9)
		s.holders = append(s.holders, holder{name: fmt.Sprint("c", i), clockRate: clockRate, clockSkew: skew})
	}
	s.ledger = newLedger(s.committed, grantLifetime, 0)
	s.targets = s.drawTargets()
	return s
}

// drawTargets divides each resource at random; one member may be missing.
func (s *shareSimulation) drawTargets() map[string]Shares {
	targets := map[string]Shares{}
	for _, resource := range s.resources {
		left := int64(FullShare)
		for _, h := range s.holders {
			if targets[h.name] == nil {
				targets[h.name] = Shares{}
			}
			share := s.random.Int64N(left + 1)
			targets[h.name][resource] = share
			left -= share
		}
	}
	delete(targets, fmt.Sprint("c", s.random.IntN(3*len(s.holders))))
	return targets
}

// run runs the simulation for two minutes and returns what was wrong, or "".
func (s *shareSimulation) run() string {
	for now := int64(0); now < 120_000; now += roundInterval / 2 {
		if s.random.IntN(25) == 0 {
			s.term++
			s.sequence = 0
			s.ledger = s.newLedger(s.committed, grantLifetime, now)
		}
		if s.random.IntN(15) == 0 {
			s.targets = s.drawTargets()
		}
		if now%roundInterval == 0 {
			s.round(now)
		}
		s.deliver(now)
		if fault := s.check(now); fault != "" {
			return fault
		}
	}
	if s.commits < 3 {
		return "nothing was committed"
	}
	return ""
}

// round is one round of the leader.
func (s *shareSimulation) round(now int64) {
	clocks := s.poll(now)
	next, isChanged := s.ledger.NextRecord(s.targets, now)
	if isChanged && s.random.IntN(6) > 0 { // else its commit fails
		s.committed = next
		s.ledger.Commit(next)
		s.commits++
	}
	for i := range s.holders {
		if clock, hasReplied := clocks[i]; hasReplied {
			s.grant(i, clock, now)
		}
	}
	s.ledger.DropExpired(now)
}

// poll returns the clocks of the members that reply.
func (s *shareSimulation) poll(now int64) map[int]int64 {
	clocks := map[int]int64{}
	for i := range s.holders {
		h := &s.holders[i]
		if s.random.IntN(5) == 0 {
			continue
		}
		clocks[i] = h.clock(now - s.random.Int64N(maxReplyDelay))
		if h.term == s.term {
			s.ledger.Confirm(h.name, h.sequence)
		}
	}
	return clocks
}

// grant sends an assignment, which may be lost, repeated and late.
func (s *shareSimulation) grant(to int, clock, now int64) {
	s.sequence++
	name := s.holders[to].name
	sent := delivery{
		to:        to,
		term:      s.term,
		sequence:  s.sequence,
		shares:    s.ledger.Grant(name, s.targets[name], now, s.sequence),
		until:     clock + grantLifetime,
		arrivesAt: now + s.random.Int64N(maxDelay),
	}
	if s.random.IntN(5) > 0 {
		s.deliveries = append(s.deliveries, sent)
	}
	if s.random.IntN(5) == 0 {
		sent.arrivesAt += s.random.Int64N(maxRepeatLate)
		s.deliveries = append(s.deliveries, sent)
	}
}

func (s *shareSimulation) deliver(now int64) {
	s.deliveries = slices.DeleteFunc(s.deliveries, func(d delivery) bool {
		if d.arrivesAt > now {
			return false
		}
		h := &s.holders[d.to]
		if d.term > h.term || d.term == h.term && d.sequence > h.sequence {
			h.shares, h.until, h.term, h.sequence = d.shares, d.until, d.term, d.sequence
		}
		return true
	})
}

// check returns which resource is in use, or committed, beyond the full share.
func (s *shareSimulation) check(now int64) string {
	for _, resource := range s.resources {
		inUse, committed := int64(0), int64(0)
		for i := range s.holders {
			if h := &s.holders[i]; h.clock(now) < h.until {
				inUse += h.shares[resource]
			}
		}
		for _, limits := range s.committed.Limits {
			committed += limits[resource]
		}
		if inUse > FullShare || committed > FullShare {
			return fmt.Sprintf("at %d %d of %s are in use, %d are committed", now, inUse, resource, committed)
		}
	}
	return ""
}

func TestNeverMoreThanTheFullShareIsInUse(t *testing.T) {
	for seed := range uint64(300) {
		if fault := newShareSimulation(seed, NewLedger).run(); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
	impatient := func(record Record, lifetime, now int64) *Ledger { return NewLedger(record, lifetime, now-10*lifetime) }
	found := 0
	for seed := range uint64(100) {
		if newShareSimulation(seed, impatient).run() != "" {
			found++
		}
	}
	if found < 50 {
		t.Errorf("a new leader that does not wait is found in %d of 100", found)
	}
}
