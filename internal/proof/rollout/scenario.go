package main

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/rollout"
	"swiftreel/internal/testcluster"
)

// faultsName is the name of all scenarios that play a schedule of faults.
const faultsName = "faults"

// scenario is a change that is rolled out in a separate cluster.
type scenario struct {
	name             string
	program          string // path of the new program; empty: a settings change
	seed             uint64
	controllers      int
	engines          int
	killsCoordinator bool // once in each phase
	isBrief          bool // short timing, for scenarios that do not test the canary analysis
	losesEngine      bool // an engine crashes in the first stage, which the change did not cause
	faults           []fault
	wantedPhase      rollout.Phase // empty: any terminal phase
	maxStage         int           // last stage, counted from 1, by which the change must be rolled back; 0: not checked
}

// fault is an entry of a schedule. It is printed as JSON, so that a failed schedule can be repeated.
type fault struct {
	AtMS    int64                `json:"at_ms"` // since the scenario's start
	Member  int                  `json:"member"`
	Mode    testcluster.LinkMode `json:"way"` // mode of the link to the supervisor
	DelayMS int64                `json:"delay_ms"`
	Repeat  bool                 `json:"repeat"`  // the last order is delivered again
	StopMS  int64                `json:"stop_ms"` // how long the supervisor is stopped by SIGSTOP
}

const (
	scheduleSpanMS   = 3000
	firstFaultMS     = 200
	linkModes        = 5 // number of values of testcluster.LinkMode
	scheduleSequence = 7 // stream of the random source
)

// schedule draws faults of links and supervisors from a seed. The last entries restore all links.
func schedule(seed uint64, members int) []fault {
	random := rand.New(rand.NewPCG(seed, scheduleSequence))
	var faults []fault
	for at := int64(firstFaultMS); at < scheduleSpanMS; at += 100 + random.Int64N(400) {
		f := fault{AtMS: at, Member: random.IntN(members)}
		switch random.IntN(4) {
		case 0:
			f.Repeat = true
		case 1:
			f.StopMS = 50 + random.Int64N(600)
		default:
			f.Mode = testcluster.LinkMode(random.IntN(linkModes))
			f.DelayMS = 20 + random.Int64N(300)
		}
		faults = append(faults, f)
	}
	for i := range members {
		faults = append(faults, fault{AtMS: scheduleSpanMS, Member: i})
	}
	return faults
}

// scenarios returns all scenarios from which the options may select.
func scenarios(flags options, programs map[string]string) []scenario {
	list := []scenario{
		{name: "good settings", seed: 1, wantedPhase: rollout.PhaseDone},
		{name: "good program", seed: 2, wantedPhase: rollout.PhaseDone, program: programs["next"]},
		{name: "conductor killed", seed: 3, wantedPhase: rollout.PhaseDone, killsCoordinator: true, isBrief: true},
	}
	for i, b := range badBuilds {
		list = append(list, scenario{
			name:        "bad: " + b.description,
			seed:        10 + uint64(i),
			wantedPhase: rollout.PhaseReverted,
			maxStage:    2,
			program:     programs[b.name],
		})
	}
	list = append(list, scenario{
		name:        "good settings, an engine lost",
		seed:        30,
		wantedPhase: rollout.PhaseDone,
		losesEngine: true,
	})
	for i := range list {
		list[i].controllers = 6
		list[i].engines = 4
	}
	for i := range flags.schedules {
		seed := uint64(i) + 1
		if flags.seed > 0 {
			seed = flags.seed
		}
		const controllers, engines = 3, 2
		list = append(list, scenario{
			name:        faultsName,
			seed:        seed,
			controllers: controllers,
			engines:     engines,
			faults:      schedule(seed, controllers),
			isBrief:     true,
		})
	}
	return list
}

// Timing and limits of the changes. They are short, because the proof should take about a minute. briefTiming is for
// scenarios that do not test the canary analysis.
const (
	analysisTiming = `"pace":{"base_ms":2500,"bake_ms":4000,"most_ms":30000,"apply_ms":12000,"steady_ms":200,` +
		`"unheard_ms":2500,"shared_ms":3000,"look_ms":100},` +
		`"limits":{"jobs_wanted":200,"shared_per_mille":150,"cpu_percent":300}`
	briefTiming = `"pace":{"base_ms":500,"bake_ms":500,"most_ms":30000,"apply_ms":12000,"steady_ms":50,` +
		`"unheard_ms":1500,"shared_ms":3000,"look_ms":50},` +
		`"limits":{"jobs_wanted":20,"shared_per_mille":500,"slower_per_mille":500,"missed_per_mille":300,` +
		`"cpu_percent":1000}`
	changeStages = `"stages":[{"per_mille":1},{"per_mille":400},{"per_mille":1000}]`
)

// changeFile returns the content of the change file.
func (s scenario) changeFile() string {
	if s.program != "" {
		return fmt.Sprintf(`{"number":1,"kind":"program","to":{"program":%q},%s,%s}`, s.program, changeStages, analysisTiming)
	}
	timing := analysisTiming
	if s.isBrief {
		timing = briefTiming
	}
	return fmt.Sprintf(`{"number":1,"kind":"settings","to":{"shape":{"budget_free":5}},%s,%s}`, changeStages, timing)
}
