package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/leader"
	"swiftreel/internal/quota"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// voterConfig describes a fleet of three voters and two other members, of both versions, with shares and plans assigned
// by the leader.
func voterConfig(base, current build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 63, Controllers: 5, Engines: 3, Voters: 3,
		SupervisorPrograms: map[int]string{1: current.program(), 4: current.program()},
		Files:              map[string]string{"problem.json": testcluster.PlanningProblem},
		FleetFields: `"parts":{"life_ms":3000},` +
			`"planning":{"problem":"problem.json","every_ms":5000,"least_ms":1000,"life_ms":10000},`}
}

func voterSteps(f *fleet) []step {
	base, current := f.base, f.current
	var shares *testcluster.ShareWatch
	bootstrap := func() (string, error) {
		shares = f.cluster.WatchShares(watchInterval)
		_, err := f.cluster.Command(base.program(), "fleet", "found")
		return "", err
	}
	return []step{
		{"the base founds a group of both versions", bootstrap},
		{"assignments are followed by all", f.awaitAssigned},
		{"settings: current leader, taken over by a base leader", withVersion(f.agreedChange, current)},
		{"settings: base leader, taken over by a current leader", withVersion(f.agreedChange, base)},
		{"program becomes current: base coordinator beside the leader", f.changeProgram(base, current)},
		{"assignments are followed by current processes", f.awaitAssigned},
		{"a base voter without memory joins under a current leader", withVersion(f.rejoin, current)},
		{"a current voter without memory joins under a base leader", withVersion(f.rejoin, base)},
		{"voters become current one by one, on folders of the base", withVersion(f.upgradeVoters, current)},
		{"settings: current leaders", withVersion(f.agreedChange, current)},
		{"program becomes base: current coordinator beside the leader", f.changeProgram(current, base)},
		{"voters become base one by one, on folders of the current", withVersion(f.upgradeVoters, base)},
		{"settings: base leaders", withVersion(f.agreedChange, base)},
		{"assignments are followed by base processes", f.awaitAssigned},
		{"never more than the whole is assigned", func() (string, error) {
			err := shares.Stop()
			percent := 100 * float64(shares.MaxShareSum) / float64(quota.FullShare)
			return fmt.Sprintf("at most %.1f%%, %d samples", percent, shares.Samples), err
		}},
	}
}

// awaitAssigned waits until every member follows a share and a plan of the same term.
func (f *fleet) awaitAssigned() (string, error) {
	term := int64(0)
	err := f.await("every member follows a share and a plan", nil, func() bool {
		term = 0
		for _, m := range f.cluster.Members {
			s, err := f.cluster.Status(m)
			if err != nil || !followsAssignment(s) || term != 0 && term != s.Assignment.Term {
				return false
			}
			term = s.Assignment.Term
		}
		return true
	})
	return fmt.Sprintf("term %d", term), err
}

// followsAssignment reports whether a member has a share and a plan and its controller uses that share. A difference of
// one millionth is allowed: the conversion between millionths and fractions rounds.
func followsAssignment(s supervisor.Status) bool {
	share := s.Assignment.Shares[quota.FleetThreads]
	off := s.SharePerMillion - share
	return s.Assignment.Term != 0 && s.Assignment.Plan != "" && share != 0 && off >= -1 && off <= 1
}

// voterStatus returns the status of a voter, or a zero status if it does not answer.
func (f *fleet) voterStatus(m *testcluster.Member) (v leader.Status) {
	if err := f.cluster.GetJSON(m, "/v1/owner", &v); err != nil {
		return leader.Status{}
	}
	return v
}

// leadershipTries limits the transfers of leadership until a voter of the wanted version leads.
const leadershipTries = 10

