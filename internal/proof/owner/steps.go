package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"swiftreel/internal/leader"
	"swiftreel/internal/rollout"
)

// eachStep loses the owner once in each step of a change that the agreed record shows: by death, and by handing over, in turns.
func (p *play) eachStep() error {
	file := filepath.Join(p.town.Dir, "change.json")
	text := strings.Replace(fmt.Sprintf(`{"number":1,"kind":"settings","to":{"shape":{"budget_free":1}},%s}`, pace), `"bake_ms":300`, `"bake_ms":1500`, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if err := p.cli("rollout", "start", "--agreed", file); err != nil {
		return err
	}
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		m, err := p.owner("")
		if err != nil {
			return err
		}
		var r struct {
			State rollout.State `json:"state"`
		}
		if p.town.GetJSON(m, "/v1/owner/item?name=change.json", &r) != nil {
			continue
		}
		if r.State.Phase.Ends() {
			if r.State.Phase != rollout.Done || len(p.lost) < 5 {
				return fmt.Errorf("the change ends as %s (%s), owners lost in %v", r.State.Phase, r.State.Outcome, p.lost)
			}
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("does not end: %s (%s)", r.State.Phase, r.State.Why)
		}
		at := fmt.Sprint(r.State.Phase, " ", r.State.Stage+1)
		if slices.Contains(p.lost, at) {
			continue
		}
		p.lost = append(p.lost, at)
		if err := p.strikeBy([]string{"killed", "stepped down"}[len(p.lost)%2], m); err != nil {
			return fmt.Errorf("in %s: %w", at, err)
		}
	}
}

// oneByOne has every voter lose its memory, one after the other, under load; each is taken in under a new number.
func (p *play) oneByOne() error {
	for _, m := range p.town.Members[:voters] {
		var was, is leader.Status
		if err := p.town.GetJSON(m, "/v1/owner", &was); err != nil {
			return err
		}
		p.keptLogs = append(p.keptLogs, m.Supervisor.Log())
		m.Supervisor.Kill()
		if err := os.Remove(filepath.Join(p.town.Dir, m.Name, "owner.db")); err != nil {
			return err
		}
		if err := p.town.StartSupervisor(m); err != nil {
			return err
		}
		if err := p.town.WaitUntil(20*time.Second, func() bool { return p.town.GetJSON(m, "/v1/owner", &is) == nil }); err != nil {
			return err
		}
		if is.ID != 0 {
			return fmt.Errorf("%s came back as %d", m.Name, is.ID)
		}
		if err := p.cli("fleet", "join", m.Name); err != nil {
			return err
		}
		if err := p.town.GetJSON(m, "/v1/owner", &is); err != nil || is.ID == was.ID || is.ID == 0 || len(is.Voters) != voters {
			return fmt.Errorf("%s is %+v after %d: %v", m.Name, is, was.ID, err)
		}
	}
	_, err := p.owner("")
	return err
}
