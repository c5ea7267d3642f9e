package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/rollout"
)

// world is a fleet in virtual time: controllers with uneven traffic and habits of their own, jobs that fail in clumps, days
// that turn bad for all. The judge and the machine are the real ones; a look is a second.
type world struct {
	r     *rand.Rand
	rates []float64 // jobs a second
	habit []float64 // what each misses more than others, always
	harm  float64   // of jobs by the new version that are cancelled for good
	day   float64   // misses of all, now
}

func newWorld(seed uint64, controllers int, jobs, harm float64) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 11)), harm: harm, day: 0.02}
	for range controllers {
		w.rates = append(w.rates, jobs*math.Exp(0.5*w.r.NormFloat64()-0.125))
		w.habit = append(w.habit, 0.01*w.r.Float64())
	}
	return w
}

// look is a second of each controller's work; on tells who is on the new version.
func (w *world) look(on func(int) bool) (list []canary.Sample) {
	if w.r.Float64() < 0.003 { // a bad spell of 30 s in the mean, for all
		w.day = 0.02 + 0.1*w.r.Float64()
	} else if w.r.Float64() < 0.033 {
		w.day = 0.02
	}
	for i, rate := range w.rates {
		clump := 1.0
		if w.r.Float64() < 0.02 { // an engine stalls under one controller's jobs
			clump = 6
		}
		s := canary.Sample{Member: fmt.Sprintf("c%03d", i), IsNew: on(i), MemoryMB: 40, Counts: map[canary.Group]canary.JobCounts{}}
		for _, g := range []canary.Group{{Type: "lookup", Tenant: "a"}, {Type: "report", Tenant: "a"}} {
			part := map[string]float64{"lookup": 0.8, "report": 0.2}[g.Type]
			n := int(rate * part)
			if w.r.Float64() < rate*part-float64(n) {
				n++
			}
			k := canary.JobCounts{LatencyBuckets: make([]uint64, 64)}
			for range n {
				k.Jobs++
				k.Dispatches++
				switch x := w.r.Float64(); {
				case s.IsNew && w.r.Float64() < w.harm:
					k.Cancelled++
				case x < (w.day+w.habit[i])*clump/4:
					k.Throttled++
				default:
					k.Done++
					if x >= (w.day+w.habit[i])*clump {
						k.WithinSLA++
					}
					k.LatencyBuckets[min(63, max(0, int(20+6*w.r.NormFloat64()+4*math.Log2(clump))))]++
				}
			}
			if n > 0 {
				s.Counts[g] = k
			}
		}
		list = append(list, s)
	}
	return list
}

// course is what came of a change in a world.
type course struct {
	phase   rollout.Phase
	outcome string
	naive   bool // a fixed test asked at every look would have stopped it
	new     uint64
	seconds int // since the first stage
}

// play takes a change through; members do at once as they are ordered.
func (w *world) play(looks int) (c course) {
	pace := change.Pace{BaseMS: 60_000, BakeMS: 60_000, MostMS: int64(looks) * 1000, ApplyMS: 60_000, SteadyMS: 1, UnheardMS: 5000, SharedMS: 30_000,
		SharedTries: 2, HealthyPerMille: 500, LookMS: 1000}
	limits := canary.DefaultLimits()
	m := rollout.New(rollout.State{Phase: rollout.Preparing, Fence: change.Fence{Number: 1, Term: 1, Turn: 1}}, change.Settings, "old", "new", nil, pace, 0)
	base, on := canary.NewBaseline(), make([]bool, len(w.rates))
	var places []change.Place
	var j *canary.Analysis
	var better canary.RecoveryCheck
	var a, b [2]float64 // the naive test's counts
	last, stage, began := rollout.Preparing, -1, 0
	for t := 0; !m.State.Phase.Ends() && t < 10*looks; t++ {
		list := w.look(func(i int) bool { return on[i] })
		in := rollout.Input{Now: int64(t) * 1e9}
		for i, s := range list {
			x := rollout.Member{Name: s.Member, Heard: true, Serves: true, Running: "old"}
			if on[i] {
				x.Running = "new"
			}
			in.Members = append(in.Members, x)
		}
		if s := m.State; s.Phase != last || s.Stage != stage {
			if last, stage = s.Phase, s.Stage; s.Phase == rollout.Applying {
				j, better = canary.NewAnalysis(limits, base, m.New()), canary.RecoveryCheck{}
				if began == 0 {
					began = t
				}
			}
		}
		switch m.State.Phase {
		case rollout.Watching:
			base.Observe(list)
		case rollout.Applying, rollout.Baking:
			j.Observe(list)
			in.Verdict = j.Verdict(m.State.Phase == rollout.Baking && m.Baked(in.Now))
			c.naive = c.naive || m.State.Stage == 0 && naive(list, &a, &b)
			c.new, c.seconds = in.Verdict.NewJobs, t-began
		case rollout.Waiting:
			in.Better = better.Observe(limits, base, list)
		}
		before := m.State.Phase
		m.Step(in)
		if before == rollout.Watching && m.State.Phase == rollout.Applying {
			for i, s := range list {
				places = append(places, change.Place{Name: s.Member, Jobs: uint64(60 * w.rates[i])})
			}
			stages, _ := change.Layout([]change.Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: 1000}}, places)
			m.Lay(stages)
		}
		for _, o := range m.Orders(in) {
			for i, s := range list {
				if s.Member == o.Member {
					on[i] = o.New
				}
			}
		}
	}
	c.phase, c.outcome = m.State.Phase, m.State.Outcome
	return c
}

