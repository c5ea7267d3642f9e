package main

import (
	"fmt"
	"syscall"
	"time"

	"swiftreel/internal/testcluster"
)

// strike is a way to lose the leader.
type strike string

const (
	killed      strike = "killed"
	stopped     strike = "stopped"
	cutOff      strike = "cut off" // it receives nothing; what it sends arrives
	steppedDown strike = "stepped down"
)

// strikes are all of them, in the order of the table.
var strikes = []strike{killed, stopped, cutOff, steppedDown}

// strikeRandomly loses the leader in a way that the seed says, and waits for another one.
func (r *clusterRun) strikeRandomly() error {
	member, err := r.awaitLeader("")
	if err != nil {
		return err
	}
	return r.strike(strikes[r.random.IntN(len(strikes))], member)
}

// strike loses the leader in a given way, waits for another one, and repairs what it did.
func (r *clusterRun) strike(kind strike, member *testcluster.Member) error {
	startedAt := time.Now()
	if err := r.inflict(kind, member); err != nil {
		return err
	}
	if _, err := r.awaitLeader(member.Name); err != nil {
		return fmt.Errorf("nobody owns after %s was %s: %w", member.Name, kind, err)
	}
	r.failovers[kind] = append(r.failovers[kind], time.Since(startedAt))
	return r.repair(kind, member)
}

func (r *clusterRun) inflict(kind strike, member *testcluster.Member) error {
	switch kind {
	case killed:
		r.killedLogs = append(r.killedLogs, member.Supervisor.Log())
		member.Supervisor.Kill()
	case stopped:
		member.Supervisor.Signal(syscall.SIGSTOP)
		r.stopped = append(r.stopped, member)
	case cutOff:
		member.Link.SetMode(testcluster.LinkSilent, 0)
	case steppedDown:
		return r.command("fleet", "step-down")
	}
	return nil
}

func (r *clusterRun) repair(kind strike, member *testcluster.Member) error {
	switch kind {
	case killed:
		return r.cluster.StartSupervisor(member)
	case stopped:
		member.Supervisor.Signal(syscall.SIGCONT)
		r.stopped = nil
	case cutOff:
		member.Link.SetMode(testcluster.LinkUp, 0)
	case steppedDown:
	}
	return nil
}
