package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"swiftreel/internal/canary"
)

const (
	fleetSequence   = 11   // stream of the random source
	defaultMissRate = 0.02 // fraction of all jobs
	latencyBuckets  = 64
)

// virtualFleet is a fleet in virtual time. Controllers differ in traffic and miss rate, misses are clustered, and the
// miss rate of the whole fleet rises at times. The canary analysis and the rollout state machine are the real ones. A
// sample covers one second.
type virtualFleet struct {
	random         *rand.Rand
	jobRates       []float64 // jobs per second, by controller
	extraMissRates []float64 // constant addition to the miss rate, by controller
	harm           float64   // fraction of jobs that the new version cancels permanently
	missRate       float64   // current miss rate of all controllers
}

// newVirtualFleet draws a fleet from a seed. jobsPerSecond is the mean per controller.
func newVirtualFleet(seed uint64, controllers int, jobsPerSecond, harm float64) *virtualFleet {
	f := &virtualFleet{random: rand.New(rand.NewPCG(seed, fleetSequence)), harm: harm, missRate: defaultMissRate}
	for range controllers {
		f.jobRates = append(f.jobRates, jobsPerSecond*math.Exp(0.5*f.random.NormFloat64()-0.125))
		f.extraMissRates = append(f.extraMissRates, 0.01*f.random.Float64())
	}
	return f
}

// sample draws one second of jobs of each controller.
func (f *virtualFleet) sample(isNew []bool) []canary.Sample {
	f.drawMissRate()
	samples := make([]canary.Sample, 0, len(f.jobRates))
	for i := range f.jobRates {
		samples = append(samples, f.sampleController(i, isNew[i]))
	}
	return samples
}

// drawMissRate starts or ends a period with a higher miss rate for all controllers. It lasts 30 s on average.
func (f *virtualFleet) drawMissRate() {
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
		stallProbability = 0.02 // that an engine stalls, which affects the jobs of one controller
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
		part float64 // fraction of the controller's jobs
	}{{"lookup", 0.8}, {"report", 0.2}} {
		counts := f.drawJobs(f.jobRates[controller]*t.part, f.extraMissRates[controller], stall, isNew)
		if counts.Jobs > 0 {
			s.Counts[canary.Group{Type: t.name, Tenant: "a"}] = counts
		}
	}
	return s
}

// drawJobs draws one second of jobs of a group.
func (f *virtualFleet) drawJobs(rate, extraMissRate, stall float64, isNew bool) canary.JobCounts {
	jobs := int(rate)
	if f.random.Float64() < rate-float64(jobs) {
		jobs++
	}
	counts := canary.JobCounts{LatencyBuckets: make([]uint64, latencyBuckets)}
	missRate := (f.missRate + extraMissRate) * stall
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
