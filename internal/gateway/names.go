package gateway

import (
	"hash/fnv"
	"math"

	"swiftreel/choice"
)

// names turns the settings' names into the module's numbers.
type names struct {
	types   map[string]choice.TypeID
	tenants map[string]choice.TenantID
	zones   map[string]choice.ZoneID
	kinds   map[string]choice.KindID
	own     string // the zone that this controller is in
}

func newNames(facts choice.RawSettings) names {
	n := names{map[string]choice.TypeID{}, map[string]choice.TenantID{}, map[string]choice.ZoneID{},
		map[string]choice.KindID{}, ""}
	here, _ := facts["locality"].(float64)
	each(facts, "classes", func(i int, name string) { n.types[name] = choice.TypeID(i) })
	each(facts, "tenants", func(i int, name string) { n.tenants[name] = choice.TenantID(i) })
	each(facts, "localities", func(i int, name string) {
		if n.zones[name] = choice.ZoneID(i); i == int(here) {
			n.own = name
		}
	})
	each(facts, "kinds", func(i int, name string) { n.kinds[name] = choice.KindID(i) })
	return n
}

// Zones and kinds that the settings do not name: in no list of places where a type may run.
const (
	noZone = choice.ZoneID(math.MaxUint8)
	noKind = choice.KindID(math.MaxUint16)
)

func (n names) zone(name string) choice.ZoneID {
	if id, is := n.zones[name]; is {
		return id
	}
	return noZone
}

func (n names) kind(name string) choice.KindID {
	if id, is := n.kinds[name]; is {
		return id
	}
	return noKind
}

// each goes through a list of the settings whose entries are names, or have one.
func each(facts choice.RawSettings, path string, tell func(i int, name string)) {
	list, _ := facts[path].([]any)
	for i, v := range list {
		if entry, is := v.(map[string]any); is {
			v = entry["name"]
		}
		if name, is := v.(string); is {
			tell(i, name)
		}
	}
}

// keyOf turns an order's key into a number that is not 0.
func keyOf(text []byte) choice.Key {
	if len(text) == 0 {
		return 0
	}
	h := fnv.New64a()
	h.Write(text)
	return choice.Key(max(1, h.Sum64()))
}
