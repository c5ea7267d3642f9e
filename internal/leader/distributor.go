package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/planner"
	"swiftreel/internal/quota"
	"swiftreel/internal/supervisor"
)

// Names of the distributor's replicated items.
const (
	quotaItem = "parts.json"
	planItem  = "plan.json"
)

const (
	// assignmentInterval is the time between two rounds. Each round renews the shares and plans of all members.
	assignmentInterval = time.Second
	// minAssignmentFormat is the first format whose supervisors accept assignments. Older ones run without a leader.
	minAssignmentFormat = 2
	// medianPercent is the latency percentile used as the time for which a job occupies its threads.
	medianPercent = 50
	nsPerMS       = int64(time.Millisecond)
)

// distributor distributes quota shares and plans under one term. It polls the members, commits the decisions of
// packages quota and planner, and only then sends them as assignments. It is used by one goroutine.
type distributor struct {
	duties    *Duties
	store     termStore
	fleet     *coordinator.FleetClient
	startedAt time.Time
	latest    []memberObservation // by member index
	demand    *quota.Demand
	ledger    *quota.Ledger // nil if no shares are assigned
	planning  *planning     // nil if the fleet is not planned
}

// memberObservation is the latest status of a member.
type memberObservation struct {
	status     supervisor.Status
	observedAt int64 // 0 if never
}

