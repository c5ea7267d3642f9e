package gateway

import (
	"hash/fnv"
	"math"

	"swiftreel/choice"
)

// IDs of zones and kinds that are not in the settings. No job type's placement includes them.
const (
	unknownZone = choice.ZoneID(math.MaxUint8)
	unknownKind = choice.KindID(math.MaxUint16)
)

// identifiers maps names in the settings to the module's IDs. It is immutable.
type identifiers struct {
	types   map[string]choice.TypeID
	tenants map[string]choice.TenantID
	zones   map[string]choice.ZoneID
	kinds   map[string]choice.KindID
	ownZone string // name of this controller's zone
}

func newIdentifiers(raw choice.RawSettings) identifiers {
	ids := identifiers{
		types:   map[string]choice.TypeID{},
		tenants: map[string]choice.TenantID{},
		zones:   map[string]choice.ZoneID{},
		kinds:   map[string]choice.KindID{},
	}
	ownZone, _ := raw["locality"].(float64)
	forEachName(raw, "classes", func(i int, name string) { ids.types[name] = choice.TypeID(i) })
	forEachName(raw, "tenants", func(i int, name string) { ids.tenants[name] = choice.TenantID(i) })
	forEachName(raw, "kinds", func(i int, name string) { ids.kinds[name] = choice.KindID(i) })
	forEachName(raw, "localities", func(i int, name string) {
		ids.zones[name] = choice.ZoneID(i)
		if i == int(ownZone) {
			ids.ownZone = name
		}
	})
	return ids
}

// forEachName calls visit for each entry of a list in the settings that is a string or an object with a name.
func forEachName(raw choice.RawSettings, key string, visit func(i int, name string)) {
	list, _ := raw[key].([]any)
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

// orderingKey hashes the text of an ordering key; 0 means that there is no key.
func orderingKey(text []byte) choice.Key {
	if len(text) == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(text) // never fails
	return choice.Key(max(1, hash.Sum64()))
}
