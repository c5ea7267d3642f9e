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

// voterPlan is three voters and two more members, of both versions, with shares and plans that the leader assigns.
func voterPlan(base, current build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 63, Controllers: 5, Engines: 3, Voters: 3,
		SupervisorPrograms: map[int]string{1: current.program(), 4: current.program()},
		Files:              map[string]string{"problem.json": testcluster.PlanningProblem},
		FleetFields: `"parts":{"life_ms":3000},` +
			`"planning":{"problem":"problem.json","every_ms":5000,"least_ms":1000,"life_ms":10000},`}
}

func voterSteps(f *fleet) []step {
	base, current := f.base, f.current
	var shares *testcluster.ShareWatch
	found := func() (string, error) {
		shares = f.cluster.WatchShares(watchInterval)
		_, err := f.cluster.Command(base.program(), "fleet", "found")
		return "", err
	}
	return []step{
		{"the base founds a group of both versions", found},
		{"assignments are followed by all", f.assigned},
		{"settings: current leader, taken over by a base leader", with(f.agreedChange, current)},
		{"settings: base leader, taken over by a current leader", with(f.agreedChange, base)},
		{"program becomes current: base coordinator beside the leader", f.programBy(base, current)},
		{"assignments are followed by current processes", f.assigned},
		{"a base voter without memory joins under a current leader", with(f.rejoin, current)},
		{"a current voter without memory joins under a base leader", with(f.rejoin, base)},
		{"voters become current one by one, on folders of the base", with(f.upgradeVoters, current)},
		{"settings: current leaders", with(f.agreedChange, current)},
		{"program becomes base: current coordinator beside the leader", f.programBy(current, base)},
		{"voters become base one by one, on folders of the current", with(f.upgradeVoters, base)},
		{"settings: base leaders", with(f.agreedChange, base)},
		{"assignments are followed by base processes", f.assigned},
		{"never more than the whole is assigned", func() (string, error) {
			err := shares.Stop()
			percent := 100 * float64(shares.MaxAssigned) / float64(quota.FullShare)
			return fmt.Sprintf("at most %.1f%%, %d samples", percent, shares.Samples), err
		}},
	}
}

