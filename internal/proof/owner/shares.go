package main

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"swiftreel/internal/proof"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

const (
	unevenDuration      = 10 * time.Second
	unevenMeasuredFor   = 3 * time.Second // before the end; by then shares have settled
	unevenCheckInterval = 200 * time.Millisecond
	unevenJobInterval   = 20 * time.Millisecond
	unevenServiceTime   = 60 * time.Millisecond
	unevenSeed          = 40
	unevenClients       = 9
	fullShareMillionths = 1e6
)

// unevenResult describes how well the controllers' shares match the jobs that they receive.
type unevenResult struct {
	meanError float64 // difference between a controller's share and its fraction of the jobs
	doneShare float64
}

// proveShares sends an uneven load to four controllers, once with shares assigned by a leader and once with shares that
// the controllers estimate, and compares how far each controller's share is from its fraction of the jobs.
func proveShares(report *proof.Report, program string) {
	var assigned, estimated unevenResult
	var assignedErr, estimatedErr error
	var wait sync.WaitGroup
	wait.Go(func() { assigned, assignedErr = runUneven(program, true) })
	wait.Go(func() { estimated, estimatedErr = runUneven(program, false) })
	wait.Wait()
	for _, err := range []error{assignedErr, estimatedErr} {
		if err != nil {
			report.Failf("shares: %v", err)
			return
		}
	}
	fmt.Print(sharesLine(assigned, estimated))
	if assigned.meanError >= estimated.meanError || assigned.doneShare < estimated.doneShare-maxLostShare {
		report.Failf("parts that are told are no better than guessed ones")
	}
}

func sharesLine(assigned, estimated unevenResult) string {
	return fmt.Sprintf("an uneven front (2 : 1 : 1 : 1/3), 4 controllers: "+
		"what each goes by is off from its part of the jobs by %.1f points in the mean where told, "+
		"%.1f where guessed; done %.2f%% and %.2f%%\n",
		100*assigned.meanError, 100*estimated.meanError, 100*assigned.doneShare, 100*estimated.doneShare)
}

// runUneven runs one cluster, with or without assigned shares.
func runUneven(program string, areAssigned bool) (unevenResult, error) {
	config := testcluster.Config{Program: program, Seed: unevenSeed, Controllers: 4, Engines: 2, Voters: 3}
	if areAssigned {
		config.FleetFields = `"parts":{"life_ms":3000},`
	}
	cluster, err := config.Start()
	if err != nil {
		return unevenResult{}, err
	}
	defer cluster.Close()
	cluster.Faults.SetWorkDuration(unevenServiceTime)
	load := cluster.StartLoad(unevenSeed, unevenClients, unevenJobInterval, true)
	if areAssigned {
		run := &clusterRun{program: program, cluster: cluster}
		if err := run.command("fleet", "bootstrap"); err != nil {
			return unevenResult{}, err
		}
	}
	meanError, err := measureShares(cluster)
	if err != nil {
		return unevenResult{}, err
	}
	load.Stop()
	all := load.Done.Load() + load.Throttled.Load() + load.Cancelled.Load()
	if err := cluster.Stop(); err != nil {
		return unevenResult{}, err
	}
	for _, violation := range rulecheck.Check(testcluster.Rules, cluster.Events.Entries()) {
		return unevenResult{}, fmt.Errorf("%v", violation)
	}
	return unevenResult{meanError: meanError, doneShare: float64(load.Done.Load()) / float64(max(1, all))}, nil
}

// measureShares returns the mean difference between shares and fractions of the jobs, once shares have settled.
func measureShares(cluster *testcluster.Cluster) (float64, error) {
	total, count := 0.0, 0
	for end := time.Now().Add(unevenDuration); time.Now().Before(end); time.Sleep(unevenCheckInterval) {
		differences, err := shareDifferences(cluster)
		if err != nil {
			return 0, err
		}
		if time.Until(end) > unevenMeasuredFor {
			continue
		}
		for _, difference := range differences {
			total += difference
			count++
		}
	}
	if count == 0 {
		return 0, errors.New("no jobs")
	}
	return total / float64(count), nil
}

// shareDifferences returns, for each controller, the difference between its share and its fraction of the jobs so far.
// It returns nil before the first job.
func shareDifferences(cluster *testcluster.Cluster) ([]float64, error) {
	shares := make([]float64, len(cluster.Members))
	jobs := make([]float64, len(cluster.Members))
	all := 0.0
	for i, member := range cluster.Members {
		status, err := cluster.Status(member)
		if err != nil {
			return nil, err
		}
		shares[i] = float64(status.SharePerMillion) / fullShareMillionths
		for _, work := range status.JobCounts {
			jobs[i] += float64(work.Jobs)
		}
		all += jobs[i]
	}
	if all == 0 {
		return nil, nil
	}
	differences := make([]float64, len(shares))
	for i, share := range shares {
		differences[i] = math.Abs(share - jobs[i]/all)
	}
	return differences, nil
}
