package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"time"
)

const (
	voterCount          = 5
	listenerCount       = 5 // members without a vote
	clusterCount        = 4
	schedulesPerCluster = 5 // one after the other
	randomStream        = 9
)

// proveElection runs all clusters at the same time, and beside them the costs and shares.
func proveElection(program string) bool {
	startedAt := time.Now()
	fmt.Print(headerLine(runtime.NumCPU(), runtime.Version()))
	var proof electionProof
	var wait sync.WaitGroup
	wait.Go(func() {
		areCostsGood := proveCosts()
		areSharesGood := proveShares(program)
		if !areCostsGood || !areSharesGood {
			proof.markFailed()
		}
	})
	wait.Go(func() { proof.runBaseline(program) })
	for number := range clusterCount + 1 {
		wait.Go(func() { proof.runCluster(program, number) })
	}
	wait.Wait()
	proof.summary.print(os.Stdout)
	if !proof.summary.holds() {
		fmt.Println("FAILED: a point less done than without any owner, or no plan was taken")
		proof.markFailed()
	}
	fmt.Printf("\nin all %v\n", time.Since(startedAt).Round(100*time.Millisecond))
	return !proof.hasFailed
}

// electionProof collects what the clusters find. Its methods are safe for concurrent use.
type electionProof struct {
	mu        sync.Mutex
	hasFailed bool
	summary   summary
}

func (p *electionProof) markFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasFailed = true
}

func (p *electionProof) fail(cluster int, cause any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasFailed = true
	fmt.Printf("FAILED: town %d: %v\n", cluster, cause)
}

// runBaseline plays the same load on a fleet without a leader.
func (p *electionProof) runBaseline(program string) {
	run := &clusterRun{program: program, number: clusterCount + 1}
	if err := run.playBaseline(); err != nil {
		p.fail(clusterCount, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summary.baseline = run.jobs
}

// runCluster plays one cluster. The last one loses its leader in each step of a change, and then all its voters'
// stores.
func (p *electionProof) runCluster(program string, number int) {
	run := &clusterRun{
		program:   program,
		number:    number,
		eachStep:  number == clusterCount,
		random:    rand.New(rand.NewPCG(uint64(number), randomStream)),
		failovers: map[strike][]time.Duration{},
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
