package choice

// EngineView is what a Controller knows of an engine, for comparison with what its caller observes.
type EngineView struct {
	Engine            EngineID
	Jobs              int     // own jobs in flight there
	Threads           float64 // of own jobs
	PeerThreads       float64 // of peers' jobs, as reported or estimated
	ReportAge         Nanos   // since the last load report; below 0: none yet
	LastSeenAge       Nanos   // since the last answer or progress report; below 0: none yet
	UnavailableReason string  // why no jobs are sent to it; empty: it is available
}

// EngineViews returns the views of all known engines, ordered by ID.
func (c *Controller) EngineViews(now Nanos) (views []EngineView) {
	age := func(at Nanos) Nanos {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for _, e := range c.engines {
		views = append(views, EngineView{
			Engine: e.Engine, Jobs: len(e.attempts), Threads: e.ownThreads, PeerThreads: e.peerThreads,
			ReportAge: age(e.loadKnownAt), LastSeenAge: age(e.lastSeenAt), UnavailableReason: e.unavailableReason(now),
		})
	}
	return views
}

// unavailableReason returns why no jobs are sent to an engine, or "" if it is available.
func (e *engine) unavailableReason(now Nanos) string {
	switch {
	case e.State == Removed:
		return "gone"
	case e.State == Draining:
		return "draining"
	case e.ejected:
		return "aside"
	case now < e.cooldownUntil:
		return "full"
	}
	return ""
}

// FleetShare returns the part of the fleet's capacity that this controller may use now, from 0 to 1.
func (c *Controller) FleetShare() float64 { return c.fleet.share }
