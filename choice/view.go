package choice

// Seen is what the module believes of an engine, to be held against what passes on the sockets. It decides nothing.
type Seen struct {
	Engine          EngineID
	Jobs            int     // ours there
	Threads, Others float64 // ours, and siblings' as thought
	Reported        Nanos   // age of the last load report; below 0: none yet
	Heard           Nanos   // since any answer or note; below 0: none yet
	Out             string  // why it gets nothing, if it does not
}

// View tells it of each engine, in the module's order.
func (c *Controller) View(now Nanos) (seen []Seen) {
	age := func(at Nanos) Nanos {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for _, e := range c.engines {
		s := Seen{Engine: e.Engine, Jobs: len(e.flights), Threads: e.threads, Others: e.others, Reported: age(e.reported),
			Heard: age(e.heard)}
		switch {
		case e.State == Gone:
			s.Out = "gone"
		case e.State == Draining:
			s.Out = "draining"
		case e.aside:
			s.Out = "aside"
		case now < e.fullUntil:
			s.Out = "full"
		}
		seen = append(seen, s)
	}
	return seen
}
