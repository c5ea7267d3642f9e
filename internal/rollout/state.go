package rollout

import (
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// State is everything of a rollout that outlives its coordinator.
type State struct {
	Phase            Phase             `json:"phase"`
	Stage            int               `json:"stage"` // index of the stage that is applied, observed or rolled back
	Fence            change.Fence      `json:"fence"` // of the orders in force
	Paused           bool              `json:"paused"`
	StageRetries     int64             `json:"tries"`    // how often the stage was rolled back and retried
	PromptRecoveries int64             `json:"early"`    // how often all recovered soon after the stage's rollback
	Reason           string            `json:"why"`      // of the last transition, with its figures
	Outcome          string            `json:"outcome"`  // why the change was rolled back or stopped
	Verdicts         []canary.Verdict  `json:"verdicts"` // of the stages passed, and of the one that was not
	Drained          map[string]string `json:"drains"`   // controllers taken out of service, with the reason
}

// Member is what is known of a controller and its supervisor.
type Member struct {
	Name      string
	Reachable bool          // the supervisor answered within the timing's UnreachableAfterMS
	Serving   bool          // the controller is ready for jobs
	Running   change.Digest // the spec that the controller reports
	Fence     change.Fence  // of the last order that the supervisor accepted
	Failure   string        // why the last order cannot be followed, or ""
}

// Observation is the fleet at one moment.
type Observation struct {
	Now       int64 // nanoseconds of the coordinator's own clock, from its start
	Members   []Member
	Verdict   canary.Verdict // on the stage
	Recovered bool           // in PhaseAwaitingRecovery: all do again as before the stage
	Request   Request        // of an operator, or ""
}

// Order is what one controller is to do.
type Order struct {
	Member    string
	UseTarget bool // run the new version; otherwise the old one
	Drain     bool // leave service
}
