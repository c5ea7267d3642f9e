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

// watchInterval is from one sample of all statuses to the next.
const watchInterval = 100 * time.Millisecond

// watch samples the statuses of a cluster's supervisors and finds what must never be: an order or an assignment that
// goes back, two coordinators under one term, a status field that the present
// program does not know.
type watch struct {
	cluster *testcluster.Cluster
	done    chan struct{}
	wait    sync.WaitGroup

	// Owned by the sampling goroutine until it has ended.
	last    map[string]supervisor.Status // by member
	orderer map[fenceTerm]string         // the one coordinator of a term
	faults  []string
	crashes map[string]uint64 // by member: ends of its controller that nobody asked for
	samples int
}

// fenceTerm is a change's number and the term of its coordinator.
type fenceTerm struct{ number, term int64 }

func startWatch(cluster *testcluster.Cluster) *watch {
	w := &watch{cluster: cluster, done: make(chan struct{}), last: map[string]supervisor.Status{},
		orderer: map[fenceTerm]string{}, crashes: map[string]uint64{}}
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
			if text := m.Name + ": " + fault; !slices.Contains(w.faults, text) {
				w.faults = append(w.faults, text)
			}
		}
		w.last[m.Name] = status
	}
}

// compare returns what a status shows that must not be after the one before.
func (w *watch) compare(before, now supervisor.Status) (faults []string) {
	if now.Fence.Compare(before.Fence) < 0 {
		faults = append(faults, fmt.Sprintf("order %v is held after %v", now.Fence, before.Fence))
	}
	if now.Incarnation == before.Incarnation && now.Assignment.Term < before.Assignment.Term {
		faults = append(faults, fmt.Sprintf("an assignment of term %d is held after one of %d",
			now.Assignment.Term, before.Assignment.Term))
	}
	for name := range now.UnknownFields {
		faults = append(faults, "unknown status field "+name)
	}
	if now.Fence != (change.Fence{}) {
		term := fenceTerm{now.Fence.Number, now.Fence.Term}
		if by := w.orderer[term]; by != "" && by != now.OrderedBy {
			faults = append(faults, fmt.Sprintf("change %d, term %d is ordered by %s and by %s",
				term.number, term.term, by, now.OrderedBy))
		}
		w.orderer[term] = now.OrderedBy
	}
	return faults
}

// unaskedEnds returns which controllers ended unasked. It is valid once the watch has been stopped.
func (w *watch) unaskedEnds() error {
	var errs []error
	for _, m := range w.cluster.Members {
		if n := w.crashes[m.Name]; n > 0 {
			errs = append(errs, fmt.Errorf("that of %s ended unasked %d times", m.Name, n))
		}
	}
	return errors.Join(errs...)
}

// stop ends the watch and returns what it found.
func (w *watch) stop() (string, error) {
	close(w.done)
	w.wait.Wait()
	var errs []error
	for _, text := range w.faults {
		errs = append(errs, errors.New(text))
	}
	if w.samples == 0 {
		errs = append(errs, errors.New("no status was seen"))
	}
	return fmt.Sprintf("%d statuses, %d terms of coordinators", w.samples, len(w.orderer)), errors.Join(errs...)
}
