package testcluster

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

// ShareWatch periodically samples the fleet shares that a cluster's controllers apply. It counts only shares that were
// certainly held at the same time: those that two consecutive samples show, and those that an unreachable member must
// still hold.
type ShareWatch struct {
	cluster  *Cluster
	done     chan struct{}
	sampling sync.WaitGroup

	// Valid once Stop has returned.
	MaxShareSum int64 // largest sum of shares held at the same time, in units of quota.FullShare
	Samples     int   // number of samples with any share held
}

// shareSample is the share of a member.
type shareSample struct {
	share int64
	until int64 // expiry, on the machine's monotonic clock
}

// WatchShares starts sampling at an interval.
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
		w.MaxShareSum = max(w.MaxShareSum, sum)
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

// sharesInBoth returns the sum of the shares that both samples show and that had not expired at now, a time before the
// second sample.
func sharesInBoth(before, after []shareSample, now int64) (sum int64) {
	for i := range after {
		if now < min(before[i].until, after[i].until) {
			sum += min(before[i].share, after[i].share)
		}
	}
	return sum
}

// sample requests the shares of all members concurrently. A member that does not answer, or whose controller has not
// certainly applied its share, keeps the value of the previous sample.
func (w *ShareWatch) sample(last []shareSample) []shareSample {
	samples := make([]shareSample, len(last))
	var requests sync.WaitGroup
	for i, m := range w.cluster.Members {
		requests.Go(func() {
			samples[i] = last[i]
			if s, err := w.cluster.Status(m); err == nil && s.AppliedAssignment != 0 {
				samples[i] = shareSample{s.Assignment.Shares[quota.FleetThreads], s.Assignment.SharesUntil}
			}
		})
	}
	requests.Wait()
	return samples
}

// errNoShare is returned by Stop if no sample had a share, since the watch then shows nothing.
var errNoShare = errors.New("no share was held in any sample")

// Stop stops the watch. It returns an error if the shares held at some time exceeded the whole, or if no sample had a
// share.
func (w *ShareWatch) Stop() error {
	close(w.done)
	w.sampling.Wait()
	if w.MaxShareSum > quota.FullShare {
		return fmt.Errorf("shares held at the same time sum to %d of %d", w.MaxShareSum, quota.FullShare)
	}
	if w.Samples == 0 {
		return errNoShare
	}
	return nil
}
