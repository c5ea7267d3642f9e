// Package canary compares controllers on a new version with those on the old one during a rollout stage, by a
// sequential test: after every sample the evidence may be evaluated, and the rollout may be stopped, without the
// probability of a false alarm growing beyond its limit.
//
// For each reservation type and tenant and for each measure (jobs over their SLA time, throttled, cancelled, retried,
// slow) the analysis keeps e-values: evidence whose expectation is at most 1 while the new version is not worse.
// Guardrails on memory, CPU, probes, ejected engines and crashes, which are no counts of jobs, stand beside it.
//
// The package has no I/O, clock or randomness. Its types are not safe for concurrent use.
package canary

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Group is a reservation type of a tenant. Controllers are compared by group, as traffic is distributed unevenly.
type Group struct {
	Type   string `json:"type"`
	Tenant string `json:"tenant"`
}

// MarshalText returns the group as a key of a JSON object: both names quoted.
func (g Group) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%q %q", g.Type, g.Tenant), nil
}

// UnmarshalText reads what MarshalText returns.
func (g *Group) UnmarshalText(text []byte) error {
	if _, err := fmt.Sscanf(string(text), "%q %q", &g.Type, &g.Tenant); err != nil {
		return fmt.Errorf("%q is no group: %w", text, err)
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

// Sample is what was observed of a controller since the sample before.
type Sample struct {
	Member         string
	IsNew          bool // it runs the new version, and has done so for long enough to be steady
	Counts         map[Group]JobCounts
	Probes         uint64
	CPUNS          int64
	Crashes        uint64  // exits that were not ordered, and starts that failed
	MemoryMB       float64 // now
	EjectedEngines int     // now
}

// groupsOf returns the groups of some samples in order.
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
