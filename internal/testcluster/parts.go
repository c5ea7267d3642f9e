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
type PartsWatch struct {
	town *Town
	stop chan struct{}
	wait sync.WaitGroup

	mu    sync.Mutex
	Most  int64 // of the fleet that was out at a moment
	Looks int   // with any out
}

type partAt struct {
	share int64
	until int64
}

// WatchParts begins.
func (t *Town) WatchParts(every time.Duration) *PartsWatch {
	p := &PartsWatch{town: t, stop: make(chan struct{})}
	p.wait.Go(func() {
		last := make([]partAt, len(t.Members))
		for {
			at := monotonic.Now()
			now := p.look(last)
			sum := int64(0)
			for i := range now {
				if both := min(last[i].share, now[i].share); at < min(last[i].until, now[i].until) {
					sum += both
				}
			}
			p.mu.Lock()
			if p.Most = max(p.Most, sum); sum > 0 {
				p.Looks++
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

func (p *PartsWatch) look(last []partAt) []partAt {
	now := make([]partAt, len(last))
	var wait sync.WaitGroup
	for i, m := range p.town.Members {
		wait.Go(func() {
			now[i] = last[i]
			if s, err := p.town.Status(m); err == nil && s.AppliedAssignment != 0 { // else its controller goes by the part before
				now[i] = partAt{s.Assignment.Shares[quota.Fleet], s.Assignment.SharesUntil}
			}
		})
	}
	wait.Wait()
	return now
}

// Stop ends it, and tells what was wrong.
func (p *PartsWatch) Stop() error {
	close(p.stop)
	p.wait.Wait()
	if p.Most > quota.FullShare {
		return fmt.Errorf("%d of %d were out", p.Most, quota.FullShare)
	}
	if p.Looks == 0 {
		return fmt.Errorf("no part was seen")
	}
	return nil
}