// assigned waits until every member goes by a share and a plan of one leader's term.
func (f *fleet) assigned() (string, error) {
	term := int64(0)
	err := f.await("every member goes by a share and a plan", nil, func() bool {
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

// followsAssignment reports whether a member has a share and a plan, and its controller goes by the share, to the
// digit that is lost between parts of a million and fractions.
func followsAssignment(s supervisor.Status) bool {
	share := s.Assignment.Shares[quota.Fleet]
	off := s.SharePerMillion - share
	return s.Assignment.Term != 0 && s.Assignment.Plan != "" && share != 0 && off >= -1 && off <= 1
}

// view is the status of a voter; a zero status where it does not answer.
func (f *fleet) view(m *testcluster.Member) (v leader.Status) {
	if err := f.cluster.GetJSON(m, "/v1/owner", &v); err != nil {
		return leader.Status{}
	}
	return v
}

// leadershipTries bounds how often leadership is handed on until it is where it should be.
const leadershipTries = 10

// lead hands leadership on until a voter of a version has it.
func (f *fleet) lead(wanted build) (*testcluster.Member, error) {
	for range leadershipTries {
		leader, err := f.cluster.Leader(f.cluster.Voters())
		if err != nil || f.versions[leader.Name] == wanted {
			return leader, err
		}
		if err := f.handOver(leader, wanted); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("no %s voter leads after %d attempts", wanted.version, leadershipTries)
}

// handOver has a leader step down while those that should not follow it are stopped.
func (f *fleet) handOver(leader *testcluster.Member, wanted build) error {
	for _, m := range f.cluster.Voters() {
		if m != leader && f.versions[m.Name] != wanted {
			m.Supervisor.Signal(syscall.SIGSTOP)
			defer m.Supervisor.Signal(syscall.SIGCONT)
		}
	}
	err := f.cluster.StepDown(leader)
	if errors.Is(err, testcluster.ErrRefused) { // it has just begun, or leads no more
		time.Sleep(100 * time.Millisecond) // before the next attempt, not a proof
		return nil
	}
	if err != nil {
		return err
	}
	return f.await("leadership is handed on", nil, func() bool {
		for _, m := range f.cluster.Voters() {
			if m != leader && f.versions[m.Name] == wanted && f.view(m).Active {
				return true
			}
		}
		return f.view(leader).Active // nobody took over
	})
}

// agreedRecord is the change as the group has agreed on it; a zero record where no leader returns it.
func (f *fleet) agreedRecord() (r coordinator.Record) {
	leader, err := f.cluster.Leader(f.cluster.Voters())
	if err != nil || f.cluster.GetJSON(leader, "/v1/owner/item?name=change.json", &r) != nil {
		return coordinator.Record{}
	}
	return r
}

// agreedChange begins a change of settings under a leader of one version, by a command of the other, and has the
// other version, where there is a voter of that, take it over in the first stage.
func (f *fleet) agreedChange(first build) (string, error) {
	if _, err := f.lead(first); err != nil {
		return "", err
	}
	file, err := f.writeChange(change.KindSettings, f.settings(), longBake)
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
	if _, err := f.lead(next); err != nil {
		return "", err
	}
	if err := f.await("the end of the change", nil, func() bool {
		r = f.agreedRecord()
		return r.Change.Number == f.number && r.State.Phase.IsTerminal()
	}); err != nil {
		return "", fmt.Errorf("%w: %s: %s", err, r.State.Phase, r.State.Reason)
	}
	return f.reached(r)
}

// item is a voter's copy of the agreed record.
func (f *fleet) item(m *testcluster.Member) (text json.RawMessage) {
	if err := f.cluster.GetJSON(m, "/v1/owner/item?name=change.json", &text); err != nil {
		return nil
	}
	return text
}

// inGroup waits until a voter is a member under a number that it may have, and has the agreed record.
func (f *fleet) inGroup(m *testcluster.Member, record json.RawMessage, numberFits func(uint64) bool) error {
	var v leader.Status
	err := f.await(m.Name+" is in the group with the agreed record", nil, func() bool {
		v = f.view(m)
		complete := v.RaftLeader != "" && len(v.Voters) == len(f.cluster.Voters())
		return numberFits(v.ID) && complete && bytes.Equal(f.item(m), record)
	})
	if err != nil {
		return fmt.Errorf("%w: %+v", err, v)
	}
	return nil
}

// upgradeVoters restarts the members one by one as another version. Voters keep their number, their term and what was
// agreed.
func (f *fleet) upgradeVoters(to build) (string, error) {
	start := time.Now()
	for i, m := range f.cluster.Members {
		if i >= len(f.cluster.Voters()) {
			if err := f.upgrade(m, to); err != nil {
				return "", err
			}
			continue
		}
		before, record := f.view(m), f.item(m)
		if before.ID == 0 || record == nil {
			return "", fmt.Errorf("%s is of no group or has no record: %+v", m.Name, before)
		}
		if err := f.upgrade(m, to); err != nil {
			return "", err
		}
		if err := f.inGroup(m, record, func(number uint64) bool { return number == before.ID }); err != nil {
			return "", err
		}
		if after := f.view(m); after.Term < before.Term {
			return "", fmt.Errorf("%s knows term %d, before its restart it was %d", m.Name, after.Term, before.Term)
		}
	}
	return fmt.Sprintf("%d members in %v", len(f.cluster.Members), time.Since(start).Round(100*time.Millisecond)), nil
}

// rejoin has a voter of one version lose its memory and join a group that the other one leads, which sends it a
// snapshot.
func (f *fleet) rejoin(leaderVersion build) (string, error) {
	leader, err := f.lead(leaderVersion)
	if err != nil {
		return "", err
	}
	joining := f.other(leaderVersion)
	for _, m := range f.cluster.Voters() {
		if f.versions[m.Name] != joining {
			continue
		}
		before, record := f.view(m).ID, f.item(leader)
		removeState := func() error { return os.Remove(filepath.Join(f.cluster.Dir, m.Name, "owner.db")) }
		if err := f.restart(m, joining, removeState); err != nil {
			return "", err
		}
		if number := f.view(m).ID; number != 0 {
			return "", fmt.Errorf("%s came back as number %d", m.Name, number)
		}
		if _, err := f.cluster.Command(joining.program(), "fleet", "join", m.Name); err != nil {
			return "", err
		}
		err := f.inGroup(m, record, func(number uint64) bool { return number != 0 && number != before })
		return m.Name, err
	}
	return "", errNoMember
}
