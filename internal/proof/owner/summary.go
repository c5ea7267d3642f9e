package main

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// maxLostShare is the largest accepted difference to the fraction of jobs done without a leader.
const maxLostShare = 0.01

// jobCounts counts the jobs of a load by how they ended.
type jobCounts struct {
	all    int64
	done   int64
	broken int64 // lost with their controller when its supervisor was killed
}

// doneShare returns the fraction of the jobs that were done.
func (c jobCounts) doneShare() float64 { return float64(c.done) / float64(max(1, c.all)) }

// summary holds the combined results of all clusters.
type summary struct {
	failovers map[leaderLoss][]time.Duration // time until another member acted as leader
	terms     int
	jobs      jobCounts
	baseline  jobCounts // without a leader
	lostSteps []string  // steps of a change in which the leader was lost
	maxInUse  int64     // most shares in use at the same time, in millionths
	planCount int
}

func (s *summary) add(run *clusterRun) {
	if s.failovers == nil {
		s.failovers = map[leaderLoss][]time.Duration{}
	}
	for kind, durations := range run.failovers {
		s.failovers[kind] = append(s.failovers[kind], durations...)
	}
	s.terms += run.terms
	s.jobs.all += run.jobs.all
	s.jobs.done += run.jobs.done
	s.jobs.broken += run.jobs.broken
	s.lostSteps = append(s.lostSteps, run.lostSteps...)
	s.maxInUse = max(s.maxInUse, run.maxInUse)
	s.planCount += run.planCount
}

// holds reports whether enough jobs were done and at least one plan was accepted.
func (s *summary) holds() bool {
	if s.jobs.all == 0 || s.baseline.all == 0 || s.planCount == 0 {
		return false
	}
	return s.jobs.doneShare() >= s.baseline.doneShare()-maxLostShare
}

func headerLine(cores int, version string) string {
	return fmt.Sprintf("machine: %d cores, %s; engines are simulated servers\n"+
		"%d towns of %d voters and %d listeners, %d schedules of kills, stops and cut links each\n",
		cores, version, clusterCount, voterCount, listenerCount, changesPerCluster)
}

// print writes the table. Operators' scripts parse its lines, so their text must not change.
func (s *summary) print(w io.Writer) {
	for _, kind := range leaderLosses {
		durations := slices.Sorted(slices.Values(s.failovers[kind]))
		if len(durations) == 0 {
			continue
		}
		median, longest := durations[len(durations)/2], durations[len(durations)-1]
		fmt.Fprintf(w, "  owner %-12s %2d times; until another acts: median %4d ms, longest %4d ms\n",
			kind, len(durations), median.Milliseconds(), longest.Milliseconds())
	}
	fmt.Fprintf(w, "  changes through all controllers %d, reigns seen at keepers %d, jobs %d, done %.2f%%, "+
		"cut off %d (controllers of killed keepers die with them)\n",
		clusterCount*changesPerCluster, s.terms, s.jobs.all, 100*s.jobs.doneShare(), s.jobs.broken)
	fmt.Fprintf(w, "  one owner lost in each step of a change: %v; "+
		"then %d voters lost their memory one by one and came back under new numbers\n", s.lostSteps, voterCount)
	fmt.Fprintf(w, "  parts: at most %.1f%% of the whole out at a moment; plans taken %d; "+
		"the same load without an owner: jobs %d, done %.2f%%\n",
		float64(s.maxInUse)/1e4, s.planCount, s.baseline.all, 100*s.baseline.doneShare())
}
