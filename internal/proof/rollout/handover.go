package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// switches is how often a controller's program is changed in each way.
const switches = 3

// handover changes the program of the one controller of a town under load: by a process beside the old one, and, as the
// plain way, by SIGTERM and a new start. It tells whether the figures hold.
func handover(base, next string) bool {
	town, err := testcluster.Config{Program: base, Seed: 77, Controllers: 1, Engines: 2}.Start()
	if err != nil {
		fmt.Println("FAILED: hand-over:", err)
		return false
	}
	defer town.Close()
	m := town.Members[0]
	load := town.StartLoad(77, 30, 140*time.Millisecond, false)
	fleet := coordinator.NewFleet([]operator.Member{{Name: m.Name, Listen: m.SupervisorAddress}}, 2*time.Second, 2*time.Second)
	steady := func() { time.Sleep(1500 * time.Millisecond) } // the load beside the switches, not a proof
	steady()
	marks := []time.Time{time.Now()}
	ok := true
	settled := func(is func(s int, drains int) bool) {
		if err := town.WaitUntil(20*time.Second, func() bool {
			s, err := town.Status(m)
			return err == nil && s.Serving && is(s.PID, len(s.DrainingPIDs))
		}); err != nil {
			fmt.Println("FAILED: hand-over:", err, m.Supervisor.Log())
			ok = false
		}
	}
	for i := range switches {
		s, err := town.Status(m)
		if err != nil {
			fmt.Println("FAILED: hand-over:", err)
			return false
		}
		want := s.Spec
		want.Program.Path = []string{next, base}[i%2]
		want.Program.Digest, _ = change.OfFile(want.Program.Path)
		fleet.Order(context.Background(), map[int]change.Order{0: {Format: change.Format, Fence: change.Fence{Number: 1, Term: 1, Turn: int64(i) + 1}, By: "x", Member: m.Name, Want: want}})
		settled(func(pid, drains int) bool { return pid != s.PID && drains == 0 })
		steady()
	}
	cut := load.Broken.Load()
	marks = append(marks, time.Now())
	for range switches {
		s, err := town.Status(m)
		if err != nil || s.PID == 0 {
			fmt.Println("FAILED: hand-over:", err)
			return false
		}
		syscall.Kill(s.PID, syscall.SIGTERM)
		settled(func(pid, _ int) bool { return pid != s.PID })
		steady()
	}
	marks = append(marks, time.Now())
	load.Stop()
	all := load.Broken.Load()
	if err := town.Stop(); err != nil {
		fmt.Println("FAILED: hand-over:", err)
		ok = false
	}
	log := town.Events.Entries()
	for _, v := range rulecheck.Check(testcluster.Rules, log) {
		fmt.Println("FAILED: hand-over:", v)
		ok = false
	}
	fmt.Printf("hand-over of the program, one controller, %d switches each way:\n", switches)
	for i, name := range []string{"beside the old one", "SIGTERM and a new start"} {
		f := figures(log, marks[i], marks[i+1])
		fmt.Printf("  %-24s %4.0f jobs/s, done %.2f%%, p50 %.1f ms, p99 %.1f ms, longest time without an answer %4.0f ms, cut off %d; with an ordered key p99 %.0f ms\n",
			name, f.rate, 100*f.done, f.p50, f.p99, f.gap, []int64{cut, all - cut}[i], f.keyed)
		if i == 0 && (f.gap > 500 || f.done < 0.99) {
			fmt.Println("FAILED: a gap of over 500 ms, or under 99% done")
			ok = false
		}
	}
	return ok
}

type spanFigures struct{ rate, done, p50, p99, gap, keyed float64 }

// figures are those of jobs that were answered in a span. Ones with an ordered key stand apart: under a newer process they
// wait until the older one has ended.
func figures(log []rulecheck.Entry, from, to time.Time) (f spanFigures) {
	taken := map[string]rulecheck.Entry{}
	last, done := from.UnixNano(), 0
	var took, keyed []float64
	for _, e := range log {
		switch e.Event {
		case rulecheck.Accepted:
			taken[e.Job] = e
		case rulecheck.Answered:
			if e.TimeNS < from.UnixNano() || e.TimeNS >= to.UnixNano() {
				continue
			}
			if ms := float64(e.TimeNS-taken[e.Job].TimeNS) / 1e6; taken[e.Job].Key != "" {
				keyed = append(keyed, ms)
			} else {
				took = append(took, ms)
			}
			f.gap, last = max(f.gap, float64(e.TimeNS-last)/1e6), e.TimeNS
			if e.Answer == rulecheck.Done {
				done++
			}
		}
	}
	if len(took) == 0 || len(keyed) == 0 {
		return f
	}
	slices.Sort(took)
	slices.Sort(keyed)
	all := float64(len(took) + len(keyed))
	f.rate, f.done, f.keyed = all/to.Sub(from).Seconds(), float64(done)/all, keyed[len(keyed)*99/100]
	f.p50, f.p99 = took[len(took)/2], took[len(took)*99/100]
	return f
}
