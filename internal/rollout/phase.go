package rollout

// Phase is the state in which a change is. Its values stand in records and on the wire.
type Phase string

// The phases. PhaseDone, PhaseReverted and PhaseStopped are terminal.
const (
	PhasePreparing        Phase = "preparing"   // every controller must be reachable, serving and on the old version
	PhaseBaseline         Phase = "watching"    // the fleet is observed before anything changes
	PhaseApplying         Phase = "applying"    // the stage's controllers take the new version
	PhaseBaking           Phase = "baking"      // the stage is observed and compared with the old version
	PhaseStageRollback    Phase = "withdrawing" // all did worse: the stage is rolled back, to see whether that ends it
	PhaseAwaitingRecovery Phase = "waiting"     // the stage is rolled back; it is retried once all do as before it
	PhaseFinishing        Phase = "finishing"   // every stage passed; unreachable controllers still have to follow
	PhaseDone             Phase = "done"        // all are on the new version
	PhaseRollback         Phase = "going back"  // all are to return to the old version
	PhaseReverted         Phase = "back"        // all have returned
	PhaseDegraded         Phase = "stuck"       // some could not return: they are named, and drained where they answer
	PhaseStopped          Phase = "stopped"     // by an operator, or before anything changed: all stay as they are
)

// IsTerminal reports whether nothing more follows, unless an operator asks for a rollback of a stopped change.
func (p Phase) IsTerminal() bool {
	return p == PhaseDone || p == PhaseReverted || p == PhaseStopped
}

// isRollback reports whether all are on their way back to the old version.
func (p Phase) isRollback() bool { return p == PhaseRollback || p == PhaseDegraded }

// acceptsRollback reports whether an operator may ask for a rollback.
func (p Phase) acceptsRollback() bool {
	return p == PhaseStopped || !p.IsTerminal() && !p.isRollback()
}

// Request is what an operator asks of the rollout in progress. Its values stand in requests that operators leave.
type Request string

// The requests.
const (
	RequestPause    Request = "pause"  // no further stage; a regression still rolls back
	RequestResume   Request = "resume" // ends a pause
	RequestStop     Request = "stop"   // ends the change; all stay as they are
	RequestRollback Request = "back"   // returns all to the old version
)

// event is what has happened to the rollout, as found in one observation.
type event string

const (
	noEvent           event = ""
	fleetReady        event = "fleet ready"
	fleetNotReady     event = "fleet not ready"
	baselineComplete  event = "baseline complete"
	stageApplied      event = "stage applied"
	stageFailed       event = "stage failed" // not taken, worse, or undecided for too long
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

// transitions names the phase that follows an event, by the phase in which the event happens. Requests of operators are
// events of each phase that accepts them, see handleRequest.
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

// after returns the phase that follows an event in a phase.
func after(phase Phase, happened event) Phase {
	switch happened {
	case rollbackRequested:
		return PhaseRollback
	case stopRequested:
		return PhaseStopped
	}
	return transitions[phase][happened]
}
