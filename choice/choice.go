package choice

// eventHandlers maps each kind of event to the function that handles it.
var eventHandlers = [...]func(*Controller, Event){
	Started:            (*Controller).start,
	JobArrived:         (*Controller).admit,
	StreamStarted:      (*Controller).markStreaming,
	ProgressReported:   (*Controller).handleProgress,
	AttemptEnded:       (*Controller).handleAttemptEnd,
	ClientDisconnected: (*Controller).handleDisconnect,
	TimerFired:         (*Controller).handleTimer,
	EnginesListed:      (*Controller).updateEngines,
	ProbeCompleted:     (*Controller).handleProbe,
	GossipReceived:     func(c *Controller, ev Event) { c.receiveGossip(int(ev.Peer), ev.Payload) },
	Stopping:           func(c *Controller, ev Event) { c.stopsAt = c.now + ev.TimeLeft },
	PlanUpdated:        func(c *Controller, ev Event) { c.setPlan(ev.Plan) },
	Reconfigured:       func(c *Controller, ev Event) { c.applySettings(ev.Settings) },
	StateTransferred:   (*Controller).restoreState,
	QuotaAssigned:      func(c *Controller, ev Event) { c.quota = ev.Quota },
	PredecessorChanged: (*Controller).markPredecessor,
	ClockStepped:       func(c *Controller, ev Event) { c.clockOffset = ev.ClockOffset },

	SuccessorChanged:    func(c *Controller, ev Event) { c.markUnlinked(ev.SuccessorRunning) },
	SuccessorLinked:     func(c *Controller, _ Event) { c.linkSuccessor() },
	SuccessorUnlinked:   func(c *Controller, _ Event) { c.unlinkSuccessor() },
	PredecessorLinked:   func(c *Controller, _ Event) { c.linkPredecessor() },
	PredecessorUnlinked: func(c *Controller, _ Event) { c.unlinkPredecessor() },
	KeyLockRequested:    (*Controller).queuePredecessorLock,
	KeyLockReleased:     (*Controller).releasePredecessorLock,
	KeyLockGranted:      (*Controller).acceptGrant,
	KeyLockRefused:      (*Controller).acceptRefusal,
}

// Decide processes one event and returns the actions to carry out, in order. The first event must be Started,
// and now must not decrease between calls. The returned slice is valid until the next call.
func (c *Controller) Decide(now Nanos, ev Event) []Action {
	c.now = now
	c.actions = c.actions[:0]
	c.freedBucket = nil
	if int(ev.Kind) < len(eventHandlers) && eventHandlers[ev.Kind] != nil {
		eventHandlers[ev.Kind](c, ev)
	}
	c.dispatchParked(c.freedBucket)
	c.grantPredecessorLocks()
	return c.actions
}
