package soak

import (
	"math"
	"slices"
	"time"
)

// checkSlowStart: in any window an engine that warms up gets no more calls than it withstands from all controllers
// that were told of its start.
func (c *checker) checkSlowStart() {
	for engine, starts := range c.starts() {
		for _, start := range starts {
			c.checkWindows(engine, start)
		}
	}
}

// starts are the times at which engines started as the feed notifiedAt.
func (c *checker) starts() map[string][]time.Time {
	starts := map[string][]time.Time{}
	for _, change := range c.changes {
		if !change.Start.IsZero() && !slices.Contains(starts[change.Engine], change.Start) {
			starts[change.Engine] = append(starts[change.Engine], change.Start)
		}
	}
	return starts
}

func (c *checker) checkWindows(engine string, start time.Time) {
	var arrivals []time.Time
	for _, fetch := range c.fetches {
		if since := fetch.At.Sub(start); fetch.Engine == engine && since >= 0 && since < warmUpTime {
			arrivals = append(arrivals, fetch.At)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < fallWindow {
				count++
			}
		}
		if limit := slowStartLimit(first.Sub(start)); float64(count) > limit {
			c.report("failback", "engine %s gets %d calls in a window %v after its start, it withstands %.0f", engine, count,
				first.Sub(start), limit)
			return
		}
	}
}

// meanWork is the mean work of a call, by the parts of types that clients draw.
const meanWork = 28 * time.Millisecond

// slowStartLimit is how many calls of mean work an engine withstands in a window, some time after its start.
func slowStartLimit(sinceStart time.Duration) float64 {
	capacity := startCapacity + (1-startCapacity)*sinceStart.Seconds()/warmUpTime.Seconds()
	n := fallMultiple * capacity * engineCores * fallWindow.Seconds() / meanWork.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// retrySlack is by how much an order may come before its dispatch reaches its engine: the budget counts orders.
const retrySlack = time.Second

// checkRetries: a controller's dispatches beyond a call's first keep to their budget. Each of its processes counts
// from its start. A call counts from when its write began: a controller may have taken it, and dispatched it, before
// the client's write has returned.
func (c *checker) checkRetries() {
	type controllerCalls struct{ admitted, further []time.Time }
	all := map[int]*controllerCalls{}
	for _, call := range c.Records.calls {
		of := all[call.Controller]
		if of == nil {
			of = &controllerCalls{}
			all[call.Controller] = of
		}
		of.admitted = append(of.admitted, call.BegunAt)
		for _, fetch := range slices.SortedFunc(slices.Values(c.fetched[call.ID]), byTime)[min(1, len(c.fetched[call.ID])):] {
			of.further = append(of.further, fetch.At)
		}
	}
	for controller, of := range all {
		slices.SortFunc(of.further, time.Time.Compare)
		for _, at := range of.further {
			sinceStart := at.Sub(c.lastStart(controller, at))
			further := within(of.further, at, min(sinceStart, retryWindow-retrySlack))
			admitted := within(of.admitted, at, min(sinceStart, retryWindow+retrySlack))
			if float64(further) > freeRetries+retryRatio*float64(admitted) {
				c.report("retries", "controller %d sends %d further dispatches for %d calls at %s", controller, further, admitted,
					clock(at))
				break
			}
		}
	}
}

// lastStart is when the process of a controller started that ran at a time.
func (c *checker) lastStart(controller int, at time.Time) (last time.Time) {
	for _, start := range c.processStarts[controller] {
		if start.Before(at) {
			last = start
		}
	}
	return last
}

func byTime(a, b Fetch) int { return a.At.Compare(b.At) }

// within counts the times in a window that ends at a time.
func within(times []time.Time, end time.Time, window time.Duration) (count int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= window {
			count++
		}
	}
	return count
}
