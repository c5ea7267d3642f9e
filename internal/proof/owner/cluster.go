package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

const (
	engineCount        = 3
	jobInterval        = 30 * time.Millisecond
	baselineDuration   = 15 * time.Second
	shareCheckInterval = 100 * time.Millisecond
	changeTimeout      = 40 * time.Second
	applyTimeout       = 20 * time.Second
	lossesPerChange    = 2
	maxLossDelayMS     = 900
	quotaAndPlanning   = `"parts":{"life_ms":3000},` +
		`"planning":{"problem":"problem.json","every_ms":5000,"least_ms":1000,"life_ms":10000},`
)

// changeTiming makes changes quick, with limits so wide that the canary analysis stops none: this proof does not test
// the analysis.
const changeTiming = `"stages":[{"per_mille":1},{"per_mille":500},{"per_mille":1000}],` +
	`"pace":{"base_ms":300,"bake_ms":300,"most_ms":60000,"apply_ms":20000,"steady_ms":1,"unheard_ms":2500,` +
	`"shared_ms":3000,"look_ms":50},
"limits":{"jobs_wanted":5,"shared_per_mille":900,"slower_per_mille":900,"missed_per_mille":900,` +
	`"throttled_per_mille":900,"cpu_percent":5000,"memory_percent":5000,"crashes":1000}`

// clusterRun is a run of one cluster of real processes, with its results.
type clusterRun struct {
	program  string
	number   int
	random   *rand.Rand
	eachStep bool // lose the leader in each step of a change, then the store of every voter
	cluster  *testcluster.Cluster

	stopped    []*testcluster.Member // currently stopped by SIGSTOP
	killedLogs []string              // logs of killed supervisors

	failovers  map[leaderLoss][]time.Duration // time until another member acted as leader
	violations []rulecheck.Violation
	jobs       jobCounts
	terms      int
	lostSteps  []string
	maxInUse   int64
	planCount  int
}

// play starts the cluster, plays its changes and checks the results.
func (r *clusterRun) play() error {
	config := r.clusterConfig()
	config.Voters = voterCount
	config.FleetFields = quotaAndPlanning
	var err error
	r.cluster, err = config.Start()
	if err != nil {
		return err
	}
	defer r.cluster.Close()
	watch := r.cluster.WatchShares(shareCheckInterval)
	load := r.newLoad()
	if err := r.command("fleet", "bootstrap"); err != nil {
		return err
	}
	if _, err := r.awaitLeader(""); err != nil {
		return err
	}
	if err := r.playChanges(); err != nil {
		return err
	}
	if err := watch.Stop(); err != nil {
		return err
	}
	r.maxInUse = watch.MaxShareSum
	r.stopLoad(load)
	if err := r.checkFences(); err != nil {
		return err
	}
	if err := r.cluster.Stop(); err != nil {
		return err
	}
	r.violations = rulecheck.Check(testcluster.Rules, r.cluster.Events.Entries())
	return nil
}

// playBaseline runs the load on a cluster without a leader.
func (r *clusterRun) playBaseline() error {
	var err error
	r.cluster, err = r.clusterConfig().Start()
	if err != nil {
		return err
	}
	defer r.cluster.Close()
	load := r.newLoad()
	time.Sleep(baselineDuration)
	r.stopLoad(load)
	return r.cluster.Stop()
}

func (r *clusterRun) clusterConfig() testcluster.Config {
	return testcluster.Config{
		Program:     r.program,
		Seed:        uint64(r.number) + 1,
		Controllers: voterCount + listenerCount,
		Engines:     engineCount,
		Files:       map[string]string{"problem.json": testcluster.PlanningProblem},
	}
}

func (r *clusterRun) newLoad() *testcluster.Load {
	return r.cluster.StartLoad(uint64(r.number), 1, jobInterval, false)
}

