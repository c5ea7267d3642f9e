package main

import (
	"log/slog"
	"time"

	"swiftreel/internal/counters"
)

// countersInterval is from one line with all counters to the next: a process that is killed has no last line.
const countersInterval = time.Minute

// countersLog logs all counters at intervals until it is closed.
type countersLog struct {
	ticker  *time.Ticker
	closing chan struct{}
	closed  chan struct{}
}

func startCountersLog() *countersLog {
	l := &countersLog{ticker: time.NewTicker(countersInterval), closing: make(chan struct{}), closed: make(chan struct{})}
	go l.run()
	return l
}

func (l *countersLog) run() {
	defer close(l.closed)
	for {
		select {
		case <-l.closing:
			return
		case <-l.ticker.C:
			slog.Info("counters", counters.LogAttributes()...)
		}
	}
}

// close ends it.
func (l *countersLog) close() {
	l.ticker.Stop()
	close(l.closing)
	<-l.closed
}
