// Package jobstats counts the outcomes of a controller's jobs by job type and tenant, and serves them over HTTP,
// together with the controller's state, to its supervisor.
package jobstats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// Latencies are recorded in microseconds up to an hour, to one significant digit.
const (
	minLatencyUS       = 1
	maxLatencyUS       = int64(time.Hour / time.Microsecond)
	significantFigures = 1
)

// Outcome is how a job ended for its client.
type Outcome uint8

const (
	// Done means that the client got its result.
	Done Outcome = iota
	// Throttled means that the job was refused for lack of capacity or quota.
	Throttled
	// Cancelled means that the job was cancelled permanently.
	Cancelled
	// Abandoned means that the client disconnected or revoked the job before its answer; the job counts as over its
	// SLA time.
	Abandoned
)

// Recorder counts jobs since its creation. It has at most one entry for each type and tenant in the settings, because
// jobs of others are refused before they are counted. It is safe for concurrent use; a nil Recorder counts nothing.
type Recorder struct {
	mu     sync.Mutex // guards the fields below
	groups map[canary.Group]*groupStats
	probes uint64
}

type groupStats struct {
	counts    canary.JobCounts // without LatencyBuckets
	latencies *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{groups: map[canary.Group]*groupStats{}}
}

// RecordJob counts a job that ended after latency. isWithinSLA is used for done jobs only; dispatches is the number of
// dispatches of the job that ended.
func (r *Recorder) RecordJob(
	group canary.Group, outcome Outcome, latency time.Duration, isWithinSLA bool, dispatches uint64,
) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.statsOf(group)
	stats.counts.Jobs++
	stats.counts.Dispatches += dispatches
	stats.counts.Retries += dispatches - min(1, dispatches)
	switch outcome {
	case Done:
		stats.recordDone(latency, isWithinSLA)
	case Throttled:
		stats.counts.Throttled++
	case Cancelled:
		stats.counts.Cancelled++
	case Abandoned: // counted in Jobs only
	}
}

// statsOf returns the entry of a group. The caller must hold the lock.
func (r *Recorder) statsOf(group canary.Group) *groupStats {
	stats := r.groups[group]
	if stats == nil {
		stats = &groupStats{latencies: hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)}
		r.groups[group] = stats
	}
	return stats
}

func (s *groupStats) recordDone(latency time.Duration, isWithinSLA bool) {
	s.counts.Done++
	if isWithinSLA {
		s.counts.WithinSLA++
	}
	latencyUS := min(maxLatencyUS, max(minLatencyUS, latency.Microseconds()))
	_ = s.latencies.RecordValue(latencyUS) // fails only for a value out of range
}

// RecordProbe counts a probe that was sent.
func (r *Recorder) RecordProbe() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes++
}

// FillReport sets the format and the counts of a report. The Recorder must not be nil.
func (r *Recorder) FillReport(report *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Format = change.Format
	report.Probes = r.probes
	report.JobCounts = make(map[canary.Group]canary.JobCounts, len(r.groups))
	for group, stats := range r.groups {
		counts := stats.counts
		counts.LatencyBuckets = latencyBuckets(stats.latencies)
		report.JobCounts[group] = counts
	}
}

// latencyBuckets returns the counts of a histogram up to the last nonempty bucket.
func latencyBuckets(latencies *hdrhistogram.Histogram) []uint64 {
	var buckets []uint64
	for i, count := range latencies.Export().Counts {
		if count <= 0 {
			continue
		}
		empty := i + 1 - len(buckets)
		buckets = append(buckets, make([]uint64, empty)...)
		buckets[i] = uint64(count)
	}
	return buckets
}

// Quantile returns a percentile of the latencies in LatencyBuckets, to one significant digit. It returns 0 if there are
// none.
func Quantile(buckets []uint64, percent float64) time.Duration {
	empty := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
	counts := make([]int64, len(empty.Export().Counts))
	for i := range min(len(buckets), len(counts)) {
		counts[i] = int64(buckets[i])
	}
	latencies := hdrhistogram.Import(&hdrhistogram.Snapshot{
		LowestTrackableValue:  minLatencyUS,
		HighestTrackableValue: maxLatencyUS,
		SignificantFigures:    significantFigures,
		Counts:                counts,
	})
	return time.Duration(latencies.ValueAtQuantile(percent)) * time.Microsecond
}
