// Command owner has fleets of real processes agree on an owner while voters are killed, stopped and cut off, and changes go
// through under whoever owns: make proof-owner. It ends with 1 where a figure fails.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/leader"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

const (
	voters, listeners = 5, 5
	towns, each       = 4, 5 // schedules a town, one after the other
)

// pace is brief: what is judged is not the judge.
const pace = `"stages":[{"per_mille":1},{"per_mille":500},{"per_mille":1000}],"pace":{"base_ms":300,"bake_ms":300,"most_ms":60000,"apply_ms":20000,"steady_ms":1,"unheard_ms":2500,"shared_ms":3000,"look_ms":50},
"limits":{"jobs_wanted":5,"shared_per_mille":900,"slower_per_mille":900,"missed_per_mille":900,"throttled_per_mille":900,"cpu_percent":5000,"memory_percent":5000,"crashes":1000}`

func main() {
	program := flag.String("program", "bin/swiftreel", "the program")
	as := flag.String("as", "", "for its own use: a voter of that name, or poll")
	file := flag.String("file", "", "for its own use")
	only := flag.String("only", "", "costs, shares or virtual: nothing else")
	flag.Parse()
	if *as != "" {
		if err := stands(*as, *file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if *only != "" {
		err := error(nil)
		if *only == "virtual" {
			err = virtual(*program)
		}
		if err != nil {
			fmt.Println("FAILED:", err)
		}
		if err != nil || *only == "costs" && !costs() || *only == "shares" && !shares(*program) {
			os.Exit(1)
		}
		return
	}
	began := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n%d towns of %d voters and %d listeners, %d schedules of kills, stops and cut links each\n",
		runtime.NumCPU(), runtime.Version(), towns, voters, listeners, each)
	var mu sync.Mutex
	var wait sync.WaitGroup
	failed := false
	wait.Go(func() {
		costly := !costs()
		off := !shares(*program)
		mu.Lock()
		defer mu.Unlock()
		failed = failed || costly || off
	})
	fail := func(town int, text string, v ...any) {
		mu.Lock()
		defer mu.Unlock()
		failed = true
		fmt.Printf("FAILED: town %d: %s\n", town, fmt.Sprintf(text, v...))
	}
	gaps := map[string][]time.Duration{}
	jobs, done, broken, reigns, mostOut, plans := int64(0), int64(0), int64(0), 0, int64(0), 0
	without := &play{program: *program, number: towns + 1, plain: true}
	wait.Go(func() {
		if err := without.run(); err != nil {
			fail(towns, "%v", err)
		}
	})
	var lost []string
	for i := range towns + 1 {
		wait.Go(func() {
			p := &play{program: *program, number: i, steps: i == towns, r: rand.New(rand.NewPCG(uint64(i), 9)), gaps: map[string][]time.Duration{}}
			if err := p.run(); err != nil {
				fail(i, "%v", err)
			}
			for _, v := range p.violations {
				fail(i, "%v", v)
			}
			mu.Lock()
			defer mu.Unlock()
			for how, list := range p.gaps {
				gaps[how] = append(gaps[how], list...)
			}
			jobs, done, broken, reigns = jobs+p.jobs, done+p.done, broken+p.broken, reigns+p.reigns
			lost = append(lost, p.lost...)
			mostOut, plans = max(mostOut, p.mostOut), plans+p.plans
		})
	}
	wait.Wait()
	for _, how := range []string{"killed", "stopped", "cut off", "stepped down"} {
		if list := gaps[how]; len(list) > 0 {
			slices.Sort(list)
			fmt.Printf("  owner %-12s %2d times; until another acts: median %4d ms, longest %4d ms\n", how, len(list), list[len(list)/2].Milliseconds(), list[len(list)-1].Milliseconds())
		}
	}
	fmt.Printf("  changes through all controllers %d, reigns seen at keepers %d, jobs %d, done %.2f%%, cut off %d (controllers of killed keepers die with them)\n",
		towns*each, reigns, jobs, 100*float64(done)/float64(max(1, jobs)), broken)
	fmt.Printf("  one owner lost in each step of a change: %v; then %d voters lost their memory one by one and came back under new numbers\n", lost, voters)
	share, plain := float64(done)/float64(max(1, jobs)), float64(without.done)/float64(max(1, without.jobs))
	fmt.Printf("  parts: at most %.1f%% of the whole out at a moment; plans taken %d; the same load without an owner: jobs %d, done %.2f%%\n", float64(mostOut)/1e4, plans, without.jobs, 100*plain)
	if jobs == 0 || without.jobs == 0 || share < plain-0.01 || plans == 0 {
		fmt.Println("FAILED: a point less done than without any owner, or no plan was taken")
		failed = true
	}

	fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
	if failed {
		os.Exit(1)
	}
}

// play is a town and what goes on in it.
type play struct {
	program            string
	number             int
	r                  *rand.Rand
	town               *testcluster.Cluster
	gaps               map[string][]time.Duration
	violations         []rulecheck.Violation
	jobs, done, broken int64
	reigns             int
	plain              bool // nobody owns anything
	steps              bool // the owner is lost in each step of a change, and then the voters are changed
	lost               []string
	mostOut            int64 // parts of a million, at a moment
	plans              int   // taken by controllers' keepers
	asleep             []*testcluster.Member
	keptLogs           []string // of keepers that were killed
}

func (p *play) run() (err error) {
	plan := testcluster.Config{Program: p.program, Seed: uint64(p.number) + 1, Controllers: voters + listeners, Engines: 3, Voters: voters, Files: map[string]string{"problem.json": problem},
		FleetFields: `"parts":{"life_ms":3000},"planning":{"problem":"problem.json","every_ms":5000,"least_ms":1000,"life_ms":10000},`}
	if p.plain {
		plan.Voters, plan.FleetFields = 0, ""
	}
	p.town, err = plan.Start()
	if err != nil {
		return err
	}
	defer p.town.Close()
	if p.plain {
		load := p.town.StartLoad(uint64(p.number), 1, 30*time.Millisecond, false)
		time.Sleep(plainFor)
		load.Stop()
		p.jobs, p.done, p.broken = load.Done.Load()+load.Throttled.Load()+load.Cancelled.Load(), load.Done.Load(), load.Broken.Load()
		return p.town.Stop()
	}
	watch := p.town.WatchShares(100 * time.Millisecond)
	load := p.town.StartLoad(uint64(p.number), 1, 30*time.Millisecond, false)
	if err := p.cli("fleet", "found"); err != nil {
		return err
	}
	if _, err := p.owner(""); err != nil {
		return err
	}
	if p.steps {
		if err := p.eachStep(); err != nil {
			return err
		}
		if err := p.oneByOne(); err != nil {
			return err
		}
	}
	for n := range each {
		if p.steps {
			break
		}
		if err := p.schedule(n + 1); err != nil {
			return fmt.Errorf("schedule %d: %w", n+1, err)
		}
	}
	if err := watch.Stop(); err != nil {
		return err
	}
	p.mostOut = watch.MaxAssigned
	load.Stop()
	p.jobs, p.done, p.broken = load.Done.Load()+load.Throttled.Load()+load.Cancelled.Load(), load.Done.Load(), load.Broken.Load()
	if err := p.fences(); err != nil {
		return err
	}
	if err := p.town.Stop(); err != nil {
		return err
	}
	p.violations = rulecheck.Check(testcluster.Rules, p.town.Events.Entries())
	return nil
}

func (p *play) cli(args ...string) error {
	c := exec.Command(p.program, args...)
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+p.town.OperatorFile)
	if text, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, bytes.TrimSpace(text))
	}
	return nil
}

