package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/invariant"
)

// auditAdmitted records an admitted job in the audit ledger.
func (g *Gateway) auditAdmitted(j *job, arrival choice.Event) {
	jobType, _ := g.settings.typeOf(arrival.Type)
	admitted := audit.Job{ID: j.id, Deadline: j.ArrivedAt.Add(j.Timeout), RunOnce: jobType.runOnce,
		ReceivedAfter: j.ReceivedAfter, ReceivedBefore: j.ReceivedBefore}
	if jobType.ordered {
		admitted.Key = arrival.Key
	}
	g.audit.Admitted(admitted, time.Now())
}

// auditBounds returns the limits that the audit ledger checks.
func (s settings) auditBounds() audit.Bounds {
	return audit.Bounds{DrainGrace: s.drainGrace, KeyPause: s.keyPause, Retries: s.retries}
}

// reportViolations counts and logs rule violations. Builds with the debug tag panic.
func (g *Gateway) reportViolations(j *job, engine choice.EngineID, broken []audit.Violation) {
	for _, violation := range broken {
		g.auditLog.CountAndWarn("rules_violated", "rule_violated", "rule", string(violation), "job", j.id,
			"call", string(j.ID), "type", string(j.Type), "engine", engine)
		invariant.Check(false, string(violation))
	}
}