// moveLeadership transfers leadership until a voter of the wanted version leads, and returns that voter.
func (f *fleet) moveLeadership(wanted build) (*testcluster.Member, error) {
	for range leadershipTries {
		leader, err := f.cluster.Leader(f.cluster.Voters())
		if err != nil || f.versions[leader.Name] == wanted {
			return leader, err
		}
		if err := f.stepDown(leader, wanted); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("no %s voter leads after %d attempts", wanted.version, leadershipTries)
}

// stepDown has the leader step down while voters of other versions are stopped, so that they are not elected.
func (f *fleet) stepDown(leader *testcluster.Member, wanted build) error {
	for _, m := range f.cluster.Voters() {
		if m != leader && f.versions[m.Name] != wanted {
			m.Supervisor.Signal(syscall.SIGSTOP)
			defer m.Supervisor.Signal(syscall.SIGCONT)
		}
	}
	err := f.cluster.StepDown(leader)
	if errors.Is(err, testcluster.ErrRefused) { // its term has just begun, or it is no longer the leader
		time.Sleep(100 * time.Millisecond) // pause before the next attempt
		return nil
	}
	if err != nil {
		return err
	}
	return f.await("leadership is handed on", nil, func() bool {
		for _, m := range f.cluster.Voters() {
			if m != leader && f.versions[m.Name] == wanted && f.voterStatus(m).Active {
				return true
			}
		}
		return f.voterStatus(leader).Active // no other voter took over
	})
}

// agreedRecord returns the replicated record of the change, or a zero record if no leader returns it.
func (f *fleet) agreedRecord() (r coordinator.Record) {
	leader, err := f.cluster.Leader(f.cluster.Voters())
	if err != nil || f.cluster.GetJSON(leader, "/v1/owner/item?name=change.json", &r) != nil {
		return coordinator.Record{}
	}
	return r
}

// agreedChange starts a settings change under a leader of one version, with a command of the other version. If there is
// a voter of the other version, that one takes over leadership in the first stage.
func (f *fleet) agreedChange(first build) (string, error) {
	if _, err := f.moveLeadership(first); err != nil {
		return "", err
	}
	file, err := f.writeChange(change.KindSettings, f.nextSettings(), longBake)
	if err != nil {
		return "", err
	}
	if _, err := f.cluster.Command(f.other(first).program(), "rollout", "start", "--agreed", file); err != nil {
		return "", err
	}
	r := coordinator.Record{}
	if err := f.await("the first stage", nil, func() bool {
		r = f.agreedRecord()
		return r.Change.Number == f.number && r.State.Phase == rollout.PhaseBaking
	}); err != nil {
		return "", err
	}
	next := first
	for _, m := range f.cluster.Voters() {
		if f.versions[m.Name] != first {
			next = f.other(first)
		}
	}
	if _, err := f.moveLeadership(next); err != nil {
		return "", err
	}
	if err := f.await("the end of the change", nil, func() bool {
		r = f.agreedRecord()
		return r.Change.Number == f.number && r.State.Phase.IsTerminal()
	}); err != nil {
		return "", fmt.Errorf("%w: %s: %s", err, r.State.Phase, r.State.Reason)
	}
	return f.checkDone(r)
}

// agreedCopy returns a voter's copy of the replicated record, or nil if it cannot be read.
func (f *fleet) agreedCopy(m *testcluster.Member) (text json.RawMessage) {
	if err := f.cluster.GetJSON(m, "/v1/owner/item?name=change.json", &text); err != nil {
		return nil
	}
	return text
}

// awaitInGroup waits until a voter is in the group with an acceptable ID and has the replicated record.
func (f *fleet) awaitInGroup(m *testcluster.Member, record json.RawMessage, numberFits func(uint64) bool) error {
	var v leader.Status
	err := f.await(m.Name+" is in the group with the agreed record", nil, func() bool {
		v = f.voterStatus(m)
		complete := v.RaftLeader != "" && len(v.Voters) == len(f.cluster.Voters())
		return numberFits(v.ID) && complete && bytes.Equal(f.agreedCopy(m), record)
	})
	if err != nil {
		return fmt.Errorf("%w: %+v", err, v)
	}
	return nil
}

// upgradeVoters restarts the members one by one as another version. Voters must keep their ID, must not go back to an
// earlier term and must have the replicated record.
func (f *fleet) upgradeVoters(to build) (string, error) {
	start := time.Now()
	for i, m := range f.cluster.Members {
		if i >= len(f.cluster.Voters()) {
			if err := f.upgrade(m, to); err != nil {
				return "", err
			}
			continue
		}
		before, record := f.voterStatus(m), f.agreedCopy(m)
		if before.ID == 0 || record == nil {
			return "", fmt.Errorf("%s is in no group or has no record: %+v", m.Name, before)
		}
		if err := f.upgrade(m, to); err != nil {
			return "", err
		}
		if err := f.awaitInGroup(m, record, func(number uint64) bool { return number == before.ID }); err != nil {
			return "", err
		}
		if after := f.voterStatus(m); after.Term < before.Term {
			return "", fmt.Errorf("%s is at term %d after its restart, %d before", m.Name, after.Term, before.Term)
		}
	}
	return fmt.Sprintf("%d members in %v", len(f.cluster.Members), time.Since(start).Round(100*time.Millisecond)), nil
}

// rejoin deletes the store of a voter of one version and has it join the group again under a leader of the other
// version, which sends it a snapshot.
func (f *fleet) rejoin(leaderVersion build) (string, error) {
	leader, err := f.moveLeadership(leaderVersion)
	if err != nil {
		return "", err
	}
	joining := f.other(leaderVersion)
	for _, m := range f.cluster.Voters() {
		if f.versions[m.Name] != joining {
			continue
		}
		before, record := f.voterStatus(m).ID, f.agreedCopy(leader)
		removeState := func() error { return os.Remove(filepath.Join(f.cluster.Dir, m.Name, "owner.db")) }
		if err := f.restart(m, joining, removeState); err != nil {
			return "", err
		}
		if number := f.voterStatus(m).ID; number != 0 {
			return "", fmt.Errorf("%s restarted without its store, but with ID %d", m.Name, number)
		}
		if _, err := f.cluster.Command(joining.program(), "fleet", "join", m.Name); err != nil {
			return "", err
		}
		err := f.awaitInGroup(m, record, func(number uint64) bool { return number != 0 && number != before })
		return m.Name, err
	}
	return "", errNoMember
}
