package choice

import (
	"fmt"
	"testing"
)

// An assigned quota applies until it expires. Without one a controller uses its own estimate.

func TestAssignedQuotaReplacesEstimateUntilExpiry(t *testing.T) {
	const start = Nanos(1e15)
	newController := func() *Controller {
		c := &Controller{}
		settings := ParseSettings(RawSettings{"balancers": 4.0,
			"tenants":    []any{map[string]any{"quota_per_s": 100.0}},
			"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 1e9, "gain": 1.0}},
			"telemetry":  map[string]any{"fields": []any{"concurrent"}},
			"invariants": map[string]any{}, "domain": map[string]any{"cpu_of_kind": []any{16.0}}})
		c.Decide(start, Event{Kind: Started, Seed: 1, Settings: settings})
		c.Decide(start, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: 1, State: Ready}}})
		return c
	}
	sweep := func(c *Controller, at Nanos) float64 {
		c.Decide(at, Event{Kind: TimerFired, TimerID: c.timerID})
		return c.fleet.share
	}
	admittedJobs := func(c *Controller) (n int) {
		for c.takeTenantToken(0) {
			n++
		}
		return n
	}
	c, unassigned := newController(), newController()
	if sweep(c, start+1e9) != 0.25 || admittedJobs(c) != int(2*100*0.25+tenantBurstJobs) {
		t.Errorf("share %v without an assigned quota", c.fleet.share)
	}
	c.Decide(start+1e9, Event{Kind: QuotaAssigned, Quota: Quota{FleetShare: 0.1,
		TenantShares: map[TenantID]float64{0: 0.6}, ExpiresAt: start + 5e9}})
	if got := sweep(c, start+2e9); got != 0.1 {
		t.Errorf("share %v", got)
	}
	if delete(c.tenants, 0); admittedJobs(c) != int(2*100*0.6+tenantBurstJobs) {
		t.Error("the assigned share of the tenant's quota is not applied")
	}
	if got := sweep(c, start+5e9); got != sweep(unassigned, start+5e9) {
		t.Errorf("share %v after the quota expired", got)
	}
	for at := start + 6e9; at < start+60e9; at += 20e6 {
		sweep(c, at)
		sweep(unassigned, at)
	}
	if d := c.fleet.share - unassigned.fleet.share; d > 1e-6 || d < -1e-6 {
		t.Errorf("share %v long after the quota expired, %v without one", c.fleet.share, unassigned.fleet.share)
	}
	if delete(c.tenants, 0); admittedJobs(c) != int(2*100*0.25+tenantBurstJobs) {
		t.Error("the assigned share of the tenant's quota does not expire")
	}
	if fmt.Sprint(c.EngineViews(start+60e9)) != fmt.Sprint(unassigned.EngineViews(start+60e9)) {
		t.Error("engine views differ from those without a quota")
	}
}
