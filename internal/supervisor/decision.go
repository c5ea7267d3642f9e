package supervisor

// situation is the input of the decision on the next action. At most two controllers run at once: the current one, and
// either the next one or one that is draining.
type situation struct {
	drainOrdered      bool // the order is to run no controller
	hasCurrent        bool
	currentMatches    bool // the current controller runs the ordered program
	currentConfigured bool // the current controller's operator file is up to date
	hasNext           bool
	nextMatches       bool // the next controller runs the ordered program
	nextReady         bool // the next controller runs the ordered spec and is ready for jobs
	drainingCount     int
	backingOff        bool // the restart delay after a crash has not elapsed
}

// action is a transition of the supervisor.
type action uint8

const (
	noAction         action = iota
	startController         // as the current controller, or as the next one if there is a current one
	promoteNext             // the next controller becomes the current one, and the former current one drains
	discardNext             // the next controller drains
	configureCurrent        // rewrite the current controller's operator file and reload
	stopControllers         // drain all controllers
)

// decide returns the next action. A program that fails to run never replaces one that works: the controller with the
// new program is started alongside the current one and takes over only once it reports that it is ready.
func (s situation) decide() action {
	switch {
	case s.drainOrdered && (s.hasCurrent || s.hasNext):
		return stopControllers
	case s.drainOrdered:
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

// decideOnNext returns the next action while there is a next controller.
func (s situation) decideOnNext() action {
	switch {
	case !s.hasCurrent:
		return promoteNext
	case s.currentMatches || !s.nextMatches:
		return discardNext
	case s.nextReady:
		return promoteNext
	}
	return noAction // the next controller is still starting
}

// mayStart reports whether another controller is needed and the limit on concurrent controllers permits it.
func (s situation) mayStart() bool {
	if s.backingOff || s.hasNext {
		return false
	}
	if !s.hasCurrent {
		return s.drainingCount <= 1
	}
	return !s.currentMatches && s.drainingCount == 0
}