// newDistributor creates a distributor that resumes from the replicated items.
func newDistributor(duties *Duties, store termStore) (*distributor, error) {
	members := duties.fleet.Members
	d := &distributor{
		duties:    duties,
		store:     store,
		fleet:     coordinator.NewFleetClient(members, requestTimeout, assignmentInterval/2),
		startedAt: time.Now(),
		latest:    make([]memberObservation, len(members)),
		demand:    quota.NewDemand(),
	}
	if settings := duties.fleet.Shares; settings != nil {
		var record quota.Record
		if err := store.readJSON(quotaItem, &record); err != nil {
			return nil, err
		}
		d.ledger = quota.NewLedger(record, settings.LeaseMS*nsPerMS, d.now())
	}
	if settings := duties.fleet.Planning; settings != nil {
		d.fleet.IncludeEngines = true
		var err error
		if d.planning, err = newPlanning(store, settings, duties.problem, d.now()); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// readJSON decodes a replicated item. If the item does not exist, into is not modified.
func (s termStore) readJSON(name string, into any) error {
	text, isPresent := s.Read(name)
	if !isPresent {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("replicated item %s: %w", name, err)
	}
	return nil
}

// writeJSON encodes and replicates an item.
func (s termStore) writeJSON(name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.Write(name, text)
}

// now returns the nanoseconds since the distributor started; it is always positive.
func (d *distributor) now() int64 { return int64(time.Since(d.startedAt)) + 1 }

// run performs a round in every assignmentInterval until ctx ends.
func (d *distributor) run(ctx context.Context) {
	unregister := d.duties.registerPoll(d.fleet)
	defer unregister()
	ticker := time.NewTicker(assignmentInterval)
	defer ticker.Stop()
	for {
		if err := d.distribute(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("leader_distribution_failed", "term", d.store.term, "reason", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// distribute performs one round: it polls all members and sends assignments based on their replies.
func (d *distributor) distribute(ctx context.Context) error {
	answers := d.fleet.Poll(ctx)
	now := d.now() // read after the poll: not before the members read the clocks in their replies
	if !d.store.IsLeader() {
		return nil
	}
	load := d.observe(answers, now)
	targets := d.demand.Targets(now)
	if err := d.commitQuota(targets, now); err != nil {
		return err
	}
	if d.planning != nil {
		if err := d.planning.update(ctx, now, load); err != nil {
			return err
		}
	}
	if !d.store.IsLeader() {
		return nil
	}
	assignments := d.assignments(answers, targets, now)
	d.logRejections(d.fleet.SendAssignments(ctx, assignments))
	if d.ledger != nil {
		d.ledger.DropExpired(now)
	}
	return nil
}

// observe processes the members' replies and returns the load of the fleet.
func (d *distributor) observe(answers []coordinator.StatusReply, now int64) planner.Observation {
	var load planner.Observation
	var observations []quota.Observation
	for i, answer := range answers {
		name := d.fleet.Members[i].Name
		if answer.Err != nil {
			observations = append(observations, quota.Observation{Member: name})
			continue
		}
		status := answer.Status
		observations = append(observations, d.latest[i].workSince(name, status, now))
		if d.ledger != nil && status.Assignment.Term == int64(d.store.term) {
			d.ledger.Confirm(name, status.AppliedAssignment)
		}
		if len(status.ReadyEngines) > 0 {
			load.Engines = append(load.Engines, status.ReadyEngines)
		}
		d.latest[i] = memberObservation{status: status, observedAt: now}
	}
	d.demand.Observe(now, observations, medianLatency)
	load.Rates = d.ratesByZone()
	return load
}

// workSince returns the work that a member did since it was last observed. The interval is 0 if the member was not
// observed before or its controller has restarted since.
func (m memberObservation) workSince(name string, status supervisor.Status, now int64) quota.Observation {
	observation := quota.Observation{Member: name, Reachable: true}
	if m.observedAt == 0 || m.status.StartedUnixNS != status.StartedUnixNS {
		return observation
	}
	observation.Interval = now - m.observedAt
	observation.Work = map[canary.Group]canary.JobCounts{}
	for group, work := range status.JobCounts {
		observation.Work[group] = work.Minus(m.status.JobCounts[group])
	}
	return observation
}

func medianLatency(counts []uint64) float64 { return float64(jobstats.Quantile(counts, medianPercent)) }

// ratesByZone sums the job rates of the members by zone.
func (d *distributor) ratesByZone() map[string]map[canary.Group]float64 {
	zones := map[string]map[canary.Group]float64{}
	for name, rates := range d.demand.Rates() {
		member, _ := d.duties.fleet.Member(name)
		if zones[member.Zone] == nil {
			zones[member.Zone] = map[canary.Group]float64{}
		}
		for group, rate := range rates {
			zones[member.Zone][group] += rate
		}
	}
	return zones
}

// commitQuota commits the next record of the ledger if it is due.
func (d *distributor) commitQuota(targets map[string]quota.Shares, now int64) error {
	if d.ledger == nil {
		return nil
	}
	record, isChanged := d.ledger.NextRecord(targets, now)
	if !isChanged {
		return nil
	}
	if err := d.store.writeJSON(quotaItem, record); err != nil {
		d.ledger.MarkUncertain()
		return err
	}
	d.ledger.Commit(record)
	return nil
}

// assignments returns the assignments for all members that replied, by member index.
func (d *distributor) assignments(
	answers []coordinator.StatusReply, targets map[string]quota.Shares, now int64,
) map[int]assignment.Assignment {
	assignments := map[int]assignment.Assignment{}
	for i, member := range d.fleet.Members {
		status := d.latest[i].status
		if answers[i].Err != nil || status.Format < minAssignmentFormat {
			continue
		}
		assignments[i] = d.assignmentFor(member.Name, status, targets[member.Name], now)
	}
	return assignments
}

// assignmentFor returns a member's assignment. Its expiries are times of the member's clock.
func (d *distributor) assignmentFor(
	name string, status supervisor.Status, target quota.Shares, now int64,
) assignment.Assignment {
	d.duties.sequence++
	next := assignment.Assignment{
		Format:      change.Format,
		Term:        int64(d.store.term),
		Sequence:    d.duties.sequence,
		Leader:      d.store.LeaderName(),
		Member:      name,
		Incarnation: status.Incarnation,
	}
	if d.ledger != nil {
		next.Shares = d.ledger.Grant(name, target, now, next.Sequence)
		if len(next.Shares) > 0 {
			next.SharesUntil = status.MonotonicNS + d.duties.fleet.Shares.LeaseMS*nsPerMS
		}
	}
	if d.planning != nil && d.planning.current.Digest != "" {
		next.Plan = d.planning.current.Digest
		next.PlanUntil = status.MonotonicNS + d.duties.fleet.Planning.LeaseMS*nsPerMS
		if status.Assignment.Plan != next.Plan {
			next.PlanText = d.planning.text
		}
	}
	return next
}

// logRejections logs assignments that were rejected or could not be delivered. A rejection equal to the last one that
// was logged is skipped.
func (d *distributor) logRejections(rejections map[int]error) {
	for i, err := range rejections {
		name := d.fleet.Members[i].Name
		text := name + ": " + err.Error()
		if text == d.duties.lastRejection {
			continue
		}
		d.duties.lastRejection = text
		slog.Warn("leader_assignment_rejected", "term", d.store.term, "member", name, "reason", err)
	}
}
