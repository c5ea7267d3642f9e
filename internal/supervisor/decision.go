package supervisor

// situation is what the next action is decided from. At most two controllers run at once: the current one with either
// the next one or one that drains.
type situation struct {
	outOfService      bool // the order says that no controller shall run
	hasCurrent        bool
	currentMatches    bool // it runs the ordered program
	currentConfigured bool // its operator file says what it shall
	hasNext           bool
	nextMatches       bool // it runs the ordered program
	nextReady         bool // it runs as ordered and is ready for jobs
	drainingCount     int
	backingOff        bool // after a crash
}

// action is what the supervisor does next.
type action uint8

const (
	noAction         action = iota
	startController         // as the current one, or as the next one beside it
	promoteNext             // the next controller serves from now on, the current one drains
	discardNext             // the next controller drains
	configureCurrent        // the current controller gets a new operator file
	stopControllers         // all drain
)

// decide returns the next action. A program that cannot run never replaces one that does: it is started beside it and
// serves only once it reports that it is ready.
func (s situation) decide() action {
	switch {
	case s.outOfService && (s.hasCurrent || s.hasNext):
		return stopControllers
	case s.outOfService:
		return noAction
	case s.hasNext:
		return s.decideOnNext()
	case s.hasCurrent && s.currentMatches && !s.currentConfigured:
		return configureCurrent
	case s.mayStart():
		return startController
	}
	return noAction
}

// decideOnNext decides while there is a next controller.
func (s situation) decideOnNext() action {
	switch {
	case !s.hasCurrent:
		return promoteNext
	case s.currentMatches || !s.nextMatches:
		return discardNext
	case s.nextReady:
		return promoteNext
	}
	return noAction // it is starting
}

// mayStart reports whether one more controller is wanted and may run.
func (s situation) mayStart() bool {
	if s.backingOff || s.hasNext {
		return false
	}
	if !s.hasCurrent {
		return s.drainingCount <= 1
	}
	return !s.currentMatches && s.drainingCount == 0
}
