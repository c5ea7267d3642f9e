package testcluster

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

// ShareWatch samples again and again which shares of the fleet a cluster's controllers go by. It counts only what was
// held at one moment for certain: what two samples in a row show, or what a member that cannot be reached must still
// hold.
type ShareWatch struct {
	cluster  *Cluster
	done     chan struct{}
	sampling sync.WaitGroup

	// Valid once Stop has returned.
	MaxAssigned int64 // the most of the fleet that was held at a moment, in parts of quota.FullShare
	Samples     int   // with any share held
}

// shareSample is the share of a member.
type shareSample struct {
	share int64
	until int64 // by the machine's clock
}

// WatchShares begins to sample at an interval.
func (c *Cluster) WatchShares(interval time.Duration) *ShareWatch {
	w := &ShareWatch{cluster: c, done: make(chan struct{})}
	w.sampling.Go(func() { w.run(interval) })
	return w
}

func (w *ShareWatch) run(interval time.Duration) {
	last := make([]shareSample, len(w.cluster.Members))
	for {
		now := monotonic.Now()
		samples := w.sample(last)
		sum := sharesInBoth(last, samples, now)
		w.MaxAssigned = max(w.MaxAssigned, sum)
		if sum > 0 {
			w.Samples++
		}
		last = samples
		select {
		case <-w.done:
			return
		case <-time.After(interval):
		}
	}
}

// heldByBoth adds up what both samples show and what had not expired at a time before the second one.
func sharesInBoth(before, after []shareSample, now int64) (sum int64) {
	for i := range after {
		if now < min(before[i].until, after[i].until) {
			sum += min(before[i].share, after[i].share)
		}
	}
	return sum
}

// sample requests all members' shares at once. One that does not answer, or whose controller does not go by its share
// for certain, has that of the sample before.
func (w *ShareWatch) sample(last []shareSample) []shareSample {
	samples := make([]shareSample, len(last))
	var requests sync.WaitGroup
	for i, m := range w.cluster.Members {
		requests.Go(func() {
			samples[i] = last[i]
			if s, err := w.cluster.Status(m); err == nil && s.AppliedAssignment != 0 {
				samples[i] = shareSample{s.Assignment.Shares[quota.Fleet], s.Assignment.SharesUntil}
			}
		})
	}
	requests.Wait()
	return samples
}

// errNoShare is returned by Stop where no share was seen: nothing is shown then.
var errNoShare = errors.New("no share was seen")

// Stop ends the watch. The error says that more than the whole was held at a moment, or that none was seen.
func (w *ShareWatch) Stop() error {
	close(w.done)
	w.sampling.Wait()
	if w.MaxAssigned > quota.FullShare {
		return fmt.Errorf("%d of %d were held at a moment", w.MaxAssigned, quota.FullShare)
	}
	if w.Samples == 0 {
		return errNoShare
	}
	return nil
}
