package canary

import "slices"

const (
	// guardrailSamples is the number of consecutive samples beyond a guardrail that count as a regression; fewer may be
	// a spike.
	guardrailSamples = 3
	// guardrailMinJobs is the minimum number of jobs of each version for the usage per job to be compared.
	guardrailMinJobs = 30

	memoryToleranceMB      = 8   // normal variation of a garbage-collected process
	ejectedTolerance       = 1   // in engines: controllers do not eject an engine at the same time
	probesPerJobTolerance  = 1   // the relative limit is too strict where few probes are sent
	cpuNSPerJobTolerance   = 1e6 // the relative limit is too strict for jobs that use little CPU time
	guardrailMemory        = "memory"
	guardrailEjected       = "engines set aside"
	guardrailProbesPerJob  = "probes a job"
	guardrailCPUTimePerJob = "CPU a job"
)

// guardrails compares resource usage and ejected engines of both versions, for which there is no proportion of jobs.
type guardrails struct {
	limits      Limits
	consecutive map[string]int // samples beyond the guardrail, by its name
	old         jobUsage       // since usage per job was last compared
	new         jobUsage
}

// jobUsage holds the resources that controllers used, and the number of jobs.
type jobUsage struct {
	jobs   float64
	probes float64
	cpuNS  float64
}

func (u *jobUsage) add(samples []Sample) {
	for _, s := range samples {
		for _, counts := range s.Counts {
			u.jobs += float64(counts.Jobs)
		}
		u.probes += float64(s.Probes)
		u.cpuNS += float64(s.CPUNS)
	}
}

// observe compares one sample of each controller on both versions.
func (g *guardrails) observe(oldSamples, newSamples []Sample) {
	g.old.add(oldSamples)
	g.new.add(newSamples)
	if len(oldSamples) > 0 && len(newSamples) > 0 {
		oldMemory := sortedMemory(oldSamples)
		newMemory := sortedMemory(newSamples)
		median := oldMemory[len(oldMemory)/2]
		greatest := newMemory[len(newMemory)-1]
		g.record(guardrailMemory, greatest > median*factorOf(g.limits.MemoryPercent)+memoryToleranceMB)
		ejected := meanEjected(newSamples)
		g.record(guardrailEjected, ejected > meanEjected(oldSamples)+ejectedTolerance)
	}
	if g.old.jobs >= guardrailMinJobs && g.new.jobs >= guardrailMinJobs {
		g.comparePerJob()
	}
}

// comparePerJob compares the usage per job of both versions and resets it.
func (g *guardrails) comparePerJob() {
	maxProbes := g.old.probes/g.old.jobs*factorOf(g.limits.ProbesPercent) + probesPerJobTolerance
	g.record(guardrailProbesPerJob, g.new.probes/g.new.jobs > maxProbes)
	maxCPU := g.old.cpuNS/g.old.jobs*factorOf(g.limits.CPUPercent) + cpuNSPerJobTolerance
	g.record(guardrailCPUTimePerJob, g.new.cpuNS/g.new.jobs > maxCPU)
	g.old = jobUsage{}
	g.new = jobUsage{}
}

func (g *guardrails) record(name string, isBeyond bool) {
	if isBeyond {
		g.consecutive[name]++
	} else {
		g.consecutive[name] = 0
	}
}

// violated returns the first guardrail, by name, that the new version has exceeded for guardrailSamples samples, or "".
func (g *guardrails) violated() string {
	for _, name := range sortedKeys(g.consecutive) {
		if g.consecutive[name] >= guardrailSamples {
			return name
		}
	}
	return ""
}

// factorOf returns the factor that corresponds to an increase in percent.
func factorOf(percent int64) float64 {
	return 1 + float64(percent)/100
}

func sortedMemory(samples []Sample) []float64 {
	memoryMB := make([]float64, 0, len(samples))
	for _, s := range samples {
		memoryMB = append(memoryMB, s.MemoryMB)
	}
	slices.Sort(memoryMB)
	return memoryMB
}

// meanEjected returns the mean number of ejected engines over the samples.
func meanEjected(samples []Sample) float64 {
	mean := 0.0
	for _, s := range samples {
		mean += float64(s.EjectedEngines) / float64(len(samples))
	}
	return mean
}