func (r *clusterRun) stopLoad(load *testcluster.Load) {
	load.Stop()
	done := load.Done.Load()
	r.jobs = jobCounts{
		all:    done + load.Throttled.Load() + load.Cancelled.Load(),
		done:   done,
		broken: load.Broken.Load(),
	}
}

func (r *clusterRun) playChanges() error {
	if r.eachStep {
		if err := r.loseLeaderInEachStep(); err != nil {
			return err
		}
		return r.replaceVoters()
	}
	for number := 1; number <= changesPerCluster; number++ {
		if err := r.playChange(number); err != nil {
			return fmt.Errorf("change %d: %w", number, err)
		}
	}
	return nil
}

// command runs an operator command of the program.
func (r *clusterRun) command(arguments ...string) error {
	_, err := r.cluster.Command(r.program, arguments...)
	return err
}

// awaitLeader waits until a voter other than except acts as leader.
func (r *clusterRun) awaitLeader(except string) (*testcluster.Member, error) {
	candidates := slices.DeleteFunc(r.cluster.Voters(), func(member *testcluster.Member) bool {
		return member.Name == except || slices.Contains(r.stopped, member)
	})
	return r.cluster.Leader(candidates)
}

// replicatedChange is the part of the replicated rollout record that the proof reads.
type replicatedChange struct {
	State   rollout.State `json:"state"`
	NewSpec change.Spec   `json:"to"`
}

// readChange reads the replicated rollout record from a member.
func (r *clusterRun) readChange(from *testcluster.Member) (replicatedChange, error) {
	var record replicatedChange
	err := r.cluster.GetJSON(from, "/v1/owner/item?name=change.json", &record)
	return record, err
}

// startChange starts a settings change whose stages bake for bakeMS milliseconds each.
func (r *clusterRun) startChange(number, bakeMS int) error {
	text := fmt.Sprintf(`{"number":%d,"kind":"settings","to":{"shape":{"budget_free":%d}},%s}`,
		number, number, changeTiming)
	text = strings.Replace(text, `"bake_ms":300`, fmt.Sprintf(`"bake_ms":%d`, bakeMS), 1)
	file := filepath.Join(r.cluster.Dir, "change.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	return r.command("rollout", "start", "--agreed", file)
}

// playChange rolls a change out and loses the leader lossesPerChange times meanwhile, in ways drawn from the seed.
func (r *clusterRun) playChange(number int) error {
	if err := r.startChange(number, defaultBakeMS); err != nil {
		return err
	}
	for range lossesPerChange {
		time.Sleep(time.Duration(r.random.IntN(maxLossDelayMS)) * time.Millisecond) // the seed determines the time
		if err := r.loseRandomly(); err != nil {
			return err
		}
	}
	record, err := r.awaitChangeEnd()
	if err != nil {
		return err
	}
	if record.State.Phase != rollout.PhaseDone {
		return fmt.Errorf("change ended as %s: %s", record.State.Phase, record.State.Outcome)
	}
	return r.awaitRunning(record.NewSpec.Digest())
}

func (r *clusterRun) awaitChangeEnd() (replicatedChange, error) {
	var record replicatedChange
	err := r.cluster.WaitUntil(changeTimeout, func() bool {
		member, err := r.awaitLeader("")
		if err != nil {
			return false
		}
		record, err = r.readChange(member)
		return err == nil && record.State.Phase.IsTerminal()
	})
	if err != nil {
		err = fmt.Errorf("change does not end: %s (%s): %w", record.State.Phase, record.State.Reason, err)
	}
	return record, err
}

// awaitRunning waits until all controllers run the given spec.
func (r *clusterRun) awaitRunning(spec change.Digest) error {
	for _, member := range r.cluster.Members {
		err := r.cluster.WaitUntil(applyTimeout, func() bool {
			status, err := r.cluster.Status(member)
			return err == nil && status.RunningSpec == spec
		})
		if err != nil {
			return fmt.Errorf("%s does not run the new spec: %w", member.Name, err)
		}
	}
	return nil
}
