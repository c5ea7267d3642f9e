package change

// Timing specifies the durations of a rollout, in milliseconds of the coordinator's own clock. A field that is zero
// gets its default value when the change is loaded.
type Timing struct {
	BaselineMS         int64 `json:"base_ms"`           // the fleet is observed for this long before the first stage
	BakeMS             int64 `json:"bake_ms"`           // minimum time that a stage is observed
	MaxBakeMS          int64 `json:"most_ms"`           // maximum; a stage that is inconclusive then is rolled back
	ApplyTimeoutMS     int64 `json:"apply_ms"`          // time for a controller to follow an order; later it has failed
	SettleMS           int64 `json:"steady_ms"`         // time on the new version before a controller's jobs are counted
	UnreachableAfterMS int64 `json:"unheard_ms"`        // a supervisor is unreachable this long after its last reply
	SharedRecoveryMS   int64 `json:"shared_ms"`         // time to recover from a shared regression that a stage caused
	MaxSharedRetries   int64 `json:"shared_tries"`      // of a stage, after regressions of the whole fleet
	MinHealthyPerMille int64 `json:"healthy_per_mille"` // share of the controllers that must keep serving
	PollIntervalMS     int64 `json:"look_ms"`           // from one poll of the fleet to the next
}

// Defaults of Timing.
const (
	defaultBaselineMS         = 60_000
	defaultBakeMS             = 60_000
	defaultMaxBakeMS          = 900_000
	defaultApplyTimeoutMS     = 120_000
	defaultSettleMS           = 2000
	defaultUnreachableAfterMS = 5000
	defaultSharedRecoveryMS   = 30_000
	defaultMaxSharedRetries   = 2
	defaultMinHealthyPerMille = 500
	defaultPollIntervalMS     = 1000
)

// withDefaults returns the timing with each zero replaced by its default.
func (t Timing) withDefaults() Timing {
	setDefault(&t.BaselineMS, defaultBaselineMS)
	setDefault(&t.BakeMS, defaultBakeMS)
	setDefault(&t.MaxBakeMS, defaultMaxBakeMS)
	setDefault(&t.ApplyTimeoutMS, defaultApplyTimeoutMS)
	setDefault(&t.SettleMS, defaultSettleMS)
	setDefault(&t.UnreachableAfterMS, defaultUnreachableAfterMS)
	setDefault(&t.SharedRecoveryMS, defaultSharedRecoveryMS)
	setDefault(&t.MaxSharedRetries, defaultMaxSharedRetries)
	setDefault(&t.MinHealthyPerMille, defaultMinHealthyPerMille)
	setDefault(&t.PollIntervalMS, defaultPollIntervalMS)
	return t
}

func setDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}
