package quota

import (
	"fmt"
	"testing"

	"swiftreel/internal/canary"
)

func fixedLatency([]uint64) float64 { return 2 }

// jobsOfA is the number of jobs that member a does per second.
const jobsOfA = 80

// observe records a second in which members a and b do jobs, b also for a tenant of its own, and c does none.
func observe(d *Demand, now int64, jobsOfB uint64, isBReachable bool) {
	acme, bee := canary.Group{Type: "lookup", Tenant: "acme"}, canary.Group{Type: "lookup", Tenant: "bee"}
	work := func(jobs uint64) canary.JobCounts { return canary.JobCounts{Jobs: jobs, Done: jobs} }
	d.Observe(now, []Observation{
		{Member: "a", Reachable: true, Interval: 1e9, Work: map[canary.Group]canary.JobCounts{acme: work(jobsOfA)}},
		{Member: "b", Reachable: isBReachable, Interval: 1e9,
			Work: map[canary.Group]canary.JobCounts{acme: work(jobsOfB), bee: work(jobsOfB)}},
		{Member: "c", Reachable: true, Interval: 1e9},
	}, fixedLatency)
}

func TestTargetsFollowTheDemand(t *testing.T) {
	d := NewDemand()
	for now := int64(1e9); now <= 60e9; now += 1e9 {
		observe(d, now, 10, true)
	}
	targets := d.Targets(60e9)
	sum := targets["a"][FleetThreads] + targets["b"][FleetThreads] + targets["c"][FleetThreads]
	if sum > FullShare || sum < FullShare-3 {
		t.Errorf("the fleet shares sum to %d", sum)
	}
	if targets["a"][FleetThreads] < 600_000 || targets["c"][FleetThreads] < 50_000 {
		t.Errorf("%v", targets)
	}
	if targets["b"][TenantQuota("bee")] < 800_000 || targets["a"][TenantQuota("acme")] < 700_000 {
		t.Errorf("%v", targets)
	}
	for now := int64(61e9); now < 64e9; now += 1e9 {
		observe(d, now, 12, true)
		if got := d.Targets(now); fmt.Sprint(got) != fmt.Sprint(targets) {
			t.Errorf("after a small change, at %d: %v", now, got)
		}
	}
	for now := int64(64e9); now < 90e9; now += 1e9 {
		observe(d, now, 0, false)
	}
	if got := d.Targets(90e9); got["b"] == nil || got["b"][FleetThreads] > FullShare/3+1 {
		t.Errorf("with an unreachable member: %v", got)
	}
	observe(d, 63e9+unseenTimeout, 0, false)
	if got := d.Targets(63e9 + unseenTimeout); got["b"] != nil || got["a"][FleetThreads] < 700_000 {
		t.Errorf("with a member that has been unreachable for a long time: %v", got)
	}
	d.Observe(200e9, []Observation{{Member: "a", Reachable: true}}, fixedLatency)
	if len(d.members) != 1 {
		t.Errorf("%d members are tracked", len(d.members))
	}
}

func TestTargetsAreEvenWithoutDemand(t *testing.T) {
	d := NewDemand()
	d.Observe(1, []Observation{{Member: "a", Reachable: true}, {Member: "b", Reachable: true}}, fixedLatency)
	if got := d.Targets(1); got["a"][FleetThreads] != FullShare/2 || got["b"][FleetThreads] != FullShare/2 {
		t.Errorf("%v", got)
	}
}
