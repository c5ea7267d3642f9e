package choice

// Seen is what the module believes of an engine, to be held against what passes on the sockets. It decides nothing.
type EngineView struct {
	Engine                  EngineID
	Jobs                    int     // ours there
	Threads, SiblingThreads float64 // ours, and siblings' as thought
	ReportAge               Nanos   // age of the last load report; below 0: none yet
	LastSeenAge             Nanos   // since any answer or note; below 0: none yet
	UnavailableReason       string  // why it gets nothing, if it does not
}

// View tells it of each engine, in the module's order.
func (c *Controller) EngineViews(now Nanos) (seen []EngineView) {
	age := func(at Nanos) Nanos {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for _, e := range c.engines {
		s := EngineView{Engine: e.Engine, Jobs: len(e.flights), Threads: e.threads, SiblingThreads: e.others, ReportAge: age(e.reported),
			LastSeenAge: age(e.heard)}
		switch {
		case e.State == Removed:
			s.UnavailableReason = "gone"
		case e.State == Draining:
			s.UnavailableReason = "draining"
		case e.aside:
			s.UnavailableReason = "aside"
		case now < e.fullUntil:
			s.UnavailableReason = "full"
		}
		seen = append(seen, s)
	}
	return seen
}
