package main

import (
	"fmt"
	"math"
	"sync"
	"time"

	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// shares has a front send unevenly to four controllers, with parts told and with parts guessed, and tells how far what each
// goes by is from what it is asked for.
func shares(program string) bool {
	var wait sync.WaitGroup
	var errs [2]error
	var off, done [2]float64
	for i := range 2 {
		wait.Go(func() { off[i], done[i], errs[i] = uneven(program, i == 0) })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			fmt.Println("FAILED: shares:", err)
			return false
		}
	}
	fmt.Printf("an uneven front (2 : 1 : 1 : 1/3), 4 controllers: what each goes by is off from its part of the jobs by %.1f points in the mean where told, %.1f where guessed; done %.2f%% and %.2f%%\n",
		100*off[0], 100*off[1], 100*done[0], 100*done[1])
	if off[0] >= off[1] || done[0] < done[1]-0.01 {
		fmt.Println("FAILED: parts that are told are no better than guessed ones")
		return false
	}
	return true
}

func uneven(program string, told bool) (off, done float64, err error) {
	plan := testcluster.Config{Program: program, Seed: 40, Controllers: 4, Engines: 2, Voters: 3}
	if told {
		plan.FleetFields = `"parts":{"life_ms":3000},`
	}
	town, err := plan.Start()
	if err != nil {
		return 0, 0, err
	}
	defer town.Close()
	town.Faults.SetWorkDuration(60 * time.Millisecond)
	load := town.StartLoad(40, 9, 20*time.Millisecond, true)
	p := &play{program: program, town: town}
	if told {
		if err := p.cli("fleet", "found"); err != nil {
			return 0, 0, err
		}
	}
	n := 0
	var last []float64
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		carries, jobs, sum := make([]float64, len(town.Members)), make([]float64, len(town.Members)), 0.0
		for i, m := range town.Members {
			s, err := town.Status(m)
			if err != nil {
				return 0, 0, err
			}
			carries[i] = float64(s.Carries) / 1e6
			for _, w := range s.Work {
				jobs[i] += float64(w.Jobs)
			}
			sum += jobs[i]
		}
		if time.Until(end) > 3*time.Second || sum == 0 { // it has settled by then
			continue
		}
		last = jobs
		for i := range carries {
			off += math.Abs(carries[i] - jobs[i]/sum)
			n++
		}
	}
	load.Stop()
	if last == nil {
		return 0, 0, fmt.Errorf("no jobs")
	}
	all := load.Done.Load() + load.Throttled.Load() + load.Cancelled.Load()
	if err := town.Stop(); err != nil {
		return 0, 0, err
	}
	for _, v := range rulecheck.Check(testcluster.Rules, town.Events.Entries()) {
		return 0, 0, fmt.Errorf("%v", v)
	}
	return off / float64(n), float64(load.Done.Load()) / float64(max(1, all)), nil
}
