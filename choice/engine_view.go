package choice

// EngineView is what a Controller believes of an engine, for comparison with what its caller observes.
type EngineView struct {
	Engine            EngineID
	Jobs              int     // ours there
	Threads           float64 // ours there
	SiblingThreads    float64 // estimated
	ReportAge         Nanos   // of the last load report; below 0: none yet
	LastSeenAge       Nanos   // of the last answer or progress; below 0: none yet
	UnavailableReason string  // why it gets nothing; empty: it does
}

// EngineViews returns the views of all known engines, by ID.
func (c *Controller) EngineViews(now Nanos) (views []EngineView) {
	age := func(at Nanos) Nanos {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for _, e := range c.engines {
		views = append(views, EngineView{
			Engine: e.Engine, Jobs: len(e.attempts), Threads: e.ownThreads, SiblingThreads: e.siblingThreads,
			ReportAge: age(e.loadKnownAt), LastSeenAge: age(e.lastSeenAt), UnavailableReason: e.unavailable(now),
		})
	}
	return views
}

// unavailable returns why an engine gets no jobs, or "".
func (e *engine) unavailable(now Nanos) string {
	switch {
	case e.State == Removed:
		return "gone"
	case e.State == Draining:
		return "draining"
	case e.ejected:
		return "aside"
	case now < e.fullUntil:
		return "full"
	}
	return ""
}

// FleetShare returns the part of the fleet's capacity that this controller uses now, from 0 to 1.
func (c *Controller) FleetShare() float64 { return c.fleet.share }
