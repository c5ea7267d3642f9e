package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// scenario is a change that goes through a town of its own.
type scenario struct {
	name        string
	program     string // a build; "" where the change is one of settings
	seed        uint64
	controllers int
	engines     int
	kill        bool // its conductor, in each phase
	brief       bool
	loses       bool // an engine in the first stage, which is no fault of the change
	faults      []fault
	want        rollout.Phase
	lastStage   int // at most so far before it is taken back
}

// fault is a line of a schedule: data, so that one that finds something can be played again.
type fault struct {
	AtMS   int64                `json:"at_ms"`
	Member int                  `json:"member"`
	Way    testcluster.LinkMode `json:"way"`
	Delay  int64                `json:"delay_ms"`
	Repeat bool                 `json:"repeat"`  // an order, once more
	Stop   int64                `json:"stop_ms"` // SIGSTOP of the keeper, for so long
}

// schedule draws faults of links and keepers from a seed; the last ones end all.
func schedule(seed uint64, members int, spanMS int64) (list []fault) {
	r := rand.New(rand.NewPCG(seed, 7))
	for at := int64(200); at < spanMS; at += 100 + r.Int64N(400) {
		f := fault{AtMS: at, Member: r.IntN(members)}
		switch r.IntN(4) {
		case 0:
			f.Repeat = true
		case 1:
			f.Stop = 50 + r.Int64N(600)
		default:
			f.Way = testcluster.LinkMode(r.IntN(5))
			f.Delay = 20 + r.Int64N(300)
		}
		list = append(list, f)
	}
	for i := range members {
		list = append(list, fault{AtMS: spanMS, Member: i})
	}
	return list
}

// pace is short, as the proof has a minute; brief is for what is not about the judge.
const (
	pace = `"pace":{"base_ms":2500,"bake_ms":4000,"most_ms":30000,"apply_ms":12000,"steady_ms":200,"unheard_ms":2500,"shared_ms":3000,"look_ms":100},
"limits":{"jobs_wanted":200,"shared_per_mille":150,"cpu_percent":300}`
	brief = `"pace":{"base_ms":500,"bake_ms":500,"most_ms":30000,"apply_ms":12000,"steady_ms":50,"unheard_ms":1500,"shared_ms":3000,"look_ms":50},
"limits":{"jobs_wanted":20,"shared_per_mille":500,"slower_per_mille":500,"missed_per_mille":300,"cpu_percent":1000}`
)

// told is what came of a scenario.
type told struct {
	scenario
	phase      rollout.Phase
	stage      int // reached, from 1
	outcome    string
	jobs, new  int64 // answered in all; by the new version
	broken     int64 // connections, before an answer
	harm       time.Duration
	violations []rulecheck.Violation
	kills      int
	err        error
}

func (s scenario) play(base string) (t told) {
	t = told{scenario: s}
	town, err := testcluster.Config{Program: base, Seed: s.seed, Controllers: s.controllers, Engines: s.engines}.Start()
	if err != nil {
		t.err = err
		return t
	}
	defer town.Close()
	load := town.StartLoad(s.seed, 3, 24*time.Millisecond, true)
	folder := filepath.Join(town.Dir, "record")
	file := filepath.Join(town.Dir, "change.json")
	text := fmt.Sprintf(`{"number":1,"kind":"settings","to":{"shape":{"budget_free":5}},"stages":[{"per_mille":1},{"per_mille":400},{"per_mille":1000}],%s}`, map[bool]string{false: pace, true: brief}[s.brief])
	if s.program != "" {
		text = fmt.Sprintf(`{"number":1,"kind":"program","to":{"program":%q},"stages":[{"per_mille":1},{"per_mille":400},{"per_mille":1000}],%s}`, s.program, pace)
	}
	if t.err = os.WriteFile(file, []byte(text), 0o600); t.err != nil {
		return t
	}
	done := make(chan struct{})
	go s.trouble(town, done)
	if s.loses {
		go func() {
			town.WaitUntil(20*time.Second, func() bool {
				r, _, err := coordinator.Look(folder).Record()
				return err == nil && r.State.Phase == rollout.Baking
			})
			town.CrashEngine("e1")
		}()
	}
	t.kills, t.err = s.conduct(town, base, folder, file)
	close(done)
	load.Stop()
	r, _, err := coordinator.Look(folder).Record()
	if err != nil && t.err == nil {
		t.err = err
	}
	t.phase, t.stage, t.outcome = r.State.Phase, r.State.Stage+1, r.State.Outcome
	for _, v := range r.State.Verdicts {
		t.new = max(t.new, int64(v.NewJobs))
	}
	t.harm = span(folder)
	t.jobs, t.broken = load.Done.Load()+load.Throttled.Load()+load.Cancelled.Load(), load.Broken.Load()
	want := r.From.Digest()
	if t.phase == rollout.Done {
		want = r.To.Digest()
	}
	for _, m := range town.Members {
		if s, err := town.Status(m); t.err == nil && (err != nil || s.RunningSpec != want) {
			t.err = fmt.Errorf("%s runs %s, wanted %s: %v", m.Name, s.RunningSpec, want, err)
		}
		if t.err == nil {
			t.err = fences(m.Supervisor.Log())
		}
	}
	if err := town.Stop(); t.err == nil {
		t.err = err
	}
	t.violations = rulecheck.Check(testcluster.Rules, town.Events.Entries())
	return t
}

