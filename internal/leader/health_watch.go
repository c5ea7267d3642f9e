package leader

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
)

// healthInterval is the pause between two polls of the voters' health.
const healthInterval = 500 * time.Millisecond

// healthWatch polls the voters' supervisors and records when each one last replied.
type healthWatch struct {
	fleet     *coordinator.FleetClient
	repliedAt []time.Time // by voter index
	latest    []Health
}

// watchHealth transfers the leadership when this member is unfit and another voter is fit, until ctx ends. It polls
// only the voters; the number of reachable members comes from the duties that poll all members.
func (d *Duties) watchHealth(ctx context.Context, term Term) {
	watch := d.newHealthWatch()
	for ctx.Err() == nil {
		watch.poll(ctx)
		own, others := watch.split(d.node.name)
		own.Reachable = true
		own.StalledTicks = d.node.StalledTicks()
		own.ReachableMembers, own.Members = d.reachableMembers()
		handover := d.fitness.Evaluate(d.node.now(), own, others)
		if handover.Successor != "" && d.node.ActiveTerm() == term {
			slog.Warn("leader_handover", "term", term, "to", handover.Successor, "reason", handover.Reason)
			d.node.TransferLeadership(handover.Successor)
		}
		pause(ctx, healthInterval)
	}
}

func (d *Duties) newHealthWatch() *healthWatch {
	var voters []operator.Member
	for _, member := range d.fleet.Members {
		if slices.Contains(d.fleet.Voters, member.Name) {
			voters = append(voters, member)
		}
	}
	return &healthWatch{
		fleet:     coordinator.NewFleetClient(voters, requestTimeout, healthInterval),
		repliedAt: make([]time.Time, len(voters)),
		latest:    make([]Health, len(voters)),
	}
}

// poll polls all voters once. A voter that does not reply counts as reachable until requestTimeout after its last
// reply.
func (w *healthWatch) poll(ctx context.Context) {
	now := time.Now()
	for i, answer := range w.fleet.Poll(ctx) {
		if answer.Err == nil {
			w.repliedAt[i] = now
			w.latest[i] = Health{Serving: answer.Status.Serving, ReadyEngines: answer.Status.ReadyEngineCount}
		}
		w.latest[i].Name = w.fleet.Members[i].Name
		w.latest[i].Reachable = !w.repliedAt[i].IsZero() && now.Sub(w.repliedAt[i]) < requestTimeout
	}
}

// split returns the health of the voter with the given name, and that of all other voters.
func (w *healthWatch) split(name string) (own Health, others []Health) {
	for _, health := range w.latest {
		if health.Name == name {
			own = health
		} else {
			others = append(others, health)
		}
	}
	return own, others
}

// reachableMembers returns how many of the members replied to the latest poll, as the lowest count of all duties that
// poll them. Both results are 0 if no duty has polled yet.
func (d *Duties) reachableMembers() (reachable, members int) {
	for _, poll := range d.activePolls() {
		n, of := poll.ReplyCounts()
		if of > 0 && (members == 0 || n < reachable) {
			reachable = n
			members = of
		}
	}
	return reachable, members
}
