package gateway

import (
	"hash/fnv"
	"math"

	"swiftreel/choice"
)

// Zones and kinds that the settings do not name. No list of places where a job type may run contains them.
const (
	unknownZone = choice.ZoneID(math.MaxUint8)
	unknownKind = choice.KindID(math.MaxUint16)
)

// identifiers converts the names of the settings into the module's numbers. It does not change once made.
type identifiers struct {
	types   map[string]choice.TypeID
	tenants map[string]choice.TenantID
	zones   map[string]choice.ZoneID
	kinds   map[string]choice.KindID
	ownZone string // name of the zone that this controller is in
}

func newIdentifiers(facts choice.RawSettings) identifiers {
	ids := identifiers{
		types:   map[string]choice.TypeID{},
		tenants: map[string]choice.TenantID{},
		zones:   map[string]choice.ZoneID{},
		kinds:   map[string]choice.KindID{},
	}
	ownZone, _ := facts["locality"].(float64)
	forEachName(facts, "classes", func(i int, name string) { ids.types[name] = choice.TypeID(i) })
	forEachName(facts, "tenants", func(i int, name string) { ids.tenants[name] = choice.TenantID(i) })
	forEachName(facts, "kinds", func(i int, name string) { ids.kinds[name] = choice.KindID(i) })
	forEachName(facts, "localities", func(i int, name string) {
		ids.zones[name] = choice.ZoneID(i)
		if i == int(ownZone) {
			ids.ownZone = name
		}
	})
	return ids
}

// forEachName calls visit for each entry of a list in the settings that is a name, or an object with a name.
func forEachName(facts choice.RawSettings, key string, visit func(i int, name string)) {
	list, _ := facts[key].([]any)
	for i, value := range list {
		if entry, isObject := value.(map[string]any); isObject {
			value = entry["name"]
		}
		if name, isString := value.(string); isString {
			visit(i, name)
		}
	}
}

func (ids identifiers) zone(name string) choice.ZoneID {
	if id, known := ids.zones[name]; known {
		return id
	}
	return unknownZone
}

func (ids identifiers) kind(name string) choice.KindID {
	if id, known := ids.kinds[name]; known {
		return id
	}
	return unknownKind
}

// orderKey converts the text of an order key into a number; 0 means that there is no key.
func orderKey(text []byte) choice.Key {
	if len(text) == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(text) // never fails
	return choice.Key(max(1, hash.Sum64()))
}
