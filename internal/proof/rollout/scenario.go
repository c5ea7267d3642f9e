package main

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/rollout"
	"swiftreel/internal/testcluster"
)

// faultsName is the name of the scenarios that play a schedule of faults.
const faultsName = "faults"

// scenario is a change that goes through a cluster of its own.
type scenario struct {
	name             string
	program          string // a build; empty: the change is one of settings
	seed             uint64
	controllers      int
	engines          int
	killsCoordinator bool // once in each phase
	isBrief          bool // it is not about the canary analysis
	losesEngine      bool // in the first stage, which is no fault of the change
	faults           []fault
	wantedPhase      rollout.Phase // empty: any in which a rollout ends
	maxStage         int           // from 1: at the latest the change is rolled back there; 0: not checked
}

// fault is an entry of a schedule. It is printed as JSON, so that a schedule that fails can be played again.
type fault struct {
	AtMS    int64                `json:"at_ms"` // since the scenario's start
	Member  int                  `json:"member"`
	Mode    testcluster.LinkMode `json:"way"` // of the link to the supervisor
	DelayMS int64                `json:"delay_ms"`
	Repeat  bool                 `json:"repeat"`  // the last order is delivered once more
	StopMS  int64                `json:"stop_ms"` // the supervisor is stopped (SIGSTOP) for so long
}

const (
	scheduleSpanMS   = 3000
	firstFaultMS     = 200
	linkModes        = 5 // of testcluster.LinkMode
	scheduleSequence = 7 // of the random source
)

// schedule draws faults of links and supervisors from a seed; the last ones end all.
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

// scenarios lists all that the options may play.
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

// Timing and limits of the changes: short, as the proof has a minute. briefTiming is for what is not about the
// analysis.
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

// changeFile returns the text of the change.
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
