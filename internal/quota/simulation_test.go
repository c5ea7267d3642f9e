package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// The simulation replaces leaders, runs the members' clocks at different rates, and delays, repeats and loses
// assignments. The shares in use must never exceed the full share.

const (
	grantLifetime = int64(5000) // times are in simulated milliseconds
	roundInterval = int64(1000)
	maxReplyDelay = 400
	maxDelay      = 3000
	maxRepeatLate = 9000
)

// holder is a member that holds shares and has its own clock.
type holder struct {
	name      string
	clockRate float64
	clockSkew int64
	shares    Shares
	until     int64 // by its own clock
	term      int
	sequence  int64
}

func (h *holder) clock(now int64) int64 { return int64(float64(now)*h.clockRate) + h.clockSkew }

// delivery is an assignment in flight.
type delivery struct {
	to        int
	term      int
	sequence  int64
	shares    Shares
	until     int64
	arrivesAt int64
}

// shareSimulation simulates successive leaders and the members to which they grant shares.
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
		resources: []Resource{FleetThreads, TenantQuota("a"), TenantQuota("")},
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

// drawTargets randomly divides each resource; one member may be missing.
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

// run simulates two minutes and returns a description of a violated invariant, or "".
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
		return "fewer than 3 records were committed"
	}
	return ""
}

// round performs one round of the leader.
func (s *shareSimulation) round(now int64) {
	clocks := s.poll(now)
	next, isChanged := s.ledger.NextRecord(s.targets, now)
	if isChanged && s.random.IntN(6) > 0 { // otherwise the commit fails
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

// poll returns the clock readings of the members that reply, by index.
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

// grant sends an assignment, which may be lost, repeated or delayed.
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

// check describes a resource of which more than the full share is in use or committed, or returns "".
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
			return fmt.Sprintf("at %d: %d of %s in use, %d committed", now, inUse, resource, committed)
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
	withoutWait := func(record Record, lifetime, now int64) *Ledger { return NewLedger(record, lifetime, now-10*lifetime) }
	detected := 0
	for seed := range uint64(100) {
		if newShareSimulation(seed, withoutWait).run() != "" {
			detected++
		}
	}
	if detected < 50 {
		t.Errorf("a new leader that does not wait is detected in only %d of 100 runs", detected)
	}
}
