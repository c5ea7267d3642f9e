package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// mostStatus bounds a status's text.
const mostStatus = 16 << 20

// Fleet speaks with keepers. One that is slow to answer holds up nobody: it is waited for a while, and what it says later
// counts at the next look.
type Fleet struct {
	Members  []operator.Member
	Engines  bool // statuses are asked for with the engines seen
	patience time.Duration
	http     http.Client
	places   chan struct{} // who may be spoken with at once
	doubtful chan struct{} // of these, who failed last
	began    time.Time
	chance   *rand.Rand // under the lock

	mu    sync.Mutex
	lines []line // by the member's place
	heard int    // that answered at the last look
	asked bool
}

// line is what goes on with a keeper: one question and one order at a time.
type line struct {
	back           backoff
	asked, ordered bool
	answer         *Answer
	refused        error
}

// inFlight is how many keepers are spoken with at once.
const inFlight = 64

// NewFleet speaks with those named. limit is for one answer; patience is for a look at all, and no more than that.
func NewFleet(members []operator.Member, limit, patience time.Duration) *Fleet {
	seed := fnv.New64a()
	for _, m := range members {
		seed.Write([]byte(m.Name))
	}
	return &Fleet{Members: members, patience: min(limit, patience), places: make(chan struct{}, inFlight), doubtful: make(chan struct{}, doubtful), began: time.Now(),
		chance: rand.New(rand.NewPCG(seed.Sum64(), uint64(len(members)))), lines: make([]line, len(members)),
		http: http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
}

// Answer is a keeper's status, or why there is none.
type Answer struct {
	Status supervisor.Status
	Err    error
}

var errSilent = errors.New("no answer yet")

// Ask asks all at once. The answers are in the order of members.
func (f *Fleet) Ask(ctx context.Context) []Answer {
	f.speak(func(l *line) *bool { return &l.asked }, func(i int) bool { return true }, func(i int) {
		a := f.status(ctx, f.Members[i])
		f.mu.Lock()
		f.lines[i].answer = &a
		f.lines[i].back.ended(int64(time.Since(f.began)), a.Err == nil, f.chance)
		f.mu.Unlock()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Answer, len(f.Members))
	f.heard, f.asked = 0, true
	for i := range f.lines {
		if list[i].Err = errSilent; f.lines[i].answer != nil {
			list[i], f.lines[i].answer = *f.lines[i].answer, nil
		}
		if list[i].Err == nil {
			f.heard++
		}
	}
	return list
}

// Heard is how many members answered at the last look, of how many; 0 of 0 before the first.
func (f *Fleet) Heard() (n, of int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.asked {
		return 0, 0
	}
	return f.heard, len(f.Members)
}

func (f *Fleet) status(ctx context.Context, m operator.Member) (a Answer) {
	url := "http://" + m.Address() + "/v1/status"
	if f.Engines {
		url += "?engines=1"
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err == nil {
		var text []byte
		if text, err = f.do(q, http.StatusOK); err == nil {
			a.Status, err = supervisor.ReadStatus(text)
		}
	}
	if err == nil && a.Status.Name != m.Name {
		err = fmt.Errorf("%s answers as %q", m.Address(), a.Status.Name)
	}
	a.Err = err
	return a
}

// Order sends orders, by the member's place; it tells which were refused or did not arrive, as far as known by now. Where
// the last is still on its way no other is sent: what is wanted is ordered again at the next look.
func (f *Fleet) Order(ctx context.Context, orders map[int]change.Order) map[int]error {
	return post(ctx, f, "/v1/order", orders)
}

// Hand sends words of the fleet's owner, as Order does.
func (f *Fleet) Hand(ctx context.Context, words map[int]assignment.Assignment) map[int]error {
	return post(ctx, f, "/v1/word", words)
}

func post[T any](ctx context.Context, f *Fleet, path string, what map[int]T) map[int]error {
	f.speak(func(l *line) *bool { return &l.ordered }, func(i int) bool { _, is := what[i]; return is }, func(i int) {
		text, err := json.Marshal(what[i])
		if err == nil {
			var q *http.Request
			if q, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Members[i].Address()+path, bytes.NewReader(text)); err == nil {
				_, err = f.do(q, http.StatusNoContent)
			}
		}
		f.mu.Lock()
		f.lines[i].refused = err
		f.mu.Unlock()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	errs := map[int]error{}
	for i := range f.lines {
		if l := &f.lines[i]; !l.ordered && l.refused != nil {
			errs[i], l.refused = l.refused, nil
		}
	}
	return errs
}

// speak does something with each member that is to be spoken with, that is due and not spoken with so already, and waits for all,
// but no longer than its patience.
func (f *Fleet) speak(busy func(*line) *bool, with func(int) bool, do func(int)) {
	var wait sync.WaitGroup
	for i := range f.Members {
		f.mu.Lock()
		if b := busy(&f.lines[i]); with(i) && !*b && f.lines[i].back.due(int64(time.Since(f.began))) {
			*b = true
			failed := f.lines[i].back.failed > 0
			wait.Go(func() {
				if failed {
					f.doubtful <- struct{}{}
					defer func() { <-f.doubtful }()
				}
				f.places <- struct{}{}
				do(i)
				<-f.places
				f.mu.Lock()
				*b = false
				f.mu.Unlock()
			})
		}
		f.mu.Unlock()
	}
	all := make(chan struct{})
	go func() {
		wait.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(f.patience):
	}
}

func (f *Fleet) do(q *http.Request, well int) ([]byte, error) {
	a, err := f.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, mostStatus))
	if err == nil && a.StatusCode != well {
		err = fmt.Errorf("%s: %s", a.Status, bytes.TrimSpace(text[:min(len(text), 500)]))
	}
	return text, err
}

// known is what is remembered of a controller from look to look.
type known struct {
	status supervisor.Status
	heard  int64 // conductor's time; 0: never
	since  int64 // it runs the new version; 0: it does not
}

// apart takes the counts since the look before: a controller that has started anew has counted from nothing.
func (k *known) apart(s supervisor.Status) (d canary.Sample) {
	d = canary.Sample{Member: s.Name, MemoryMB: s.MemoryMB, EjectedEngines: s.EjectedEngines, Counts: map[canary.Group]canary.JobCounts{}}
	if k.heard == 0 {
		return d
	}
	was := k.status
	d.Crashes = s.Crashes - min(s.Crashes, was.Crashes)
	if was.StartedUnixNS != s.StartedUnixNS {
		was = supervisor.Status{}
	}
	d.Probes, d.CPUNS = s.Probes-min(s.Probes, was.Probes), max(0, s.CPUNS-was.CPUNS)
	for g, w := range s.JobCounts {
		if n := w.Minus(was.JobCounts[g]); n.Jobs > 0 {
			d.Counts[g] = n
		}
	}
	return d
}