// naive is the test that this one replaces: two proportions of missed jobs, one in a hundred, asked at every look.
func naive(list []canary.Sample, a, b *[2]float64) bool {
	for _, s := range list {
		at := b
		if s.IsNew {
			at = a
		}
		for _, w := range s.Counts {
			at[0], at[1] = at[0]+float64(w.Jobs-w.WithinSLA), at[1]+float64(w.Jobs)
		}
	}
	if a[1] < 30 || b[1] < 30 {
		return false
	}
	p := (a[0] + b[0]) / (a[1] + b[1])
	return p > 0 && (a[0]/a[1]-b[0]/b[1])/math.Sqrt(p*(1-p)*(1/a[1]+1/b[1])) > 2.326
}

// virtual prints the figures of the judge in virtual time, and tells whether they hold.
func virtual(chart string) bool {
	ok := true
	power := map[int]plotter.XYs{}
	var mu sync.Mutex
	many := func(n int, do func(int)) {
		var wait sync.WaitGroup
		places := make(chan struct{}, runtime.NumCPU())
		for i := range n {
			places <- struct{}{}
			wait.Go(func() { do(i); <-places })
		}
		wait.Wait()
	}
	fmt.Println("in virtual time, changes that change nothing (1 job in 50 misses, clumps, habits, bad spells for all):")
	stopped, naives, undecided, runs := 0, 0, 0, 0
	for _, f := range fleets {
		wrong, passed, fixed, why := 0, 0, 0, map[string]int{}
		many(f.nulls, func(i int) {
			c := newWorld(uint64(1000*f.controllers+i), f.controllers, f.jobs, 0).play(900)
			mu.Lock()
			defer mu.Unlock()
			if c.phase == rollout.Done {
				passed++
			} else if c.phase == rollout.Back {
				wrong++
				why[c.outcome]++
			}
			if c.naive {
				fixed++
			}
		})
		fmt.Printf("  %3d controllers, %4.0f jobs/s each: %d changes, %d passed, %d taken back; a fixed test asked each second: %d\n", f.controllers, f.jobs, f.nulls, passed, wrong, fixed)
		for _, text := range slices.Sorted(maps.Keys(why)) {
			fmt.Printf("      %d: %s\n", why[text], text)
		}
		stopped, naives, runs, undecided = stopped+wrong, naives+fixed, runs+f.nulls, undecided+f.nulls-wrong-passed
	}
	fmt.Printf("  in all %d of %d taken back (%.2f%%), the fixed test %.1f%%\n", stopped, runs, 100*float64(stopped)/float64(runs), 100*float64(naives)/float64(runs))
	if 100*stopped >= runs || undecided > 0 {
		fmt.Println("FAILED: one in a hundred, or one without an end")
		ok = false
	}
	fmt.Println("harm (jobs cancelled for good): taken back, median jobs by the new version and seconds since the first stage")
	for _, f := range fleets {
		fmt.Printf("  %3d controllers:", f.controllers)
		for _, harm := range []float64{0.01, 0.02, 0.05, 0.1, 0.2} {
			var jobs, seconds []int
			many(f.harms, func(i int) {
				c := newWorld(uint64(7000*f.controllers+i), f.controllers, f.jobs, harm).play(900)
				mu.Lock()
				defer mu.Unlock()
				if c.phase == rollout.Back {
					jobs, seconds = append(jobs, int(c.new)), append(seconds, c.seconds)
				}
			})
			if slices.Sort(jobs); len(jobs) == 0 {
				fmt.Printf("  %g%%: 0/%d", 100*harm, f.harms)
				continue
			}
			slices.Sort(seconds)
			power[f.controllers] = append(power[f.controllers], plotter.XY{X: 100 * harm, Y: float64(jobs[len(jobs)/2])})
			fmt.Printf("  %g%%: %d/%d %d jobs %d s", 100*harm, len(jobs), f.harms, jobs[len(jobs)/2], seconds[len(seconds)/2])
			if harm >= 0.05 && len(jobs) < f.harms {
				ok = false
			}
		}
		fmt.Println()
	}
	if !ok {
		fmt.Println("FAILED: a harm of 5% or more was let through, or the figures above")
	}
	if chart != "" {
		if err := draw(chart, power); err != nil {
			fmt.Println("FAILED:", err)
			ok = false
		}
	}
	return ok
}

// draw draws how many jobs the new version had when a harm was found.
func draw(path string, power map[int]plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "found harm", "harm, % of jobs cancelled for good", "jobs by the new version, median"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for i, n := range slices.Sorted(maps.Keys(power)) {
		line, points, err := plotter.NewLinePoints(power[n])
		if err != nil {
			return err
		}
		line.Dashes, points.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(fmt.Sprintf("%d controllers", n), line, points)
	}
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}

// fleets of the virtual runs.
var fleets = []struct {
	controllers  int
	jobs         float64
	nulls, harms int
}{{3, 20, 600, 30}, {30, 5, 360, 15}, {300, 2, 40, 4}}
