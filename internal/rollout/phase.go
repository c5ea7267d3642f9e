package rollout

// Phase is the phase of a rollout. Its values are stored in records and sent on the wire.
type Phase string

// The phases. PhaseDone, PhaseReverted and PhaseStopped are terminal.
const (
	PhasePreparing        Phase = "preparing"   // every controller must be reachable, serving and on the old version
	PhaseBaseline         Phase = "watching"    // the fleet is observed before anything changes
	PhaseApplying         Phase = "applying"    // the stage's controllers switch to the new version
	PhaseBaking           Phase = "baking"      // the stage is observed and compared with the old version
	PhaseStageRollback    Phase = "withdrawing" // all regressed: the stage is rolled back, to find out if it is the cause
	PhaseAwaitingRecovery Phase = "waiting"     // the stage is rolled back; it is retried once the fleet has recovered
	PhaseFinishing        Phase = "finishing"   // every stage passed; the other controllers still have to follow
	PhaseDone             Phase = "done"        // all controllers serve with the new version
	PhaseRollback         Phase = "going back"  // all controllers have to return to the old version
	PhaseReverted         Phase = "back"        // all controllers serve with the old version again
	PhaseDegraded         Phase = "stuck"       // some could not return: they are named, and drained if reachable
	PhaseStopped          Phase = "stopped"     // by an operator, or before anything changed; no controller is changed
)

// IsTerminal reports whether the rollout has ended. An operator may still request the rollback of a stopped change.
func (p Phase) IsTerminal() bool {
	return p == PhaseDone || p == PhaseReverted || p == PhaseStopped
}

// isRollback reports whether the whole fleet is being returned to the old version.
func (p Phase) isRollback() bool { return p == PhaseRollback || p == PhaseDegraded }

// acceptsRollback reports whether an operator may request a rollback.
func (p Phase) acceptsRollback() bool {
	return p == PhaseStopped || !p.IsTerminal() && !p.isRollback()
}

// Request is an operator's request to the rollout in progress. Its values are stored.
type Request string

// The requests.
const (
	RequestPause    Request = "pause"  // no further stage; a regression still rolls back
	RequestResume   Request = "resume" // ends a pause
	RequestStop     Request = "stop"   // ends the rollout; every controller keeps its version
	RequestRollback Request = "back"   // returns all controllers to the old version
)

// event is an occurrence, found in an observation, that moves the rollout to another phase.
type event string

const (
	noEvent           event = ""
	fleetReady        event = "fleet ready"
	fleetNotReady     event = "fleet not ready"
	baselineComplete  event = "baseline complete"
	stageApplied      event = "stage applied"
	stageFailed       event = "stage failed" // not applied, regressed, or inconclusive for too long
	stagePassed       event = "stage passed"
	lastStagePassed   event = "last stage passed"
	sharedRegression  event = "shared regression"
	stageReverted     event = "stage rolled back"
	stageRetried      event = "stage retried"
	fleetUpdated      event = "fleet updated"
	fleetReverted     event = "fleet rolled back"
	rollbackOverdue   event = "rollback overdue"
	rollbackRequested event = "rollback requested"
	stopRequested     event = "stop requested"
)

// transitions holds the phase that follows an event, by the phase in which the event occurs. Operators' requests are
// events in each phase that accepts them, see handleRequest.
var transitions = map[Phase]map[event]Phase{
	PhasePreparing: {
		fleetReady:    PhaseBaseline,
		fleetNotReady: PhaseStopped,
	},
	PhaseBaseline: {
		baselineComplete: PhaseApplying,
	},
	PhaseApplying: {
		stageApplied: PhaseBaking,
		stageFailed:  PhaseRollback,
	},
	PhaseBaking: {
		stagePassed:      PhaseApplying,
		lastStagePassed:  PhaseFinishing,
		sharedRegression: PhaseStageRollback,
		stageFailed:      PhaseRollback,
	},
	PhaseStageRollback: {
		stageReverted: PhaseAwaitingRecovery,
		stageFailed:   PhaseRollback,
	},
	PhaseAwaitingRecovery: {
		stageRetried: PhaseApplying,
		stageFailed:  PhaseRollback,
	},
	PhaseFinishing: {
		fleetUpdated: PhaseDone,
	},
	PhaseRollback: {
		fleetReverted:   PhaseReverted,
		rollbackOverdue: PhaseDegraded,
	},
	PhaseDegraded: {
		fleetReverted: PhaseReverted,
	},
}

// nextPhase returns the phase that follows an event that occurs in a phase.
func nextPhase(phase Phase, happened event) Phase {
	switch happened {
	case rollbackRequested:
		return PhaseRollback
	case stopRequested:
		return PhaseStopped
	}
	return transitions[phase][happened]
}
