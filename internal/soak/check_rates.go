package soak

import (
	"math"
	"slices"
	"time"
)

// checkSlowStart checks that an engine that warms up gets no more calls in any window than its limit. The limit is for
// the sum over all controllers.
func (c *checker) checkSlowStart() {
	for engine, starts := range c.starts() {
		for _, start := range starts {
			c.checkWindows(engine, start)
		}
	}
}

// starts returns the start times of engines as listed by the feed.
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
			if at.Sub(first) < overloadWindow {
				count++
			}
		}
		if limit := slowStartLimit(first.Sub(start)); float64(count) > limit {
			c.report("failback", "engine %s gets %d calls in a window %v after its start, limit %.0f", engine, count,
				first.Sub(start), limit)
			return
		}
	}
}

// meanWork is the mean work of a call, given the mix of types that clients draw.
const meanWork = 28 * time.Millisecond

// slowStartLimit returns how many calls of mean work an engine may get in a window, given the time since its start. It
// includes a margin of two to three standard deviations of the count, plus a constant.
func slowStartLimit(sinceStart time.Duration) float64 {
	capacity := startCapacity + (1-startCapacity)*sinceStart.Seconds()/warmUpTime.Seconds()
	n := overloadMultiple * capacity * engineCores * overloadWindow.Seconds() / meanWork.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// retrySlack bounds the time from the decision to dispatch until the dispatch reaches its engine. The retry budget
// counts decisions.
const retrySlack = time.Second

// checkRetries checks that a controller's retries, the dispatches after a call's first, stay within their budget. Each
// process of a controller counts from its start. A call counts from the start of its write, since the controller may
// accept and dispatch it before the client's write returns.
func (c *checker) checkRetries() {
	type controllerTimes struct{ admitted, retries []time.Time }
	all := map[int]*controllerTimes{}
	for _, call := range c.Records.calls {
		times := all[call.Controller]
		if times == nil {
			times = &controllerTimes{}
			all[call.Controller] = times
		}
		times.admitted = append(times.admitted, call.BegunAt)
		for _, fetch := range slices.SortedFunc(slices.Values(c.fetched[call.ID]), byTime)[min(1, len(c.fetched[call.ID])):] {
			times.retries = append(times.retries, fetch.At)
		}
	}
	for controller, times := range all {
		slices.SortFunc(times.retries, time.Time.Compare)
		for _, at := range times.retries {
			sinceStart := at.Sub(c.lastStart(controller, at))
			retries := within(times.retries, at, min(sinceStart, retryWindow-retrySlack))
			admitted := within(times.admitted, at, min(sinceStart, retryWindow+retrySlack))
			if float64(retries) > freeRetries+retryRatio*float64(admitted) {
				c.report("retries", "controller %d sends %d retries for %d calls at %s", controller, retries, admitted,
					clock(at))
				break
			}
		}
	}
}

// lastStart returns the start time of the controller process that ran at a time.
func (c *checker) lastStart(controller int, at time.Time) (last time.Time) {
	for _, start := range c.processStarts[controller] {
		if start.Before(at) {
			last = start
		}
	}
	return last
}

func byTime(a, b Fetch) int { return a.At.Compare(b.At) }

// within counts the times in a window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) (count int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= window {
			count++
		}
	}
	return count
}
