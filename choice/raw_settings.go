package choice

import (
	"fmt"
	"strconv"
	"strings"
)

// RawSettings are the settings as decoded from JSON. They are read by dotted path ("limits.probes",
// "classes.2.gain"). A value that is absent or of another type is replaced by a default.
type RawSettings map[string]any

// at returns the value at a path, or nil.
func (r RawSettings) at(path string) any {
	var value any = map[string]any(r)
	for path != "" {
		var name string
		name, path, _ = strings.Cut(path, ".")
		switch node := value.(type) {
		case map[string]any:
			value = node[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(node) {
				return nil
			}
			value = node[i]
		default:
			return nil
		}
	}
	return value
}

func (r RawSettings) number(path string, fallback float64) float64 {
	if v, ok := r.at(path).(float64); ok {
		return v
	}
	return fallback
}

func (r RawSettings) nanos(path string) Nanos { return Nanos(r.number(path, 0)) }

func (r RawSettings) flag(path string) bool {
	v, isBool := r.at(path).(bool)
	return isBool && v
}

// text returns the string at a path, or "".
func (r RawSettings) text(path string) string {
	v, isString := r.at(path).(string)
	if !isString {
		return ""
	}
	return v
}

// list returns the list at a path, or nil.
func (r RawSettings) list(path string) []any {
	v, isList := r.at(path).([]any)
	if !isList {
		return nil
	}
	return v
}

// numbers returns the numbers at path.N, or at path.N.name if a name is given, by N. N is the index in a list
// or the key in an object.
func (r RawSettings) numbers(path, name string) map[int]float64 {
	var indexes []int
	switch node := r.at(path).(type) {
	case []any:
		for i := range node {
			indexes = append(indexes, i)
		}
	case map[string]any:
		for key := range node {
			if i, err := strconv.Atoi(key); err == nil && i >= 0 && strconv.Itoa(i) == key {
				indexes = append(indexes, i)
			}
		}
	}
	found := map[int]float64{}
	for _, i := range indexes {
		valuePath := fmt.Sprintf("%s.%d", path, i)
		if name != "" {
			valuePath += "." + name
		}
		if v, ok := r.at(valuePath).(float64); ok {
			found[i] = v
		}
	}
	return found
}