// owner waits until a voter other than one acts.
func (p *play) owner(not string) (m *testcluster.Member, err error) {
	err = p.town.WaitUntil(20*time.Second, func() bool {
		for _, x := range p.town.Members[:min(voters, len(p.town.Members))] {
			var v leader.Status
			if x.Name != not && !slices.Contains(p.asleep, x) && p.town.GetJSON(x, "/v1/owner", &v) == nil && v.Active {
				m = x
				return true
			}
		}
		return false
	})
	return m, err
}

// schedule takes a change through while the owner is lost in some way, twice.
func (p *play) schedule(n int) error {
	file := filepath.Join(p.town.Dir, "change.json")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(`{"number":%d,"kind":"settings","to":{"shape":{"budget_free":%d}},%s}`, n, n, pace)), 0o600); err != nil {
		return err
	}
	if err := p.cli("rollout", "start", "--agreed", file); err != nil {
		return err
	}
	for range 2 {
		time.Sleep(time.Duration(p.r.IntN(900)) * time.Millisecond) // when it strikes is the seed's
		if err := p.strike(); err != nil {
			return err
		}
	}
	var r struct {
		State rollout.State `json:"state"`
		To    change.Spec   `json:"to"`
	}
	if err := p.town.WaitUntil(40*time.Second, func() bool {
		m, err := p.owner("")
		return err == nil && p.town.GetJSON(m, "/v1/owner/item?name=change.json", &r) == nil && r.State.Phase.Ends()
	}); err != nil {
		return fmt.Errorf("does not end: %s (%s): %w", r.State.Phase, r.State.Why, err)
	}
	if r.State.Phase != rollout.Done {
		return fmt.Errorf("ends as %s: %s", r.State.Phase, r.State.Outcome)
	}
	for _, m := range p.town.Members {
		if err := p.town.WaitUntil(20*time.Second, func() bool { s, err := p.town.Status(m); return err == nil && s.Running == r.To.Digest() }); err != nil {
			return fmt.Errorf("%s does not run it: %w", m.Name, err)
		}
	}
	return nil
}

