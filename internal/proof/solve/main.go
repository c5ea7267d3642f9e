// Command solve proves the solver: make proof-solve. It prints its tables and ends with 1 where a figure fails.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

var failed bool

func fail(text string, v ...any) {
	failed = true
	fmt.Printf("FAILED: "+text+"\n", v...)
}

func main() {
	began := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	small(2000)
	cold()
	ordinary(50)
	large()
	growth()
	follow()
	cost()
	fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
	if failed {
		os.Exit(1)
	}
}

// each runs n pieces of work on up to workers cores; what they find is added up in their order.
func each(n, workers int, work func(i int)) {
	var wait sync.WaitGroup
	next := make(chan int)
	for range min(workers, runtime.NumCPU()) {
		wait.Go(func() {
			for i := range next {
				work(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
}

// small holds the solver against trying all.
func small(n int) {
	type result struct {
		wrong               string
		none, passed, needs bool
		sets, members       int
		solver, tried       time.Duration
	}
	list := make([]result, n)
	each(n, 64, func(i int) {
		r, p := &list[i], draw.Small(rand.New(rand.NewPCG(2026, uint64(i))))
		at := time.Now()
		want := solve.Solve(p, solve.Options{Method: solve.Exhaustive{}})
		r.tried, at = time.Since(at), time.Now()
		got := solve.Solve(p, solve.Options{})
		r.solver = time.Since(at)
		if r.passed = want.Status == solve.Unknown; r.passed {
			return
		}
		if r.none = want.Status == solve.Infeasible; got.Status != want.Status || got.Value != want.Value || got.Cost != want.Cost || got.Evenness != want.Evenness {
			r.wrong = fmt.Sprintf("%s %d %d %d, by trying all %s %d %d %d", got.Status, got.Value, got.Cost, got.Evenness, want.Status, want.Value, want.Cost, want.Evenness)
		}
		for _, s := range got.Steps {
			if err := solve.Verify(p, s); err != nil {
				r.wrong = err.Error()
			}
		}
		if r.none && len(got.Conflicts) == 0 {
			r.wrong = "no answer, and no conflict told"
		}
		for _, c := range got.Conflicts {
			if c.FromMS != 0 {
				continue // the names tell figures of that moment
			}
			r.sets, r.members = r.sets+1, r.members+len(c.Demands)
			if why := reducible(p, c); why != "" {
				r.wrong = why
			}
		}
	})
	none, passed, sets, members := 0, 0, 0, 0
	var times, tries []time.Duration
	for i, r := range list {
		if r.wrong != "" {
			fail("problem %d: %s", i, r.wrong)
		}
		if r.none {
			none++
		}
		if r.passed {
			passed++
		}
		sets, members = sets+r.sets, members+r.members
		times, tries = append(times, r.solver), append(tries, r.tried)
	}
	if passed > 0 || none < n/4 || none > n/2 {
		fail("%d were too large to try, %d of %d have no answer: a third should", passed, none, n)
	}
	fmt.Printf("%d problems of up to 6 engines and 4 types, %d without an answer: all three objectives equal to trying all\n", n, none)
	fmt.Printf("  %d conflicts, %d demands in them, each proved needed by trying all\n", sets, members)
	fmt.Printf("  solver %s; trying all %s\n\n", spread(times), spread(tries))
}

// reducible holds a conflict against trying all: impossible together, possible without any one.
func reducible(p *solve.Problem, c solve.Conflict) string {
	var names []string
	for _, m := range c.Demands {
		names = append(names, m.Demand)
	}
	if fits, known := solve.Fits(p, names); fits || !known {
		return fmt.Sprintf("no conflict: %q", names)
	}
	for i := range names {
		if fits, known := solve.Fits(p, slices.Delete(slices.Clone(names), i, i+1)); !fits || !known {
			return fmt.Sprintf("%q is not needed in %q", names[i], names)
		}
	}
	return ""
}

func spread(times []time.Duration) string {
	slices.Sort(times)
	at := func(part float64) time.Duration {
		return times[int(part*float64(len(times)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("median %v, p90 %v, p99 %v, most %v", at(0.5), at(0.9), at(0.99), at(1))
}

// cold looks at every moment of warm-ups, not only where steps begin.
func cold() {
	steps, moments := 0, 0
	for seed := range uint64(30) {
		p := draw.Ordinary(seed, 8, 2, 3, 3, 1.1)
		p.Constraints = solve.Constraints{}
		r := rand.New(rand.NewPCG(seed, 4))
		for i := range p.Engines {
			if seed%3 == 0 || r.IntN(2) == 0 { // every third: all are cold
				p.Engines[i].State, p.Engines[i].CapacityPerMille, p.Engines[i].WarmInMS = solve.Started, int64(r.IntN(600)), int64(1000+r.IntN(20000))
			}
		}
		began := time.Now()
		a := solve.Solve(p, solve.Options{Stop: func(k int) bool { return time.Since(began) > 100*time.Millisecond*time.Duration(k)/1000 }})
		for i, s := range a.Steps {
			steps++
			end := int64(25000)
			if i+1 < len(a.Steps) {
				end = a.Steps[i+1].FromMS
			}
			given := map[string]int64{}
			for _, t := range s.Threads {
				given[t.Engine] += t.Threads
			}
			for at := s.FromMS; at < end; at += 50 {
				for _, e := range p.Engines {
					moments++
					part := int64(1_000_000)
					if e.State == solve.Started && at < e.WarmInMS {
						part = 1000*e.CapacityPerMille + (1_000_000-1000*e.CapacityPerMille)*at/e.WarmInMS
					}
					if e.State == solve.Draining {
						part = 0
					}
					if given[e.Name]*1_000_000 > e.Cores*2*part {
						fail("seed %d: engine %s runs %d threads at %d ms, its part is %d of %d", seed, e.Name, given[e.Name], at, part, e.Cores*2)
					}
				}
			}
		}
	}
	if steps < 100 {
		fail("only %d steps", steps)
	}
	fmt.Printf("cold engines: 30 fleets, %d steps, looked at at %d moments: none over its part of rule 4\n\n", steps, moments)
}

// timed solves within a time and tells when the value's stage ended.
func timed(p *solve.Problem, within time.Duration) (a solve.Answer, value, whole time.Duration) {
	began := time.Now()
	a = solve.Solve(p, solve.Options{Stop: func(k int) bool {
		took := time.Since(began)
		if k > 600 && value == 0 {
			value = took
		}
		return took >= within*time.Duration(k)/1000
	}})
	return a, value, time.Since(began)
}

func ordinary(n int) {
	const most = 0.001
	type result struct {
		solve.Answer
		value, whole time.Duration
		err          error
	}
	list := make([]result, n)
	each(n, max(1, runtime.NumCPU()/2), func(i int) {
		p := draw.Ordinary(uint64(i), 40, 3, 6, 12, 0.6+0.015*float64(i))
		a, value, whole := timed(p, time.Second)
		list[i] = result{Answer: a, value: value, whole: whole}
		for _, s := range a.Steps {
			if err := solve.Verify(p, s); err != nil {
				list[i].err = err
			}
		}
	})
	proved, none := 0, 0
	var times []time.Duration
	var gaps, dearer []float64
	for i, r := range list {
		times = append(times, r.value)
		if r.whole > 1300*time.Millisecond {
			fail("ordinary %d took %v", i, r.whole)
		}
		if r.Status == solve.Infeasible {
			none++
			continue
		}
		if r.Proved.Value {
			proved++
		}
		gaps = append(gaps, r.Gap)
		dearer = append(dearer, float64(r.Cost-r.CostBound)/float64(max(1, r.CostBound)))
		if r.err != nil || r.Status == solve.Unknown || r.Gap > most {
			fail("ordinary %d: %s, gap %.5f %v", i, r.Status, r.Gap, r.err)
		}
	}
	slices.Sort(gaps)
	slices.Sort(dearer)
	fmt.Printf("%d ordinary fleets (40 engines, 3 zones, 6 types, 12 tenants; 0.6 to 1.35 of capacity asked), 1 s each on one core:\n", n)
	fmt.Printf("  value proved best in %d, proved that no answer fits in %d, greatest gap %.4f%% (at most %.1f%%)\n", proved, none, 100*gaps[len(gaps)-1], 100*most)
	fmt.Printf("  cost over its bound: median %.3f%%, most %.3f%% (the second part of the objective, where the first stands)\n", 100*dearer[len(dearer)/2], 100*dearer[len(dearer)-1])
	fmt.Printf("  time until the value was settled: %s\n\n", spread(times))
}

func large() {
	p := draw.Ordinary(1, 300, 3, 8, 40, 1.1)
	a, value, whole := timed(p, 10*time.Second)
	if a.Status == solve.Unknown || whole > 11*time.Second {
		fail("300 engines: %s in %v", a.Status, whole)
	}
	for _, s := range a.Steps {
		if err := solve.Verify(p, s); err != nil {
			fail("300 engines: %v", err)
		}
	}
	fmt.Printf("300 engines, 8 types, 40 tenants, 10 s: %s, gap %.4f%%, value settled after %v, in all %v\n\n", a.Status, 100*a.Gap,
		value.Round(time.Millisecond), whole.Round(time.Millisecond))
}

func growth() {
	fmt.Println("how time grows (3 zones, 6 types, 12 tenants, 1.1 of capacity asked, seed 7, 1.5 s):")
	fmt.Println("  engines   value settled after   gap")
	for _, engines := range []int{10, 20, 40, 80, 160} {
		a, value, _ := timed(draw.Ordinary(7, engines, 3, 6, 12, 1.1), 1500*time.Millisecond)
		fmt.Printf("  %7d   %19v   %.4f%%\n", engines, value.Round(time.Millisecond), 100*a.Gap)
	}
}
