package change

// Timing states how long the steps of a rollout may take, in milliseconds of the coordinator's own clock. A field
// that is zero takes its default when the change is loaded.
type Timing struct {
	BaselineMS         int64 `json:"base_ms"`           // the fleet is observed for this long before the first stage
	BakeMS             int64 `json:"bake_ms"`           // minimum time that a stage is observed
	MaxBakeMS          int64 `json:"most_ms"`           // maximum; a stage still undecided then is rolled back
	ApplyTimeoutMS     int64 `json:"apply_ms"`          // a controller that has not followed its order by then has failed
	SettleMS           int64 `json:"steady_ms"`         // from following an order to a controller's jobs being counted
	UnreachableAfterMS int64 `json:"unheard_ms"`        // a supervisor that has not answered for this long is unreachable
	SharedRecoveryMS   int64 `json:"shared_ms"`         // what a stage did to all is over this long after its rollback
	MaxSharedRetries   int64 `json:"shared_tries"`      // of a stage, after regressions of all controllers
	MinHealthyPerMille int64 `json:"healthy_per_mille"` // of all controllers that a rollout leaves serving at any time
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

// withDefaults returns the timing with a default in the place of each zero.
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