// strike loses the owner in a way drawn by the seed, and waits for another.
func (p *play) strike() error {
	m, err := p.owner("")
	if err != nil {
		return err
	}
	return p.strikeBy([]string{"killed", "stopped", "cut off", "stepped down"}[p.r.IntN(4)], m)
}

// strikeBy loses it so.
func (p *play) strikeBy(how string, m *testcluster.Member) error {
	from := time.Now()
	heal := func() error { return nil }
	switch how {
	case "killed":
		p.keptLogs = append(p.keptLogs, m.Supervisor.Log())
		m.Supervisor.Kill()
		heal = func() error { return p.town.StartSupervisor(m) }
	case "stopped":
		m.Supervisor.Signal(syscall.SIGSTOP)
		p.asleep = append(p.asleep, m)
		heal = func() error {
			m.Supervisor.Signal(syscall.SIGCONT)
			p.asleep = nil
			return nil
		}
	case "cut off": // it hears nobody, and its own words arrive
		m.Link.SetMode(testcluster.LinkSilent, 0)
		heal = func() error { m.Link.SetMode(testcluster.LinkUp, 0); return nil }
	default:
		if err := p.cli("fleet", "step-down"); err != nil {
			return err
		}
	}
	if _, err := p.owner(m.Name); err != nil {
		return fmt.Errorf("nobody owns after %s was %s: %w", m.Name, how, err)
	}
	p.gaps[how] = append(p.gaps[how], time.Since(from))
	return heal()
}

// fences holds that each keeper took its orders in their order, and that a reign's orders are one owner's everywhere.
func (p *play) fences() error {
	by := map[int64]string{}
	texts := p.keptLogs
	for _, m := range p.town.Members {
		texts = append(texts, m.Supervisor.Log())
	}
	for _, text := range texts {
		var last change.Fence
		for line := range strings.Lines(text) {
			if strings.Contains(line, "msg=plan_taken") {
				p.plans++
			}
			_, rest, is := strings.Cut(line, "msg=order_taken fence=")
			if !is {
				continue
			}
			var f change.Fence
			var who string
			if _, err := fmt.Sscanf(rest, "%d.%d.%d by=%s", &f.Number, &f.Term, &f.Turn, &who); err != nil {
				return err
			}
			if f.Compare(last) <= 0 {
				return fmt.Errorf("order %v was taken after %v", f, last)
			}
			_, who, _ = strings.Cut(who, "@")
			if was := by[f.Term]; was != "" && was != who {
				return fmt.Errorf("reign %d ordered by %s and %s", f.Term, was, who)
			}
			last, by[f.Term] = f, who
		}
	}
	if p.reigns = len(by); p.reigns == 0 {
		return fmt.Errorf("no order was taken")
	}
	return nil
}
