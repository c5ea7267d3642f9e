package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"swiftreel/internal/canary"
)

const (
	fleetSequence   = 11   // of the random source
	defaultMissRate = 0.02 // of all jobs
	latencyBuckets  = 64
)

// virtualFleet is a fleet in virtual time: controllers with uneven traffic and habits of their own, jobs that fail in
// clusters, days that turn bad for all. The canary analysis and the rollout's state machine are the real ones; a
// sample is a second.
type virtualFleet struct {
	random      *rand.Rand
	jobRates    []float64 // jobs a second, by controller
	excessRates []float64 // of misses, by controller: a habit
	harm        float64   // part of jobs by the new version that are cancelled for good
	missRate    float64   // of all controllers, now
}

// newVirtualFleet draws a fleet from a seed. jobsPerSecond is the mean of a controller.
func newVirtualFleet(seed uint64, controllers int, jobsPerSecond, harm float64) *virtualFleet {
	f := &virtualFleet{random: rand.New(rand.NewPCG(seed, fleetSequence)), harm: harm, missRate: defaultMissRate}
	for range controllers {
		f.jobRates = append(f.jobRates, jobsPerSecond*math.Exp(0.5*f.random.NormFloat64()-0.125))
		f.excessRates = append(f.excessRates, 0.01*f.random.Float64())
	}
	return f
}

// sample draws a second of each controller's work.
func (f *virtualFleet) sample(isNew []bool) []canary.Sample {
	f.drawDay()
	samples := make([]canary.Sample, 0, len(f.jobRates))
	for i := range f.jobRates {
		samples = append(samples, f.sampleController(i, isNew[i]))
	}
	return samples
}

// drawDay begins or ends a bad spell for all, of 30 s in the mean.
func (f *virtualFleet) drawDay() {
	const (
		beginProbability = 0.003
		endProbability   = 0.033
		maxAdded         = 0.1
	)
	if f.random.Float64() < beginProbability {
		f.missRate = defaultMissRate + maxAdded*f.random.Float64()
	} else if f.random.Float64() < endProbability {
		f.missRate = defaultMissRate
	}
}

func (f *virtualFleet) sampleController(controller int, isNew bool) canary.Sample {
	const (
		stallProbability = 0.02 // an engine stalls under one controller's jobs
		stallFactor      = 6.0
		memoryMB         = 40
	)
	stall := 1.0
	if f.random.Float64() < stallProbability {
		stall = stallFactor
	}
	s := canary.Sample{
		Member:   fmt.Sprintf("c%03d", controller),
		IsNew:    isNew,
		MemoryMB: memoryMB,
		Counts:   map[canary.Group]canary.JobCounts{},
	}
	for _, t := range []struct {
		name string
		part float64 // of the controller's jobs
	}{{"lookup", 0.8}, {"report", 0.2}} {
		counts := f.drawJobs(f.jobRates[controller]*t.part, f.excessRates[controller], stall, isNew)
		if counts.Jobs > 0 {
			s.Counts[canary.Group{Type: t.name, Tenant: "a"}] = counts
		}
	}
	return s
}

// drawJobs draws a second of jobs of a group.
func (f *virtualFleet) drawJobs(rate, excessRate, stall float64, isNew bool) canary.JobCounts {
	jobs := int(rate)
	if f.random.Float64() < rate-float64(jobs) {
		jobs++
	}
	counts := canary.JobCounts{LatencyBuckets: make([]uint64, latencyBuckets)}
	missRate := (f.missRate + excessRate) * stall
	for range jobs {
		f.drawJob(&counts, missRate, stall, isNew)
	}
	return counts
}

// drawJob draws the outcome of a job. A quarter of the misses are throttled.
func (f *virtualFleet) drawJob(counts *canary.JobCounts, missRate, stall float64, isNew bool) {
	counts.Jobs++
	counts.Dispatches++
	draw := f.random.Float64()
	if isNew && f.random.Float64() < f.harm {
		counts.Cancelled++
		return
	}
	if draw < missRate/4 {
		counts.Throttled++
		return
	}
	counts.Done++
	if draw >= missRate {
		counts.WithinSLA++
	}
	bucket := int(20 + 6*f.random.NormFloat64() + 4*math.Log2(stall))
	counts.LatencyBuckets[min(latencyBuckets-1, max(0, bucket))]++
}
