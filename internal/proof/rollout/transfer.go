package main

import (
	"fmt"
	"path/filepath"
	"time"

	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

const (
	transferSeed    = 5
	transferEngines = 2
	transferClients = 10
	transferPause   = 20 * time.Millisecond
	// transferJobTime is fifty times the jobs' estimates.
	transferJobTime = 200 * time.Millisecond
	// countedJobs is the number of jobs counted after each switch, warmUpJobs the number before it.
	countedJobs = 60
	warmUpJobs  = 3 * countedJobs
	// noTransferVariable makes a steered build start without its predecessor's state.
	noTransferVariable = "FAULT_UNTAUGHT=1"
)

// checkTransfer changes the program under jobs that take fifty times their estimates, with and without a state transfer
// from the old process. Without it, the new process considers the first attempts lost and retries them. It returns the
// reason for a failed check, or "".
func checkTransfer(program string) string {
	with, err := retriesAfterSwitch(program, "")
	if err != nil {
		return err.Error()
	}
	without, err := retriesAfterSwitch(program, noTransferVariable)
	if err != nil {
		return err.Error()
	}
	fmt.Printf("jobs that take 50 times their estimate, of %d after a switch of the program, dispatched again: "+
		"taught %.0f, not taught %.0f\n", countedJobs, with, without)
	if with >= without {
		return "it makes no difference"
	}
	return ""
}

// retriesAfterSwitch returns how many retries the new process made per countedJobs jobs.
func retriesAfterSwitch(program, environment string) (float64, error) {
	cluster, err := testcluster.Config{
		Program:     program,
		Seed:        transferSeed,
		Controllers: 1,
		Engines:     transferEngines,
		ExtraEnv:    []string{environment},
	}.Start()
	if err != nil {
		return 0, err
	}
	defer cluster.Close()
	m := cluster.Members[0]
	load := cluster.StartLoad(transferSeed, transferClients, transferPause, false)
	cluster.Faults.SetWorkDuration(transferJobTime) // after StartLoad, so that the jobs still give the short estimate
	isWarm := func() bool { return load.Done.Load() > warmUpJobs }
	if err := cluster.WaitUntil(awaitTimeout, isWarm); err != nil {
		return 0, err
	}
	before, err := cluster.Status(m)
	if err != nil {
		return 0, err
	}
	if err := cluster.OrderProgram(m, orderFence(1), filepath.Join(filepath.Dir(program), "later")); err != nil {
		return 0, err
	}
	after, err := awaitFirstJobs(cluster, before.StartedUnixNS)
	load.Stop()
	if err == nil {
		err = cluster.Stop()
	}
	for _, v := range rulecheck.Check(testcluster.Rules, cluster.Events.Entries()) {
		return 0, fmt.Errorf("%v", v)
	}
	if err != nil {
		return 0, err
	}
	return float64(totalRetries(after)) * countedJobs / float64(max(1, totalJobs(after))), nil
}

// awaitFirstJobs waits until a new process of the controller has answered its first jobs, and returns its status.
func awaitFirstJobs(cluster *testcluster.Cluster, startedBefore int64) (supervisor.Status, error) {
	var after supervisor.Status
	err := cluster.WaitUntil(awaitTimeout, func() bool {
		status, err := cluster.Status(cluster.Members[0])
		if err != nil || status.StartedUnixNS == startedBefore {
			return false
		}
		after = status
		return totalJobs(status) >= countedJobs
	})
	return after, err
}

func totalJobs(status supervisor.Status) uint64 {
	sum := uint64(0)
	for _, counts := range status.JobCounts {
		sum += counts.Jobs
	}
	return sum
}

func totalRetries(status supervisor.Status) uint64 {
	sum := uint64(0)
	for _, counts := range status.JobCounts {
		sum += counts.Retries
	}
	return sum
}
