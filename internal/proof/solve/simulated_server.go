package main

import (
	"math"

	"swiftreel/choice"
)

// workTolerance is the remaining work, in nanoseconds of thread time, at which a job counts as done.
const workTolerance = 1

// simulatedServer simulates an engine whose threads share its cores evenly.
type simulatedServer struct {
	clock      *virtualClock
	zone       int
	cores      float64
	executions []*execution
	settledAt  choice.Nanos
	generation int // incremented whenever the set of executions may have changed
}

// execution is a job that runs on a server.
type execution struct {
	workLeft float64 // nanoseconds of thread time
	threads  float64
	onDone   func()
}

// load returns the server's load report: the number of executions.
func (s *simulatedServer) load() []float64 { return []float64{float64(len(s.executions))} }

// start begins an execution.
func (s *simulatedServer) start(e *execution) {
	s.settle()
	s.executions = append(s.executions, e)
	s.settle()
}

// settle accounts for the work done since the last call, completes the finished executions, and schedules the next call
// for the time at which another execution will finish.
func (s *simulatedServer) settle() {
	done := s.advance()
	s.generation++
	s.scheduleNext()
	for _, e := range done {
		e.onDone()
	}
}

// advance subtracts the work done since the last call. It removes and returns the finished executions.
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

// scheduleNext schedules settle for the time at which the next execution finishes. The call has no effect if the set of
// executions may have changed by then.
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

// threadRate returns the fraction of a core that each thread gets.
func (s *simulatedServer) threadRate() float64 {
	threads := 0.0
	for _, e := range s.executions {
		threads += e.threads
	}
	return min(1, s.cores/max(1, threads))
}
