package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"swiftreel/internal/leader"
	"swiftreel/internal/rollout"
	"swiftreel/internal/testcluster"
)

const (
	defaultBakeMS     = 300
	longBakeMS        = 1500 // leaves time to lose the leader while a stage bakes
	minLostSteps      = 5
	eachStepTimeout   = 60 * time.Second
	stepCheckInterval = 5 * time.Millisecond
	restartTimeout    = 20 * time.Second
)

// loseLeaderInEachStep loses the leader once in each step of a change that the replicated record shows. It alternates
// between a leader that steps down and one that is killed.
func (r *clusterRun) loseLeaderInEachStep() error {
	if err := r.startChange(1, longBakeMS); err != nil {
		return err
	}
	for end := time.Now().Add(eachStepTimeout); ; time.Sleep(stepCheckInterval) {
		member, err := r.awaitLeader("")
		if err != nil {
			return err
		}
		record, err := r.readChange(member)
		if err != nil {
			continue
		}
		state := record.State
		if state.Phase.IsTerminal() {
			return r.checkEnd(state)
		}
		if time.Now().After(end) {
			return fmt.Errorf("change does not end: %s (%s)", state.Phase, state.Reason)
		}
		if err := r.loseLeaderOnce(state, member); err != nil {
			return err
		}
	}
}

func (r *clusterRun) checkEnd(state rollout.State) error {
	if state.Phase != rollout.PhaseDone || len(r.lostSteps) < minLostSteps {
		return fmt.Errorf("change ended as %s (%s), leaders lost in %v", state.Phase, state.Outcome, r.lostSteps)
	}
	return nil
}

// loseLeaderOnce loses the leader unless one was already lost in this step.
func (r *clusterRun) loseLeaderOnce(state rollout.State, member *testcluster.Member) error {
	step := fmt.Sprint(state.Phase, " ", state.Stage+1)
	if slices.Contains(r.lostSteps, step) {
		return nil
	}
	r.lostSteps = append(r.lostSteps, step)
	kind := killed
	if len(r.lostSteps)%2 == 1 {
		kind = steppedDown
	}
	if err := r.loseLeader(kind, member); err != nil {
		return fmt.Errorf("in %s: %w", step, err)
	}
	return nil
}

// replaceVoters deletes the store of each voter, one after the other, under load. Each joins again with a new ID.
func (r *clusterRun) replaceVoters() error {
	for _, member := range r.cluster.Members[:voterCount] {
		if err := r.replaceVoter(member); err != nil {
			return err
		}
	}
	_, err := r.awaitLeader("")
	return err
}

func (r *clusterRun) replaceVoter(member *testcluster.Member) error {
	var before leader.Status
	if err := r.cluster.GetJSON(member, "/v1/owner", &before); err != nil {
		return err
	}
	r.killedLogs = append(r.killedLogs, member.Supervisor.Log())
	member.Supervisor.Kill()
	if err := os.Remove(filepath.Join(r.cluster.Dir, member.Name, "owner.db")); err != nil {
		return err
	}
	if err := r.cluster.StartSupervisor(member); err != nil {
		return err
	}
	var restarted leader.Status
	isUp := func() bool { return r.cluster.GetJSON(member, "/v1/owner", &restarted) == nil }
	if err := r.cluster.WaitUntil(restartTimeout, isUp); err != nil {
		return err
	}
	if restarted.ID != 0 {
		return fmt.Errorf("%s restarted without its store, but with ID %d", member.Name, restarted.ID)
	}
	if err := r.command("fleet", "replace-voter", member.Name); err != nil {
		return err
	}
	return r.checkJoined(member, before.ID)
}

func (r *clusterRun) checkJoined(member *testcluster.Member, formerID uint64) error {
	var status leader.Status
	err := r.cluster.GetJSON(member, "/v1/owner", &status)
	isNew := status.ID != 0 && status.ID != formerID
	if err != nil || !isNew || len(status.Voters) != voterCount {
		return errors.Join(fmt.Errorf("%s has status %+v, want a new ID instead of %d", member.Name, status, formerID), err)
	}
	return nil
}
