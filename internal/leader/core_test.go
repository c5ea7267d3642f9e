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

var worlds = flag.Int("worlds", 120, "simulations with faults that are run")

func TestOneLeaderAtATime(t *testing.T) {
	runWorlds(t, func(*simulation) {})
}

// Writes fail now and then, before or after they have reached the disk, and the member goes on from what is stored.
func TestOneLeaderAtATimeWhereWritesFail(t *testing.T) {
	runWorlds(t, func(s *simulation) { s.diskFaults = true })
}

// runWorlds runs simulations with faults, and those that are injected.
func runWorlds(t *testing.T, inject func(*simulation)) {
	t.Helper()
	var acts atomic.Int64
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range uint64(*worlds) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			acts.Add(int64(runWithFaults(t, seed, inject)))
		})
	}
	wait.Wait()
	if acts.Load() < int64(500**worlds) {
		t.Errorf("only %d acts", acts.Load())
	}
	t.Logf("%d worlds, %d acts: never two that may act", *worlds, acts.Load())
}

// runWithFaults runs a simulation with faults, and then without: a leader must act again. It returns how often one
// acted during the faults.
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
		t.Errorf("seed %d: nobody leads after all faults are over (%s)", seed, s.violation)
	}
	return acts
}

// Each of five members does not hear the next one, and everyone hears someone. There is a leader, one at a time, and
// it stays.
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
			t.Error("not found")
		})
	}
}

// runOrPanic returns the violation found: raft itself panics on some of what a defective member breaks.
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
		t.Fatal("it acts on after it handed over")
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
	t.Fatal("nobody takes over")
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
		t.Errorf("an item that is too large: %v", err)
	}
	for i := range 2 * maxItems {
		var want error
		if len(state.Items) >= maxItems {
			want = ErrTooManyItems
		}
		command := Command{Term: 4, Item: fmt.Sprint(i), Value: []byte("1")}
		if err := state.apply(command); !errors.Is(err, want) {
			t.Errorf("item %d: %v, wanted %v", i, err, want)
		}
	}
	if len(state.Items) != maxItems || string(state.Items["x"]) != "1" || state.Leader != "b" {
		t.Errorf("%+v", state)
	}
}