// trouble plays the schedule.
func (s scenario) trouble(town *testcluster.Cluster, done chan struct{}) {
	began := time.Now()
	for _, f := range s.faults {
		select {
		case <-done:
			return
		case <-time.After(time.Until(began.Add(time.Duration(f.AtMS) * time.Millisecond))):
		}
		m := town.Members[f.Member]
		switch {
		case f.Repeat:
			m.Link.ReplayLastOrder()
		case f.Stop > 0:
			m.Supervisor.Signal(syscall.SIGSTOP)
			time.AfterFunc(time.Duration(f.Stop)*time.Millisecond, func() { m.Supervisor.Signal(syscall.SIGCONT) })
		default:
			m.Link.SetMode(f.Way, time.Duration(f.Delay)*time.Millisecond)
		}
	}
}

// conduct runs conductors until the change ends. Where they are killed, it is once in each phase that the record shows.
func (s scenario) conduct(town *testcluster.Cluster, program, folder, file string) (kills int, err error) {
	killed := map[string]bool{}
	args := []string{"start", file}
	if len(s.faults) > 0 { // the start needs all to answer
		defer func() { kills = 0 }()
	}
	for {
		p, err := town.StartCoordinator(program, folder, args...)
		if err != nil {
			return kills, err
		}
		kill := func() bool {
			r, is, err := coordinator.Look(folder).Record()
			at := fmt.Sprint(r.State.Phase, r.State.Stage)
			if s.kill && err == nil && is && !r.State.Phase.Ends() && !killed[at] {
				killed[at] = true
				return true
			}
			return false
		}
		for !p.Exited() && !kill() {
			time.Sleep(2 * time.Millisecond)
		}
		if p.Exited() {
			end := p.WaitExit()
			if r, is, _ := coordinator.Look(folder).Record(); is && r.State.Phase.Ends() {
				return kills, nil
			}
			if kills > 0 && strings.Contains(p.Log(), "another process conducts") { // the killed one's lock is not free yet
				continue
			}
			return kills, fmt.Errorf("the conductor ended: %v: %s", end, p.Log())
		}
		p.Kill()
		kills++
		args = []string{"resume", "--conduct"}
	}
}

// span is from the first stage's beginning to the decision to go back, or to the end.
func span(folder string) time.Duration {
	list, _ := coordinator.Look(folder).History()
	var from, to time.Time
	for _, s := range list {
		if s.Phase == rollout.Applying && s.Stage == 0 && from.IsZero() {
			from = s.At
		}
		if to.IsZero() && (s.Phase == rollout.GoingBack || s.Phase == rollout.Done) {
			to = s.At
		}
	}
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// fences holds that a keeper took its orders in their order.
func fences(log string) error {
	var last change.Fence
	for line := range strings.Lines(log) {
		_, text, is := strings.Cut(line, "msg=order_accepted fence=")
		if !is {
			continue
		}
		var f change.Fence
		if _, err := fmt.Sscanf(text, "%d.%d.%d", &f.Number, &f.Term, &f.Turn); err != nil {
			return err
		}
		if f.Compare(last) <= 0 {
			return fmt.Errorf("order %v was taken after %v", f, last)
		}
		last = f
	}
	return nil
}
