package leader

import (
	"flag"
	"slices"
	"testing"
)

// Extent of TestTimesWithoutALeader; make proof-owner runs more.
var (
	runs  = flag.Int("runs", 10, "number of failovers for each kind of loss")
	hours = flag.Int("hours", 0, "hours of virtual time without faults")
)

// Measures how long the fleet is without a leader, in virtual time, on links that lose 2% of the messages. make
// proof-owner prints the log lines of this test.
func TestTimesWithoutALeader(t *testing.T) {
	for _, lossKind := range []string{"killed", "stopped", "cut off", "stepped down"} {
		t.Run(lossKind, func(t *testing.T) {
			t.Parallel()
			var gaps []int64 // ms
			for seed := range uint64(*runs) {
				if gap, isLost := failover(t, seed, lossKind); isLost {
					gaps = append(gaps, gap)
				}
			}
			slices.Sort(gaps)
			median, p99 := gaps[len(gaps)/2], gaps[len(gaps)*99/100]
			t.Logf("owner %-12s %d times: median %4d ms, p99 %4d ms until another may act", lossKind, len(gaps), median, p99)
			if lossKind == "stepped down" && median > 1000 || p99 > 8000 {
				t.Errorf("%s: %d ms, %d ms", lossKind, median, p99)
			}
		})
	}
	t.Run("nothing wrong", func(t *testing.T) {
		t.Parallel()
		changes := 0
		for seed := range uint64(*hours) {
			s := newSimulation(t, seed, 5)
			s.lossPercent = 5
			s.start()
			s.runUntil(3600e9)
			changes += len(s.leaders) - 1
		}
		t.Logf("owners changed %d times in %d hours with nothing wrong but 5%% of messages lost", changes, *hours)
		if changes > 2**hours {
			t.Errorf("%d changes in %d hours", changes, *hours)
		}
	})
}

// failover makes the fleet lose its leader, and returns the milliseconds until another member may act. It returns false
// if the leader could not transfer the leadership.
func failover(t *testing.T, seed uint64, lossKind string) (gap int64, isLost bool) {
	t.Helper()
	s := newSimulation(t, seed, 5)
	s.start()
	for s.activeExcept(0) == 0 || s.now < 5e9 {
		s.step()
	}
	for s.activeExcept(0) == 0 {
		s.step()
	}
	id := s.activeExcept(0)
	startedAt := s.now
	if !s.loseLeader(id, lossKind) {
		return 0, false
	}
	excluded := id
	if lossKind == "stepped down" { // if the transfer fails, the same member may act again
		excluded = 0
	}
	for s.activeExcept(excluded) == 0 {
		s.step()
		if s.now > startedAt+60e9 {
			t.Fatalf("%s, seed %d: no other member takes over", lossKind, seed)
		}
	}
	if s.violation != "" {
		t.Fatalf("%s, seed %d: %s", lossKind, seed, s.violation)
	}
	return (s.now - startedAt) / 1e6, true
}

// activeExcept returns the ID of a running member, other than the excluded one, that may act, or 0.
func (s *simulation) activeExcept(excluded uint64) uint64 {
	for _, id := range s.ids {
		m := s.members[id]
		if id != excluded && m.core != nil && m.stalledUntil <= s.now && s.activeTerm(m) != 0 {
			return id
		}
	}
	return 0
}

// loseLeader makes the fleet lose its leader. It returns false if the leader cannot transfer the leadership.
func (s *simulation) loseLeader(id uint64, lossKind string) bool {
	m := s.members[id]
	switch lossKind {
	case "killed":
		m.core = nil
		m.downUntil = s.now + 60e9
	case "stopped":
		m.stalledUntil = s.now + 60e9
	case "cut off":
		for _, other := range s.ids {
			s.cut[link{id, other}] = true
			s.cut[link{other, id}] = true
		}
	default:
		out, isTransferring := m.core.TransferLeadership("")
		if !isTransferring {
			return false
		}
		s.carryOut(id, out)
	}
	return true
}
