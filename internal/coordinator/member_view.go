package coordinator

import (
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
)

// memberView is the last known state of a controller. Times are in nanoseconds of the coordinator's own clock, starting
// at 1.
type memberView struct {
	status      supervisor.Status
	repliedAt   int64 // of the last reply; 0: none yet
	targetSince int64 // when the controller was first seen on the new version; 0: it runs another one
}

// unreachable returns a member that did not reply to the poll, in its last known state. It counts as reachable until
// UnreachableAfterMS after its last reply.
func (v *memberView) unreachable(name string, timing change.Timing, now int64) rollout.Member {
	sinceReply := now - v.repliedAt
	reachable := v.repliedAt != 0 && sinceReply < timing.UnreachableAfterMS*int64(time.Millisecond)
	return rollout.Member{
		Name:      name,
		Reachable: reachable,
		Serving:   v.status.Serving,
		Running:   v.status.RunningSpec,
		Fence:     v.status.Fence,
		Failure:   v.status.Failure,
	}
}

// update stores a reply. It returns the member and its counts since the previous reply.
func (v *memberView) update(name string, status supervisor.Status, target change.Digest, timing change.Timing,
	now int64) (rollout.Member, canary.Sample) {
	counts := v.countsSince(status)
	switch {
	case status.RunningSpec != target:
		v.targetSince = 0
	case v.targetSince == 0:
		v.targetSince = max(1, now)
	}
	counts.IsNew = v.targetSince != 0 && now-v.targetSince >= timing.SettleMS*int64(time.Millisecond)
	v.status = status
	v.repliedAt = max(1, now)
	return rollout.Member{
		Name:      name,
		Reachable: true,
		Serving:   status.Serving,
		Running:   status.RunningSpec,
		Fence:     status.Fence,
		Failure:   status.Failure,
	}, counts
}

// countsSince returns the counts between the previous reply and this one. The counters of a controller that was
// restarted in between started from zero.
func (v *memberView) countsSince(status supervisor.Status) canary.Sample {
	counts := canary.Sample{
		Member:         status.Name,
		MemoryMB:       status.MemoryMB,
		EjectedEngines: status.EjectedEngines,
		Counts:         map[canary.Group]canary.JobCounts{},
	}
	if v.repliedAt == 0 {
		return counts
	}
	previous := v.status
	counts.Crashes = increase(status.Crashes, previous.Crashes) // by the supervisor, across restarts
	if previous.StartedUnixNS != status.StartedUnixNS {
		previous = supervisor.Status{}
	}
	counts.Probes = increase(status.Probes, previous.Probes)
	counts.CPUNS = max(0, status.CPUNS-previous.CPUNS)
	for group, work := range status.JobCounts {
		if since := work.Minus(previous.JobCounts[group]); since.Jobs > 0 {
			counts.Counts[group] = since
		}
	}
	return counts
}

// increase returns by how much a counter grew, or 0 if it was reset.
func increase(now, before uint64) uint64 { return now - min(now, before) }
