// Package canary compares controllers on a new version with controllers on the old version during a rollout stage, by a
// sequential test: the evidence may be evaluated after every sample, and the rollout may be stopped at any time, while
// the probability of a false alarm stays within its limit.
//
// For each job type and tenant and for each measure (jobs over their SLA time, throttled, cancelled, retried,
// slow) the analysis keeps e-values: evidence whose expectation is at most 1 as long as the new version is not worse.
// Guardrails cover memory, CPU, probes, ejected engines and crashes, which are not proportions of jobs.
//
// The package has no I/O, clock or randomness. Its types are not safe for concurrent use.
package canary

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Group is a job type of a tenant. Controllers are compared by group, as the mix of types and tenants differs
// between controllers.
type Group struct {
	Type   string `json:"type"`
	Tenant string `json:"tenant"`
}

// MarshalText returns the group as a key of a JSON object: both names, quoted.
func (g Group) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%q %q", g.Type, g.Tenant), nil
}

// UnmarshalText parses the text that MarshalText returns.
func (g *Group) UnmarshalText(text []byte) error {
	if _, err := fmt.Sscanf(string(text), "%q %q", &g.Type, &g.Tenant); err != nil {
		return fmt.Errorf("%q is not a group: %w", text, err)
	}
	return nil
}

// Compare orders groups by type, then by tenant.
func (g Group) Compare(other Group) int {
	if byType := strings.Compare(g.Type, other.Type); byType != 0 {
		return byType
	}
	return strings.Compare(g.Tenant, other.Tenant)
}

// Sample is what was observed of a controller since the previous sample.
type Sample struct {
	Member         string
	IsNew          bool // the controller has run the new version for longer than the settle time
	Counts         map[Group]JobCounts
	Probes         uint64
	CPUNS          int64
	Crashes        uint64  // unexpected exits and failed starts
	MemoryMB       float64 // current value
	EjectedEngines int     // current value
}

// groupsOf returns the groups of the samples, sorted.
func groupsOf(samples []Sample) []Group {
	all := map[Group]struct{}{}
	for _, s := range samples {
		for g := range s.Counts {
			all[g] = struct{}{}
		}
	}
	return sortedGroups(all)
}

func sortedGroups[V any](byGroup map[Group]V) []Group {
	return slices.SortedFunc(maps.Keys(byGroup), Group.Compare)
}
