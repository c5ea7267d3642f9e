package leader

import (
	"flag"
	"slices"
	"testing"
)

// How much TestTimesWithoutALeader runs; make proof-owner runs more.
var (
	runs  = flag.Int("runs", 10, "leaders lost in each way")
	hours = flag.Int("hours", 0, "of virtual time without faults")
)

// Times without a leader, in virtual time, on links that lose 2 of 100 messages. make proof-owner prints what is
// logged.
func TestTimesWithoutALeader(t *testing.T) {
	for _, way := range []string{"killed", "stopped", "cut off", "stepped down"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			var gaps []int64 // ms
			for seed := range uint64(*runs) {
				if gap, isLost := failover(t, seed, way); isLost {
					gaps = append(gaps, gap)
				}
			}
			slices.Sort(gaps)
			median, p99 := gaps[len(gaps)/2], gaps[len(gaps)*99/100]
			t.Logf("owner %-12s %d times: median %4d ms, p99 %4d ms until another may act", way, len(gaps), median, p99)
			if way == "stepped down" && median > 1000 || p99 > 8000 {
				t.Errorf("%s: %d ms, %d ms", way, median, p99)
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

// failover loses a leader and returns the milliseconds until another one may act; false: it could not hand over.
func failover(t *testing.T, seed uint64, way string) (gap int64, isLost bool) {
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
	if !s.loseLeader(id, way) {
		return 0, false
	}
	excluded := id
	if way == "stepped down" { // one that nobody could take over from may act again
		excluded = 0
	}
	for s.activeExcept(excluded) == 0 {
		s.step()
		if s.now > startedAt+60e9 {
			t.Fatalf("%s, seed %d: nobody takes over", way, seed)
		}
	}
	if s.violation != "" {
		t.Fatalf("%s, seed %d: %s", way, seed, s.violation)
	}
	return (s.now - startedAt) / 1e6, true
}

// activeExcept returns a running member other than the given one that may act, or 0.
func (s *simulation) activeExcept(excluded uint64) uint64 {
	for _, id := range s.ids {
		m := s.members[id]
		if id != excluded && m.core != nil && m.stalledUntil <= s.now && s.activeTerm(m) != 0 {
			return id
		}
	}
	return 0
}

// loseLeader loses a leader in one way; false: it cannot hand over.
func (s *simulation) loseLeader(id uint64, way string) bool {
	m := s.members[id]
	switch way {
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
