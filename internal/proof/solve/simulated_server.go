package main

import (
	"math"

	"swiftreel/choice"
)

// workTolerance is how much work, in nanoseconds of thread time, may be left of a job that is done.
const workTolerance = 1

// simulatedServer is an engine whose threads share its cores evenly.
type simulatedServer struct {
	clock      *virtualClock
	zone       int
	cores      float64
	executions []*execution
	settledAt  choice.Nanos
	generation int // rises whenever the set of executions may have changed
}

// execution is a job that runs at a server.
type execution struct {
	workLeft float64 // nanoseconds of thread time
	threads  float64
	onDone   func()
}

// load returns what the server reports about itself.
func (s *simulatedServer) load() []float64 { return []float64{float64(len(s.executions))} }

// start begins an execution.
func (s *simulatedServer) start(e *execution) {
	s.settle()
	s.executions = append(s.executions, e)
	s.settle()
}

// settle works off what ran since it was last called, ends what is done, and schedules itself for when the next
// execution will be.
func (s *simulatedServer) settle() {
	done := s.advance()
	s.generation++
	s.scheduleNext()
	for _, e := range done {
		e.onDone()
	}
}

// advance works off the time that has passed, and removes and returns the executions that are done.
func (s *simulatedServer) advance() []*execution {
	rate := s.threadRate()
	elapsed := float64(s.clock.now - s.settledAt)
	s.settledAt = s.clock.now
	var left, done []*execution
	for _, e := range s.executions {
		e.workLeft -= elapsed * rate * e.threads
		if e.workLeft <= workTolerance {
			done = append(done, e)
		} else {
			left = append(left, e)
		}
	}
	s.executions = left
	return done
}

// scheduleNext settles the server again when the next execution is done, unless something changes before.
func (s *simulatedServer) scheduleNext() {
	if len(s.executions) == 0 {
		return
	}
	rate := s.threadRate()
	next := math.Inf(1)
	for _, e := range s.executions {
		next = min(next, e.workLeft/(rate*e.threads))
	}
	generation := s.generation
	s.clock.after(choice.Nanos(next)+1, func() {
		if s.generation == generation {
			s.settle()
		}
	})
}

// threadRate returns how much of a core each thread gets.
func (s *simulatedServer) threadRate() float64 {
	threads := 0.0
	for _, e := range s.executions {
		threads += e.threads
	}
	return min(1, s.cores/max(1, threads))
}
