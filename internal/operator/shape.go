package operator

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
)

// Topology is what the operator's file says of the deployment's shape. Each field given stands above the setting
// of that name that ROUTER_CONFIG gives the module; one absent leaves it as it is, so that a file without this
// part changes nothing. It is taken over at SIGHUP without a restart, and taking it out is the way back.
type Topology struct {
	Cancel         *bool                   `json:"cancel"`           // limits.cancel: dispatches may be retracted
	PeerMessages   *bool                   `json:"peer_messages"`    // limits.peer_messages; no channel on sockets yet
	GrantsCount    *bool                   `json:"grants_count"`     // domain.grants_count: memory grants are heeded
	TakesPriority  *bool                   `json:"takes_priority"`   // domain.takes_priority
	SaysCost       *bool                   `json:"says_cost"`        // domain.says_cost: answers tell the work
	FurtherRatio   *float64                `json:"further_ratio"`    // invariants.further_ratio, from 0
	BudgetFree     *float64                `json:"budget_free"`      // invariants.budget_free, from 0
	BudgetWindowMS *int64                  `json:"budget_window_ms"` // invariants.extra_window_ns, in ms
	Types          map[string]TopologyType `json:"types"`            // by reservation type
}

// TopologyType is what the shape says of one reservation type.
type TopologyType struct {
	KindsOnly     []string `json:"kinds_only"`      // classes[].kinds_only: by the names of kinds
	WaitsForLoads *bool    `json:"waits_for_loads"` // domain.waits_for_loads[type]
}

// Apply gives the settings with the shape over them; the settings given are not changed. Errors name the part
// of the file: a reservation type or a kind that the settings do not know.
func (s *Topology) Apply(settings map[string]any) (map[string]any, error) {
	if s == nil {
		return settings, nil
	}
	var f map[string]any
	text, err := json.Marshal(settings)
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err != nil {
		return nil, err
	}
	put := func(part, name string, v any) {
		m, _ := f[part].(map[string]any)
		if m == nil {
			m = map[string]any{}
			f[part] = m
		}
		m[name] = v
	}
	for part, flags := range map[string]map[string]*bool{
		"limits": {"cancel": s.Cancel, "peer_messages": s.PeerMessages},
		"domain": {"grants_count": s.GrantsCount, "takes_priority": s.TakesPriority, "says_cost": s.SaysCost},
	} {
		for name, v := range flags {
			if v != nil {
				put(part, name, *v)
			}
		}
	}
	for name, v := range map[string]*float64{"further_ratio": s.FurtherRatio, "budget_free": s.BudgetFree} {
		if v != nil {
			put("invariants", name, *v)
		}
	}
	if s.BudgetWindowMS != nil {
		put("invariants", "extra_window_ns", float64(*s.BudgetWindowMS)*1e6)
	}
	return f, s.types(f)
}

// types puts what the shape says of each reservation type, in the order of names.
func (s *Topology) types(f map[string]any) error {
	classes, _ := f["classes"].([]any)
	kinds, _ := f["kinds"].([]any)
	names := make([]string, 0, len(s.Types))
	for name := range s.Types {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		at := slices.IndexFunc(classes, func(c any) bool { m, _ := c.(map[string]any); return m["name"] == name })
		if at < 0 {
			return fmt.Errorf("/shape/types/%s: the settings name no such reservation type", name)
		}
		t, class := s.Types[name], classes[at].(map[string]any)
		if t.KindsOnly != nil {
			places := []any{}
			for i, kind := range t.KindsOnly {
				k := slices.Index(kinds, any(kind))
				if k < 0 {
					return fmt.Errorf("/shape/types/%s/kinds_only/%d: the settings name no kind %q", name, i, kind)
				}
				places = append(places, float64(k))
			}
			class["kinds_only"] = places
		}
		if t.WaitsForLoads != nil {
			domain, _ := f["domain"].(map[string]any)
			if domain == nil {
				domain = map[string]any{}
				f["domain"] = domain
			}
			waits, _ := domain["waits_for_loads"].([]any)
			for len(waits) < len(classes) {
				waits = append(waits, false)
			}
			waits[at], domain["waits_for_loads"] = *t.WaitsForLoads, waits
		}
	}
	return nil
}
