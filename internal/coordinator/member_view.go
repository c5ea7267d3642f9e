package coordinator

import (
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
)

// memberView is what is remembered of a controller from poll to poll. Times are in nanoseconds of the coordinator's own
// clock, from 1.
type memberView struct {
	status      supervisor.Status
	repliedAt   int64 // of the last reply; 0: none yet
	targetSince int64 // when it was first seen on the new version; 0: it is not
}

// unreachable returns the member as it was last seen.
func (v *memberView) unreachable(name string, timing change.Timing, now int64) rollout.Member {
	sinceReply := now - v.repliedAt
	reachable := v.repliedAt != 0 && sinceReply < timing.UnreachableAfterMS*int64(time.Millisecond)
	return rollout.Member{
		Name:      name,
		Reachable: reachable,
		Serving:   v.status.Serves,
		Running:   v.status.Running,
		Fence:     v.status.Fence,
		Failure:   v.status.Failed,
	}
}

// update takes a reply in. It returns the member, and its counts since the reply before.
func (v *memberView) update(name string, status supervisor.Status, target change.Digest, timing change.Timing,
	now int64) (rollout.Member, canary.Seen) {
	counts := v.countsSince(status)
	switch {
	case status.Running != target:
		v.targetSince = 0
	case v.targetSince == 0:
		v.targetSince = max(1, now)
	}
	counts.New = v.targetSince != 0 && now-v.targetSince >= timing.SettleMS*int64(time.Millisecond)
	v.status = status
	v.repliedAt = max(1, now)
	return rollout.Member{
		Name:      name,
		Reachable: true,
		Serving:   status.Serves,
		Running:   status.Running,
		Fence:     status.Fence,
		Failure:   status.Failed,
	}, counts
}

// countsSince returns the counts between the reply before and this one. A controller that has started in between counts
// from zero.
func (v *memberView) countsSince(status supervisor.Status) canary.Seen {
	counts := canary.Seen{
		Member:   status.Name,
		MemoryMB: status.MemoryMB,
		Aside:    status.Aside,
		Work:     map[canary.Group]canary.Work{},
	}
	if v.repliedAt == 0 {
		return counts
	}
	previous := v.status
	counts.Crashes = increase(status.Crashes, previous.Crashes) // counted by the supervisor, over starts
	if previous.Started != status.Started {
		previous = supervisor.Status{}
	}
	counts.Probes = increase(status.Probes, previous.Probes)
	counts.CPU = max(0, status.CPU-previous.CPU)
	for group, work := range status.Work {
		if since := work.Less(previous.Work[group]); since.Jobs > 0 {
			counts.Work[group] = since
		}
	}
	return counts
}

// increase returns by how much a counter grew, or 0 where it was reset.
func increase(now, before uint64) uint64 { return now - min(now, before) }
