package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// taughtJobs are counted after each switch.
const taughtJobs = 60

// taught changes the program under jobs that take fifty times what their estimates say, with and without what the older
// process has learned: who does not know it takes the first dispatches for lost and sends them again. It tells why the
// figures do not hold.
func taught(program string) string {
	var again [2]float64
	for i, env := range []string{"", "FAULT_UNTAUGHT=1"} {
		n, err := switched(program, env)
		if err != nil {
			return err.Error()
		}
		again[i] = n
	}
	fmt.Printf("jobs that take 50 times their estimate, of %d after a switch of the program, dispatched again: taught %.0f, not taught %.0f\n", taughtJobs, again[0], again[1])
	if again[0] >= again[1] {
		return "it makes no difference"
	}
	return ""
}

// switched is how many dispatches beyond their jobs' first the newer process made for its first jobs.
func switched(program, env string) (float64, error) {
	town, err := testcluster.Config{Program: program, Seed: 5, Controllers: 1, Engines: 2, ExtraEnv: []string{env}}.Start()
	if err != nil {
		return 0, err
	}
	defer town.Close()
	town.Faults.SetWorkDuration(200 * time.Millisecond)
	m := town.Members[0]
	load := town.StartLoad(5, 10, 20*time.Millisecond, false)
	if err := town.WaitUntil(20*time.Second, func() bool { return load.Done.Load() > 3*taughtJobs }); err != nil {
		return 0, err
	}
	s, err := town.Status(m)
	if err != nil {
		return 0, err
	}
	want := s.Spec
	want.Program.Path = filepath.Join(filepath.Dir(program), "later")
	if want.Program.Digest, err = change.OfFile(want.Program.Path); err != nil {
		return 0, err
	}
	fleet := coordinator.NewFleet([]operator.Member{{Name: m.Name, Listen: m.SupervisorAddress}}, 2*time.Second, 2*time.Second)
	fleet.Order(context.Background(), map[int]change.Order{0: {Format: change.Format, Fence: change.Fence{Number: 1, Term: 1, Turn: 1}, By: "x", Member: m.Name, Want: want}})
	var again, jobs uint64
	err = town.WaitUntil(20*time.Second, func() bool {
		now, err := town.Status(m)
		if err != nil || now.StartedUnixNS == s.StartedUnixNS {
			return false
		}
		again, jobs = 0, 0
		for _, w := range now.JobCounts {
			again, jobs = again+w.Retries, jobs+w.Jobs
		}
		return jobs >= taughtJobs
	})
	load.Stop()
	if err == nil {
		err = town.Stop()
	}
	for _, v := range rulecheck.Check(testcluster.Rules, town.Events.Entries()) {
		return 0, fmt.Errorf("%v", v)
	}
	return float64(again) * taughtJobs / float64(max(1, jobs)), err
}
