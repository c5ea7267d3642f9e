package main

import "math"

// nearlyDone is thread time in ns that is lost to rounding.
const nearlyDone = 1

// simulatedEngine is an engine whose cores are shared evenly by the threads that run.
type simulatedEngine struct {
	queue    *eventQueue
	zone     int
	cores    int
	running  []*execution
	updated  int64 // until when the work of executions is counted
	revision int   // increases as what runs changes
}

// execution is a job that runs.
type execution struct {
	work     float64 // left, in ns of thread time
	threads  float64
	finished func()
}

// rate is the part of a core that a thread has.
func (e *simulatedEngine) rate() float64 {
	threads := 0.0
	for _, x := range e.running {
		threads += x.threads
	}
	return min(1, float64(e.cores)/max(1, threads))
}

// execute starts an execution.
func (e *simulatedEngine) execute(x *execution) {
	e.update()
	e.running = append(e.running, x)
	e.update()
}

// update counts the work since the last update, finishes what is done, and sets when the next execution will be.
func (e *simulatedEngine) update() {
	rate := e.rate()
	elapsed := float64(e.queue.now - e.updated)
	e.updated = e.queue.now
	var left, done []*execution
	for _, x := range e.running {
		x.work -= elapsed * rate * x.threads
		if x.work <= nearlyDone {
			done = append(done, x)
		} else {
			left = append(left, x)
		}
	}
	e.running = left
	e.revision++
	e.scheduleNext()
	for _, x := range done {
		x.finished()
	}
}

// scheduleNext sets the next update to when an execution will be done, unless what runs changes before.
func (e *simulatedEngine) scheduleNext() {
	if len(e.running) == 0 {
		return
	}
	next := math.Inf(1)
	for _, x := range e.running {
		next = min(next, x.work/(e.rate()*x.threads))
	}
	revision := e.revision
	e.queue.after(int64(next)+1, func() {
		if e.revision == revision {
			e.update()
		}
	})
}
