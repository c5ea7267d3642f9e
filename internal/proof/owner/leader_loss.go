package main

import (
	"fmt"
	"syscall"
	"time"

	"swiftreel/internal/testcluster"
)

// leaderLoss is a way to lose the leader.
type leaderLoss string

const (
	killed      leaderLoss = "killed"
	stopped     leaderLoss = "stopped"
	cutOff      leaderLoss = "cut off" // its link drops what it should receive; what it sends arrives
	steppedDown leaderLoss = "stepped down"
)

// leaderLosses lists all ways to lose the leader, in the order of the printed table.
var leaderLosses = []leaderLoss{killed, stopped, cutOff, steppedDown}

// loseRandomly loses the leader in a way drawn from the seed and waits for another leader.
func (r *clusterRun) loseRandomly() error {
	member, err := r.awaitLeader("")
	if err != nil {
		return err
	}
	return r.loseLeader(leaderLosses[r.random.IntN(len(leaderLosses))], member)
}

// loseLeader loses the leader in the given way, waits for another leader and then restores the lost member.
func (r *clusterRun) loseLeader(kind leaderLoss, member *testcluster.Member) error {
	startedAt := time.Now()
	if err := r.injectLoss(kind, member); err != nil {
		return err
	}
	if _, err := r.awaitLeader(member.Name); err != nil {
		return fmt.Errorf("no new leader after %s was %s: %w", member.Name, kind, err)
	}
	r.failovers[kind] = append(r.failovers[kind], time.Since(startedAt))
	return r.undoLoss(kind, member)
}

func (r *clusterRun) injectLoss(kind leaderLoss, member *testcluster.Member) error {
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

func (r *clusterRun) undoLoss(kind leaderLoss, member *testcluster.Member) error {
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
