package choice

import "math"

// Moving means. The constants that say how fast they move are in the policy files.

// ownLoad is the mean of our attempts in flight, and of their threads and memory.
type ownLoad struct{ jobs, threads, memoryMB float64 }

// approach moves the means toward the present load by a step from 0 to 1.
func (l *ownLoad) approach(now ownLoad, step float64) {
	l.jobs += step * (now.jobs - l.jobs)
	l.threads += step * (now.threads - l.threads)
	l.memoryMB += step * (now.memoryMB - l.memoryMB)
}

// demand holds the means over admitted jobs.
type demand struct {
	jobs           float64 // that it goes by
	meanValue      float64
	meanWork       float64 // ns
	meanDuration   float64 // ns, of work over threads
	meanMemoryTime float64 // MB times that
}

// observe adds a job; the means cover about the last so many samples.
func (d *demand) observe(j *job, samples float64) {
	t := j.jobType
	d.jobs = min(samples, d.jobs+1)
	d.meanValue += (j.value - d.meanValue) / d.jobs
	d.meanWork += (j.work - d.meanWork) / d.jobs
	d.meanDuration += (j.work/t.threads - d.meanDuration) / d.jobs
	d.meanMemoryTime += (j.memoryMB*math.Exp(t.memoryBias)*j.work/t.threads - d.meanMemoryTime) / d.jobs
}

// meanThreadsPerJob is our own mean, assumed for siblings too.
func (c *Controller) meanThreadsPerJob() float64 {
	prior := priorJobs * c.demand.meanWork / c.demand.meanDuration
	return (c.ownLoad.threads + prior) / (c.ownLoad.jobs + priorJobs)
}

// meanMemoryPerThread is our own mean in MB, assumed for siblings too.
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

// durationError is the mean error of expected durations, as the natural log of actual over expected.
type durationError struct{ mean, count float64 }

// observe adds a duration. The mean covers about the last so many samples; its first steps are divided by at least
// priorCount.
func (d *durationError) observe(a *attempt, latency Nanos, maxError, priorCount, samples float64) {
	d.count = min(d.count+1, samples)
	off := min(maxError, math.Abs(math.Log(max(1, float64(latency))/a.expectedNanos)))
	d.mean += (off - d.mean) / max(d.count, priorCount)
}

// usage is the resources that an attempt used, packed as in Event.Usage.
type usage uint32

// work is the used work in ns of one thread.
func (u usage) work() float64 { return float64(u>>12) * float64(ms) }

func (u usage) memoryMB() float64 { return float64(u&4095) * 4 }

// fleetTotals is a sum over engines.
type fleetTotals struct {
	own                       ownLoad
	active                    float64 // engines that are ready and not ejected
	latencyRatio, failureRate float64 // of these
	cores                     float64 // of these, but for those in slow start
	pressed                   int     // engines under pressure
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
		t.pressed++
	}
}

// observeUsage learns the errors of a type's estimates from a job's usage, and returns the true work.
func (t *jobType) observeUsage(j *job, u usage) float64 {
	work := math.Max(u.work(), float64(ms))
	t.costCount = min(t.costCount+1, estimateSamples)
	t.costBias += min(maxCostStep, max(-maxCostStep, math.Log(work/j.work))) / max(t.costCount, priorCosts)
	if used := u.memoryMB(); used > 0 && j.memoryMB > 0 {
		t.memoryCount = min(t.memoryCount+1, estimateSamples)
		off := math.Log(used/j.memoryMB) - t.memoryBias
		t.memoryBias += off / t.memoryCount
		t.memoryDeviation += (math.Abs(off) - t.memoryDeviation) / max(t.memoryCount, priorMemories)
	}
	t.observeWork(work)
	return work
}

// observeWork adds to the mean work: a plain mean at first, which a new controller needs, then a moving one.
func (t *jobType) observeWork(work float64) {
	t.workCount = min(t.workCount+1, workSamples)
	t.meanWork += (work - t.meanWork) / (t.workCount + 1)
}

// observeSlowdown adds a latency over (work / threads) to the recent mean, and moves the best one: fast when it
// improves, slowly otherwise.
func (t *jobType) observeSlowdown(slowdown float64, now Nanos) {
	rate := bestSlowdownRise
	if slowdown < t.bestSlowdown {
		rate = bestSlowdownFall
	}
	t.bestSlowdown += rate * (min(slowdown, 2*t.bestSlowdown) - t.bestSlowdown)
	t.lastLatencyAt = now
	t.slowdown += slowdownStep * (min(slowdown, maxSlowdown) - t.slowdown)
}

// knownMemoryMB is the memory of an engine that all controllers' jobs use, as far as is known.
func (c *Controller) knownMemoryMB(e *engine) float64 {
	return e.ownMemoryMB + e.siblingThreads*c.meanMemoryPerThread()
}

// memoryNeed is the memory in MB that a job is expected to use on an engine.
func (c *Controller) memoryNeed(j *job, e *engine) float64 {
	return min(j.memoryMB*math.Exp(j.jobType.memoryBias), e.memoryMB*c.settings.maxGrantShare)
}
