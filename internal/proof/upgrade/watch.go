package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// watchInterval is the time between two samples of all statuses.
const watchInterval = 100 * time.Millisecond

// watch samples the statuses of a cluster's supervisors and records violations: an order or assignment older than the
// one before, two coordinators in one term, a status field that the current program does not know.
type watch struct {
	cluster *testcluster.Cluster
	done    chan struct{}
	wait    sync.WaitGroup

	// Owned by the sampling goroutine until it has ended.
	last       map[string]supervisor.Status // last status by member
	orderedBy  map[changeTerm]string        // the only coordinator of a term
	violations []string
	crashes    map[string]uint64 // by member: unexpected exits of its controller
	samples    int
}

// changeTerm is the number of a change and a term of its coordinator.
type changeTerm struct{ number, term int64 }

func startWatch(cluster *testcluster.Cluster) *watch {
	w := &watch{cluster: cluster, done: make(chan struct{}), last: map[string]supervisor.Status{},
		orderedBy: map[changeTerm]string{}, crashes: map[string]uint64{}}
	w.wait.Go(func() {
		tick := time.NewTicker(watchInterval)
		defer tick.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-tick.C:
				w.sample()
			}
		}
	})
	return w
}

func (w *watch) sample() {
	for _, m := range w.cluster.Members {
		status, err := w.cluster.Status(m)
		if err != nil {
			continue // it is being restarted
		}
		w.samples++
		w.crashes[m.Name] = max(w.crashes[m.Name], status.Crashes)
		for _, fault := range w.compare(w.last[m.Name], status) {
			if text := m.Name + ": " + fault; !slices.Contains(w.violations, text) {
				w.violations = append(w.violations, text)
			}
		}
		w.last[m.Name] = status
	}
}

// compare returns the violations that a status shows, given the one before.
func (w *watch) compare(before, now supervisor.Status) (faults []string) {
	if now.Fence.Compare(before.Fence) < 0 {
		faults = append(faults, fmt.Sprintf("order %v follows the newer order %v", now.Fence, before.Fence))
	}
	if now.Incarnation == before.Incarnation && now.Assignment.Term < before.Assignment.Term {
		faults = append(faults, fmt.Sprintf("assignment of term %d follows one of the newer term %d",
			now.Assignment.Term, before.Assignment.Term))
	}
	for name := range now.UnknownFields {
		faults = append(faults, "unknown status field "+name)
	}
	if now.Fence != (change.Fence{}) {
		term := changeTerm{now.Fence.Number, now.Fence.Term}
		if by := w.orderedBy[term]; by != "" && by != now.OrderedBy {
			faults = append(faults, fmt.Sprintf("change %d, term %d is ordered by %s and by %s",
				term.number, term.term, by, now.OrderedBy))
		}
		w.orderedBy[term] = now.OrderedBy
	}
	return faults
}

// checkCrashes returns an error for each controller that exited unexpectedly. It may be called once the watch has been
// stopped.
func (w *watch) checkCrashes() error {
	var errs []error
	for _, m := range w.cluster.Members {
		if n := w.crashes[m.Name]; n > 0 {
			errs = append(errs, fmt.Errorf("controller of %s exited unexpectedly %d times", m.Name, n))
		}
	}
	return errors.Join(errs...)
}

// stop ends the watch and returns its counts and the violations.
func (w *watch) stop() (string, error) {
	close(w.done)
	w.wait.Wait()
	var errs []error
	for _, text := range w.violations {
		errs = append(errs, errors.New(text))
	}
	if w.samples == 0 {
		errs = append(errs, errors.New("no status was sampled"))
	}
	return fmt.Sprintf("%d statuses, %d terms of coordinators", w.samples, len(w.orderedBy)), errors.Join(errs...)
}
