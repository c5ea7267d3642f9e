package supervisor

import (
	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
)

// controllerConfig identifies the contents of a controller's operator file, so that changes can be detected.
type controllerConfig struct {
	spec             change.Digest
	hasPredecessor   bool          // an older process of this fleet member is still draining
	leaderPlan       change.Digest // assigned by the leader; empty if the spec has a plan, which takes precedence
	leaderPlanExpiry int64         // in nanoseconds of the monotonic clock
}

// wantedConfig returns the configuration that an order and an assignment call for.
func wantedConfig(order change.AcceptedOrder, assigned assignment.Accepted, hasPredecessor bool) controllerConfig {
	config := controllerConfig{spec: order.Spec.Digest(), hasPredecessor: hasPredecessor}
	if len(order.Spec.Plan) == 0 && assigned.Plan != "" {
		config.leaderPlan = assigned.Plan
		config.leaderPlanExpiry = assigned.PlanUntil
	}
	return config
}

// covers reports whether a controller with this configuration needs no reload to satisfy the wanted one. Every rewrite
// of the operator file costs a reload, so a later expiry of the same plan is written only once the time left until the
// earlier expiry is less than half of the time left until the later one. now is in nanoseconds of the monotonic clock.
func (c controllerConfig) covers(wanted controllerConfig, now int64) bool {
	remaining := c.leaderPlanExpiry - now
	wantedRemaining := wanted.leaderPlanExpiry - now
	isExpiryCovered := wanted.leaderPlan == "" || 2*remaining >= wantedRemaining
	c.leaderPlanExpiry = 0
	wanted.leaderPlanExpiry = 0
	return c == wanted && isExpiryCovered
}
