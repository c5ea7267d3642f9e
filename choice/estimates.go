package choice

import "math"

// Moving means. The constants that set how fast they adapt are in the policy files.

// ownLoad is the number of this controller's attempts in flight, with their threads and memory, or the moving
// mean of these.
type ownLoad struct{ jobs, threads, memoryMB float64 }

// approach moves the means toward the current load by a step from 0 to 1.
func (l *ownLoad) approach(current ownLoad, step float64) {
	l.jobs += step * (current.jobs - l.jobs)
	l.threads += step * (current.threads - l.threads)
	l.memoryMB += step * (current.memoryMB - l.memoryMB)
}

// demand holds moving means over the jobs that arrived.
type demand struct {
	sampleCount    float64 // number of jobs in the means, capped
	meanValue      float64
	meanWork       float64 // ns
	meanDuration   float64 // ns, work over threads
	meanMemoryTime float64 // MB times ns, memory times duration
}

// observe adds a job to the means, which cover about the last samples jobs.
func (d *demand) observe(j *job, samples float64) {
	t := j.jobType
	d.sampleCount = min(samples, d.sampleCount+1)
	d.meanValue += (j.value - d.meanValue) / d.sampleCount
	d.meanWork += (j.work - d.meanWork) / d.sampleCount
	d.meanDuration += (j.work/t.threads - d.meanDuration) / d.sampleCount
	d.meanMemoryTime += (j.memoryMB*math.Exp(t.memoryBias)*j.work/t.threads - d.meanMemoryTime) / d.sampleCount
}

// meanThreadsPerJob returns the mean threads of this controller's jobs. It is assumed for peers' jobs too.
func (c *Controller) meanThreadsPerJob() float64 {
	prior := priorJobs * c.demand.meanWork / c.demand.meanDuration
	return (c.ownLoad.threads + prior) / (c.ownLoad.jobs + priorJobs)
}

// meanMemoryPerThread returns the mean memory of this controller's jobs in MB per thread. It is assumed for
// peers' jobs too.
func (c *Controller) meanMemoryPerThread() float64 {
	prior := priorJobs * c.demand.meanMemoryTime / c.demand.meanWork
	return (c.ownLoad.memoryMB + prior) / (c.ownLoad.threads + priorJobs)
}

func (c *Controller) longestMeanWork() float64 {
	longest := 0.0
	for _, t := range c.types {
		longest = max(longest, t.meanWork)
	}
	return longest
}

// durationError is the mean absolute error of expected durations, as the natural log of actual over expected.
type durationError struct{ mean, count float64 }

// observe adds the duration of an attempt, with its error capped at maxError. The mean covers about the last
// samples durations. The first errors are divided by at least minDivisor, so that they weigh less.
func (d *durationError) observe(a *attempt, latency Nanos, maxError, minDivisor, samples float64) {
	d.count = min(d.count+1, samples)
	logError := min(maxError, math.Abs(math.Log(max(1, float64(latency))/a.expectedDuration)))
	d.mean += (logError - d.mean) / max(d.count, minDivisor)
}

// usage is what an attempt used, packed as in Event.Usage.
type usage uint32

// work returns the work in ns of one thread.
func (u usage) work() float64 { return float64(u>>12) * float64(ms) }

func (u usage) memoryMB() float64 { return float64(u&4095) * 4 }

// fleetTotals holds sums over all engines, from which the fleet's means are computed.
type fleetTotals struct {
	own                       ownLoad
	active                    float64 // number of engines that are ready and not ejected
	latencyRatio, failureRate float64 // of active engines
	cores                     float64 // of active engines that are not in slow start
	enginesUnderPressure      int     // number of engines under pressure
}

func (t *fleetTotals) add(e *engine, warmCores float64) {
	t.own.jobs += float64(len(e.attempts))
	t.own.threads += e.ownThreads
	t.own.memoryMB += e.ownMemoryMB
	if e.State == Ready && !e.ejected {
		t.active++
		t.latencyRatio += e.latencyRatio
		t.failureRate += e.failureRate
		t.cores += warmCores
	}
	if e.underPressure {
		t.enginesUnderPressure++
	}
}

// observeUsage updates the errors of a type's cost and memory estimates from the usage of a job, and returns
// the work that the job used.
func (t *jobType) observeUsage(j *job, u usage) float64 {
	work := math.Max(u.work(), float64(ms))
	t.costCount = min(t.costCount+1, estimateErrorSamples)
	t.costBias += min(maxCostError, max(-maxCostError, math.Log(work/j.work))) / max(t.costCount, minCostDivisor)
	if used := u.memoryMB(); used > 0 && j.memoryMB > 0 {
		t.memoryCount = min(t.memoryCount+1, estimateErrorSamples)
		deviation := math.Log(used/j.memoryMB) - t.memoryBias
		t.memoryBias += deviation / t.memoryCount
		t.memoryDeviation += (math.Abs(deviation) - t.memoryDeviation) / max(t.memoryCount, minMemoryDivisor)
	}
	t.observeWork(work)
	return work
}

// observeWork updates the mean work of a type. It is a plain mean of the first jobs, so that a new controller
// adapts fast, and a moving mean later.
func (t *jobType) observeWork(work float64) {
	t.workCount = min(t.workCount+1, workSamples)
	t.meanWork += (work - t.meanWork) / (t.workCount + 1)
}

// observeSlowdown updates the recent and the best slowdown of a type from the slowdown of an answer: its
// latency over (work / threads). The best one moves fast to a lower value and slowly to a higher one.
func (t *jobType) observeSlowdown(slowdown float64, now Nanos) {
	step := bestSlowdownRise
	if slowdown < t.bestSlowdown {
		step = bestSlowdownFall
	}
	t.bestSlowdown += step * (min(slowdown, 2*t.bestSlowdown) - t.bestSlowdown)
	t.lastLatencyAt = now
	t.slowdown += slowdownStep * (min(slowdown, maxSlowdown) - t.slowdown)
}

// knownMemoryMB returns the memory of an engine that the jobs of all controllers use, as far as it is known.
func (c *Controller) knownMemoryMB(e *engine) float64 {
	return e.ownMemoryMB + e.peerThreads*c.meanMemoryPerThread()
}

// expectedMemoryMB returns the memory in MB that a job is expected to use on an engine.
func (c *Controller) expectedMemoryMB(j *job, e *engine) float64 {
	return min(j.memoryMB*math.Exp(j.jobType.memoryBias), e.memoryMB*c.settings.maxGrantShare)
}
