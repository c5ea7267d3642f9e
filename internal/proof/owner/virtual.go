package main

import (
	"bytes"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/leader"
	"swiftreel/internal/testcluster"
)

// testRuns holds the arguments of go test for the tests in virtual time at full size: 1,000 simulated networks, 200
// leaders lost in each way, an hour without faults, and the exhaustive exploration of two leaders.
var testRuns = [][]string{
	{"TestTimesWithoutALeader|TestOneLeaderAtATime", "./internal/leader",
		"-args", "-runs", "200", "-hours", "1", "-worlds", "1000"},
	{"TestAllThatCanHappen|TestNeverMore", "./internal/assignment", "./internal/quota"},
}

// runVirtualTime runs the tests in virtual time at full size, and real voters at the same time.
func runVirtualTime(program string) error {
	stop := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- countTermsUnderLoad(program, stop) }()
	err := runTests()
	close(stop)
	return errors.Join(err, <-ended)
}

// countTermsUnderLoad counts the leader changes among three voters while the tests keep all cores busy.
func countTermsUnderLoad(program string, stop <-chan struct{}) error {
	cluster, err := testcluster.Config{Program: program, Seed: 50, Controllers: 3, Engines: 2, Voters: 3}.Start()
	if err != nil {
		return err
	}
	defer cluster.Close()
	run := &clusterRun{program: program, cluster: cluster}
	if err := run.command("fleet", "bootstrap"); err != nil {
		return err
	}
	member, err := run.awaitLeader("")
	if err != nil {
		return err
	}
	var first, last leader.Status
	if err := cluster.GetJSON(member, "/v1/owner", &first); err != nil {
		return err
	}
	startedAt := time.Now()
	<-stop
	duration := time.Since(startedAt)
	if err := cluster.GetJSON(member, "/v1/owner", &last); err != nil {
		return err
	}
	fmt.Printf("real processes beside that, all cores busy: the owner of 3 voters changed %d times in %.0f s\n",
		last.Term-first.Term, duration.Seconds())
	return cluster.Stop()
}

// runTests runs the tests in virtual time and prints the figures that they log.
func runTests() error {
	texts := make([][]byte, len(testRuns))
	errs := make([]error, len(testRuns))
	var wait sync.WaitGroup
	for i, run := range testRuns {
		arguments := append([]string{"test", "-count=1", "-v", "-run"}, run...)
		wait.Go(func() { texts[i], errs[i] = exec.Command("go", arguments...).CombinedOutput() })
	}
	wait.Wait()
	text := bytes.Join(texts, nil)
	fmt.Println("in virtual time:")
	for line := range strings.Lines(string(text)) {
		if _, logged, isLog := strings.Cut(line, "_test.go:"); isLog {
			_, figures, _ := strings.Cut(logged, ": ")
			fmt.Print("  ", figures)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w: %s", err, bytes.TrimSpace(text))
	}
	if bytes.Contains(text, []byte("no tests to run")) {
		return fmt.Errorf("a test name pattern matches no test: %s", bytes.TrimSpace(text))
	}
	return nil
}
