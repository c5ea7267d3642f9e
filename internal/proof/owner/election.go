package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"time"

	"swiftreel/internal/proof"
)

const (
	voterCount        = 5
	listenerCount     = 5 // members without a vote
	clusterCount      = 4
	changesPerCluster = 5 // rolled out one after the other
	randomStream      = 9
)

// proveElection runs all clusters at the same time, together with the proofs of costs and shares.
func proveElection(report *proof.Report, program string) {
	fmt.Print(headerLine(runtime.NumCPU(), runtime.Version()))
	election := electionProof{report: report}
	var wait sync.WaitGroup
	wait.Go(func() {
		proveCosts(report)
		proveShares(report, program)
	})
	wait.Go(func() { election.runBaseline(program) })
	for number := range clusterCount + 1 {
		wait.Go(func() { election.runCluster(program, number) })
	}
	wait.Wait()
	election.summary.print(os.Stdout)
	if !election.summary.holds() {
		report.Failf("a point less done than without any owner, or no plan was taken")
	}
	report.PrintTotal()
}

// electionProof collects the results of the clusters. Its methods are safe for concurrent use.
type electionProof struct {
	report *proof.Report

	mu      sync.Mutex // guards summary
	summary summary
}

func (p *electionProof) fail(cluster int, cause any) {
	p.report.Failf("town %d: %v", cluster, cause)
}

// runBaseline runs the same load on a fleet without a leader.
func (p *electionProof) runBaseline(program string) {
	run := &clusterRun{program: program, number: clusterCount + 1}
	if err := run.playBaseline(); err != nil {
		p.fail(clusterCount, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summary.baseline = run.jobs
}

// runCluster runs one cluster. The last one loses its leader in each step of a change, and then the store of every
// voter.
func (p *electionProof) runCluster(program string, number int) {
	run := &clusterRun{
		program:   program,
		number:    number,
		eachStep:  number == clusterCount,
		random:    rand.New(rand.NewPCG(uint64(number), randomStream)),
		failovers: map[leaderLoss][]time.Duration{},
	}
	if err := run.play(); err != nil {
		p.fail(number, err)
	}
	for _, violation := range run.violations {
		p.fail(number, violation)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summary.add(run)
}
