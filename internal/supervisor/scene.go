package supervisor

// scene is what a keeper sees when it decides what comes next. Two programs of the controller may live at once, no more:
// the one that serves and the next, or the one that serves and an old one that serves what it owes.
type scene struct {
	drain     bool // ordered out of service
	now       bool // one serves
	nowFits   bool // it is the ordered program
	next      bool // another has been started beside it
	nextFits  bool
	nextReady bool // it runs as ordered and is ready for jobs
	olds      int  // that drain
	wait      bool // after an end that nobody asked for
	told      bool // who serves has been told all that is held
}

// act is what a keeper does next.
type act uint8

const (
	nothing act = iota
	startOne
	promote // the next serves from now on, the one before drains
	discard // the next drains
	tell    // who serves is told
	endAll
)

// decide says what comes next. A program that cannot live never takes the place of one that does: it is started beside it,
// and serves only once it says that it is ready.
func (s scene) decide() act {
	switch {
	case s.drain && (s.now || s.next):
		return endAll
	case s.drain:
	case !s.now && s.next:
		return promote
	case s.next && (s.nowFits || !s.nextFits):
		return discard
	case s.next && s.nextReady:
		return promote
	case s.now && s.nowFits && !s.told:
		return tell
	case !s.wait && !s.next && (!s.now && s.olds <= 1 || s.now && !s.nowFits && s.olds == 0):
		return startOne
	}
	return nothing
}
