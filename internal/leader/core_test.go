package leader

import (
	"errors"
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

var simulationCount = flag.Int("worlds", 120, "number of simulations with faults to run")

func TestOneLeaderAtATime(t *testing.T) {
	runSimulations(t, func(*simulation) {})
}

// Some writes fail, before or after they have reached the disk, and the member resumes from what is stored.
func TestOneLeaderAtATimeWhereWritesFail(t *testing.T) {
	runSimulations(t, func(s *simulation) { s.diskFaults = true })
}

// runSimulations runs simulations with random faults. inject configures each simulation before it starts.
func runSimulations(t *testing.T, inject func(*simulation)) {
	t.Helper()
	var acts atomic.Int64
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range uint64(*simulationCount) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			acts.Add(int64(runWithFaults(t, seed, inject)))
		})
	}
	wait.Wait()
	if acts.Load() < int64(500**simulationCount) {
		t.Errorf("only %d acts", acts.Load())
	}
	t.Logf("%d worlds, %d acts: never two that may act", *simulationCount, acts.Load())
}

// runWithFaults runs a simulation with faults and then without, when a leader must act again. It returns the number of
// acts during the faults.
func runWithFaults(t *testing.T, seed uint64, inject func(*simulation)) int {
	t.Helper()
	s := newSimulation(t, seed, 3+2*int(seed%2))
	inject(s)
	if violation := s.run(30e9); violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
		return 0
	}
	acts := s.acts
	clear(s.cut)
	s.diskFaults = false
	for _, m := range s.members {
		m.stalledUntil = 0
		m.downUntil = 0
	}
	s.runUntil(s.now + 8e9)
	if s.acts == acts || s.violation != "" {
		t.Errorf("seed %d: no leader acts after the faults have ended (%s)", seed, s.violation)
	}
	return acts
}

// Five members form a ring in which messages from each member to the next one are lost. The members must still elect
// one leader at a time, and leaders must not change often.
func TestARingOfCutLinksHasOneLeader(t *testing.T) {
	for seed := range uint64(8) {
		s := newSimulation(t, seed, 5)
		s.start()
		for i, id := range s.ids {
			s.cut[link{id, s.ids[(i+1)%5]}] = true
		}
		s.runUntil(60e9)
		terms, acts := len(s.leaders), s.acts
		if s.violation != "" || terms == 0 {
			t.Fatalf("seed %d: %d leaders, %s", seed, terms, s.violation)
		}
		s.runUntil(120e9)
		if s.violation != "" || s.acts-acts < 1000 || len(s.leaders)-terms > 6 {
			t.Errorf("seed %d: %d acts and %d more leaders in a minute, %s",
				seed, s.acts-acts, len(s.leaders)-terms, s.violation)
		}
	}
}

func TestInjectedDefectsAreFound(t *testing.T) {
	for name, inject := range map[string]func(*simulation){
		"no lease": func(s *simulation) { s.ignoreLease = true },
		"an ID that is used again after its store was lost": func(s *simulation) { s.reuseIDs = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				s := newSimulation(t, seed, 3)
				inject(s)
				if runOrPanic(s) != "" {
					return
				}
			}
			t.Error("the defect is not detected")
		})
	}
}

// runOrPanic returns the violation found, or the message of a panic: raft itself panics on some effects of a defect.
func runOrPanic(s *simulation) (violation string) {
	defer func() {
		if cause := recover(); cause != nil {
			violation = fmt.Sprint(cause)
		}
	}()
	return s.run(30e9)
}

func TestALeaderHandsOverInOrder(t *testing.T) {
	s := newSimulation(t, 1, 3)
	s.start()
	former := s.awaitLeader(10e9)
	out, isTransferring := former.TransferLeadership("")
	if !isTransferring || s.activeTerm(s.members[former.id]) != 0 {
		t.Fatal("the former leader may still act after the transfer has started")
	}
	s.carryOut(former.id, out)
	startedAt := s.now
	for s.now <= startedAt+10e9 {
		s.step()
		next := s.activeLeader()
		if next == nil || next.id == former.id {
			continue
		}
		if s.now-startedAt > 500e6 {
			t.Errorf("handed over after %d ms", (s.now-startedAt)/1e6)
		}
		return
	}
	t.Fatal("no other member takes over")
}

func TestCommandsAreFencedAndBounded(t *testing.T) {
	state := State{}
	for i, step := range []struct {
		command Command
		isStale bool
	}{
		{Command{Term: 1, Item: "x"}, true},
		{Command{Term: 3, Candidate: "a"}, false},
		{Command{Term: 3, Candidate: "b"}, true},
		{Command{Term: 2, Candidate: "b"}, true},
		{Command{Term: 3, Item: "x", Value: []byte("1")}, false},
		{Command{Term: 2, Item: "x"}, true},
		{Command{Term: 4, Candidate: "b"}, false},
		{Command{Term: 3, Item: "x"}, true},
	} {
		err := state.apply(step.command)
		var stale *StaleTermError
		if errors.As(err, &stale) != step.isStale || (err == nil) == step.isStale {
			t.Errorf("step %d: %v", i, err)
		}
	}
	tooLarge := Command{Term: 4, Item: "y", Value: make([]byte, maxItemBytes+1)}
	if err := state.apply(tooLarge); !errors.Is(err, ErrItemTooLarge) {
		t.Errorf("item that is too large: got error %v", err)
	}
	for i := range 2 * maxItems {
		var want error
		if len(state.Items) >= maxItems {
			want = ErrTooManyItems
		}
		command := Command{Term: 4, Item: fmt.Sprint(i), Value: []byte("1")}
		if err := state.apply(command); !errors.Is(err, want) {
			t.Errorf("item %d: got error %v, want %v", i, err, want)
		}
	}
	if len(state.Items) != maxItems || string(state.Items["x"]) != "1" || state.Leader != "b" {
		t.Errorf("%+v", state)
	}
}
