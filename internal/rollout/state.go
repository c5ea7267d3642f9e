package rollout

import (
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// State is the part of a rollout that is recorded and survives its coordinator.
type State struct {
	Phase            Phase             `json:"phase"`
	Stage            int               `json:"stage"` // index of the stage that is applied, observed or rolled back
	Fence            change.Fence      `json:"fence"` // of the current orders
	Paused           bool              `json:"paused"`
	StageRetries     int64             `json:"tries"`    // how often the stage was rolled back and retried
	PromptRecoveries int64             `json:"early"`    // how often the fleet recovered soon after the stage's rollback
	Reason           string            `json:"why"`      // of the last transition, with its figures
	Outcome          string            `json:"outcome"`  // why the rollout was rolled back or stopped
	Verdicts         []canary.Verdict  `json:"verdicts"` // of the stages that passed, and of the one that failed
	Drained          map[string]string `json:"drains"`   // controllers taken out of service, with the reason
}

// Member is the observed state of a controller and its supervisor.
type Member struct {
	Name      string
	Reachable bool          // the supervisor replied within Timing.UnreachableAfterMS
	Serving   bool          // the controller is ready for jobs
	Running   change.Digest // the spec that the controller reports
	Fence     change.Fence  // of the last order that the supervisor accepted
	Failure   string        // why the last order cannot be followed, or ""
}

// Observation is the state of the fleet at one time.
type Observation struct {
	Now       int64 // nanoseconds of the coordinator's own clock, from its start
	Members   []Member
	Verdict   canary.Verdict // on the stage
	Recovered bool           // in PhaseAwaitingRecovery: the fleet performs again as before the stage
	Request   Request        // an operator's pending request, or ""
}

// Order is the desired state of one controller.
type Order struct {
	Member    string
	UseTarget bool // run the new version; otherwise the old version
	Drain     bool // leave service
}
