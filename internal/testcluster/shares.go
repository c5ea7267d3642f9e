package testcluster

import (
	"fmt"
	"sync"
	"time"

	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

// PartsWatch looks again and again at what a town's controllers go by of the whole. It counts only what was held at one
// moment for certain: what two looks, one after the other, both show, or what one that cannot be asked must still hold.
type ShareWatch struct {
	town *Cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu          sync.Mutex
	MaxAssigned int64 // of the fleet that was out at a moment
	Samples     int   // with any out
}

type shareSample struct {
	share int64
	until int64
}

// WatchParts begins.
func (t *Cluster) WatchShares(every time.Duration) *ShareWatch {
	p := &ShareWatch{town: t, stop: make(chan struct{})}
	p.wait.Go(func() {
		last := make([]shareSample, len(t.Members))
		for {
			at := monotonic.Now()
			now := p.sample(last)
			sum := int64(0)
			for i := range now {
				if both := min(last[i].share, now[i].share); at < min(last[i].until, now[i].until) {
					sum += both
				}
			}
			p.mu.Lock()
			if p.MaxAssigned = max(p.MaxAssigned, sum); sum > 0 {
				p.Samples++
			}
			p.mu.Unlock()
			last = now
			select {
			case <-p.stop:
				return
			case <-time.After(every):
			}
		}
	})
	return p
}

func (p *ShareWatch) sample(last []shareSample) []shareSample {
	now := make([]shareSample, len(last))
	var wait sync.WaitGroup
	for i, m := range p.town.Members {
		wait.Go(func() {
			now[i] = last[i]
			if s, err := p.town.Status(m); err == nil && s.Carried != 0 { // else its controller goes by the part before
				now[i] = shareSample{s.Word.Part[quota.Fleet], s.Word.PartUntil}
			}
		})
	}
	wait.Wait()
	return now
}

// Stop ends it, and tells what was wrong.
func (p *ShareWatch) Stop() error {
	close(p.stop)
	p.wait.Wait()
	if p.MaxAssigned > quota.Whole {
		return fmt.Errorf("%d of %d were out", p.MaxAssigned, quota.Whole)
	}
	if p.Samples == 0 {
		return fmt.Errorf("no part was seen")
	}
	return nil
}
