package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftreel/choice"
)

// Topology overrides settings of the deployment. A field that is not nil replaces the decision module's setting of that
// name in the ROUTER_CONFIG file. Changes are applied at SIGHUP without a restart; removing the part from the file
// restores the original settings.
type Topology struct {
	Cancel         *bool    `json:"cancel"`           // limits.cancel: dispatches can be cancelled
	PeerMessages   *bool    `json:"peer_messages"`    // limits.peer_messages; not yet supported over sockets
	GrantsCount    *bool    `json:"grants_count"`     // domain.grants_count: engines observe memory grants
	TakesPriority  *bool    `json:"takes_priority"`   // domain.takes_priority: engines observe priorities
	SaysCost       *bool    `json:"says_cost"`        // domain.says_cost: answers report the work done
	FurtherRatio   *float64 `json:"further_ratio"`    // invariants.further_ratio, at least 0
	BudgetFree     *float64 `json:"budget_free"`      // invariants.budget_free, at least 0
	BudgetWindowMS *int64   `json:"budget_window_ms"` // invariants.extra_window_ns, in ms

	Types map[string]TopologyType `json:"types"` // by name of the job type
}

// TopologyType overrides settings of one job type.
type TopologyType struct {
	KindsOnly     []string `json:"kinds_only"`      // classes[].kinds_only, as names of engine kinds
	WaitsForLoads *bool    `json:"waits_for_loads"` // domain.waits_for_loads[type]
}

// Apply returns a copy of the settings with the topology applied. It fails if the topology names a job type or engine
// kind that is not in the settings; the error contains the path in the file.
func (t *Topology) Apply(settings choice.RawSettings) (choice.RawSettings, error) {
	if t == nil {
		return settings, nil
	}
	result, err := deepCopy(settings)
	if err != nil {
		return nil, err
	}
	replace(result, "limits", "cancel", t.Cancel)
	replace(result, "limits", "peer_messages", t.PeerMessages)
	replace(result, "domain", "grants_count", t.GrantsCount)
	replace(result, "domain", "takes_priority", t.TakesPriority)
	replace(result, "domain", "says_cost", t.SaysCost)
	replace(result, "invariants", "further_ratio", t.FurtherRatio)
	replace(result, "invariants", "budget_free", t.BudgetFree)
	if t.BudgetWindowMS != nil {
		windowNS := float64(*t.BudgetWindowMS) * float64(time.Millisecond)
		replace(result, "invariants", "extra_window_ns", &windowNS)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Types)) {
		if err := applyType(result, name, t.Types[name]); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func deepCopy(settings choice.RawSettings) (choice.RawSettings, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	var result choice.RawSettings
	if err := json.Unmarshal(text, &result); err != nil {
		return nil, err
	}
	return result, nil
}

// replace sets a value of a section, unless value is nil.
func replace[T any](settings choice.RawSettings, sectionName, name string, value *T) {
	if value != nil {
		section(settings, sectionName)[name] = *value
	}
}

// section returns a section of the settings, adding it if it is absent.
func section(settings choice.RawSettings, name string) map[string]any {
	if existing, isObject := settings[name].(map[string]any); isObject && existing != nil {
		return existing
	}
	added := map[string]any{}
	settings[name] = added
	return added
}

func applyType(settings choice.RawSettings, name string, change TopologyType) error {
	classes, _ := settings["classes"].([]any)
	index := slices.IndexFunc(classes, func(value any) bool {
		class, _ := value.(map[string]any)
		return class["name"] == name
	})
	if index < 0 {
		return fmt.Errorf("/shape/types/%s: job type is not in the settings", name)
	}
	if change.KindsOnly != nil {
		indices, err := kindIndices(settings, name, change.KindsOnly)
		if err != nil {
			return err
		}
		class, _ := classes[index].(map[string]any) // an object: its name matched above
		class["kinds_only"] = indices
	}
	if change.WaitsForLoads != nil {
		setWaitsForLoads(section(settings, "domain"), index, len(classes), *change.WaitsForLoads)
	}
	return nil
}

// kindIndices converts names of engine kinds to their indices in the settings.
func kindIndices(settings choice.RawSettings, typeName string, names []string) ([]any, error) {
	kinds, _ := settings["kinds"].([]any)
	indices := []any{}
	for i, name := range names {
		index := slices.Index(kinds, any(name))
		if index < 0 {
			return nil, fmt.Errorf("/shape/types/%s/kinds_only/%d: engine kind %q is not in the settings", typeName, i, name)
		}
		indices = append(indices, float64(index)) // the type of decoded JSON numbers
	}
	return indices, nil
}

// setWaitsForLoads sets the flag of one job type. Missing flags are added as false.
func setWaitsForLoads(domain map[string]any, index, typeCount int, waits bool) {
	flags, _ := domain["waits_for_loads"].([]any)
	for len(flags) < typeCount {
		flags = append(flags, false)
	}
	flags[index] = waits
	domain["waits_for_loads"] = flags
}
