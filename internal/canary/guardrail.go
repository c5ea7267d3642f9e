package canary

import "slices"

const (
	// guardrailSamples is the number of consecutive samples beyond a guardrail that is a regression: fewer may be a
	// spike.
	guardrailSamples = 3
	// guardrailMinJobs is the number of jobs of each version from which on what is used per job is compared.
	guardrailMinJobs = 30

	memoryToleranceMB      = 8   // ups and downs of a garbage-collected process
	ejectedTolerance       = 1   // engine: one controller sees what another does not see yet
	probesPerJobTolerance  = 1   // where hardly any probe is sent, few more are no flood
	cpuNSPerJobTolerance   = 1e6 // nor is a millisecond of CPU time
	guardrailMemory        = "memory"
	guardrailEjected       = "engines set aside"
	guardrailProbesPerJob  = "probes a job"
	guardrailCPUTimePerJob = "CPU a job"
)

// guardrails compare what is no count of jobs with the old version.
type guardrails struct {
	limits      Limits
	consecutive map[string]int // samples beyond the guardrail, by its name
	old         jobUsage       // since usage per job was last compared
	new         jobUsage
}

// jobUsage is what controllers used for their jobs.
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

// observe compares a sample of both versions.
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

// comparePerJob compares what was used per job, and begins anew.
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

// violated returns the first guardrail, by name, that the new version is beyond for good, or "".
func (g *guardrails) violated() string {
	for _, name := range sortedKeys(g.consecutive) {
		if g.consecutive[name] >= guardrailSamples {
			return name
		}
	}
	return ""
}

// factorOf returns the factor that corresponds to "so many percent more".
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

// meanEjected returns the mean number of engines that a controller has ejected.
func meanEjected(samples []Sample) float64 {
	mean := 0.0
	for _, s := range samples {
		mean += float64(s.EjectedEngines) / float64(len(samples))
	}
	return mean
}
