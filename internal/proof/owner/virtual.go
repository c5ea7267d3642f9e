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

// plainFor is how long the load without an owner is played.
const plainFor = 15 * time.Second

// problem is what the towns are planned from.
const problem = `{"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},{"name":"e2","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e3","kind":"std","zone":"east","cores":16,"memory_mb":32000}],"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1},{"name":"import","threads":1,"memory_mb":500,"work_ms":900,"value":10}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"},{"name":"west"}],"must":{},"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":1}]}`

// virtual plays the tests of the agreement at full size, beside the processes: 1,000 worlds, 200 owners lost in each way, an
// hour without trouble, and the walk of all that can come of two owners. Real voters run beside it.
func virtual(program string) error {
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- loaded(program, stop) }()
	err := played()
	close(stop)
	if e := <-ended; err == nil {
		err = e
	}
	return err
}

// loaded counts how often the owner of three voters changes while all cores are busy with the tests.
func loaded(program string, stop chan struct{}) error {
	town, err := testcluster.Config{Program: program, Seed: 50, Controllers: 3, Engines: 2, Voters: 3}.Start()
	if err != nil {
		return err
	}
	defer town.Close()
	p := &play{program: program, town: town}
	if err := p.cli("fleet", "found"); err != nil {
		return err
	}
	var first, last leader.Status
	m, err := p.owner("")
	if err != nil {
		return err
	}
	if err := town.GetJSON(m, "/v1/owner", &first); err != nil {
		return err
	}
	from := time.Now()
	<-stop
	span := time.Since(from)
	if err := town.GetJSON(m, "/v1/owner", &last); err != nil {
		return err
	}
	fmt.Printf("real processes beside that, all cores busy: the owner of 3 voters changed %d times in %.0f s\n", last.Term-first.Term, span.Seconds())
	return town.Stop()
}

// played plays them.
func played() error {
	var texts [2][]byte
	var errs [2]error
	var wait sync.WaitGroup
	for i, args := range [][]string{{"TestTimesWithoutAnOwner|TestOneOwnerAtATime", "./internal/leader", "-args", "-runs", "200", "-hours", "1", "-worlds", "1000"},
		{"TestAllThatCan|TestNeverMore", "./internal/assignment", "./internal/quota"}} {
		wait.Go(func() {
			texts[i], errs[i] = exec.Command("go", append([]string{"test", "-count=1", "-v", "-run"}, args...)...).CombinedOutput()
		})
	}
	wait.Wait()
	text, err := bytes.Join(texts[:], nil), errors.Join(errs[:]...)
	fmt.Println("in virtual time:")
	for line := range strings.Lines(string(text)) {
		if _, figures, is := strings.Cut(line, "_test.go:"); is {
			_, figures, _ = strings.Cut(figures, ": ")
			fmt.Print("  ", figures)
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %s", err, bytes.TrimSpace(text))
	}
	return nil
}
