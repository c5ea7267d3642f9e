package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// difference is one figure that differs between two entries. A side that lacks the figure is "absent".
type difference struct {
	path          string
	before, after string
}

// absent represents a figure that only the other side has. JSON null is not absent: it is a value of its own.
type absent struct{}

// isCPUFigure holds the names of figures that depend on the machine and its load, not on the decisions taken.
var isCPUFigure = map[string]bool{
	"cpu_us_event": true,
	"cpu_late":     true,
}

// compareFigures returns the differences between two sets of figures, sorted by path.
func compareFigures(before, after map[string]any) []difference {
	return compareObjects("", before, after)
}

func compareValues(path string, before, after any) []difference {
	switch old := before.(type) {
	case map[string]any:
		if recent, ok := after.(map[string]any); ok {
			return compareObjects(path+".", old, recent)
		}
	case []any:
		if recent, ok := after.([]any); ok {
			return compareLists(path, old, recent)
		}
	default:
		if !isContainer(after) && before == after {
			return nil
		}
	}
	return []difference{{path: path, before: render(before), after: render(after)}}
}

func isContainer(value any) bool {
	switch value.(type) {
	case map[string]any, []any:
		return true
	}
	return false
}

func compareObjects(prefix string, before, after map[string]any) []difference {
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var found []difference
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if isCPUFigure[key] {
			continue
		}
		found = append(found, compareValues(prefix+key, memberOf(before, key), memberOf(after, key))...)
	}
	return found
}

func memberOf(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

func compareLists(path string, before, after []any) []difference {
	var found []difference
	for i := range max(len(before), len(after)) {
		at := fmt.Sprintf("%s[%d]", path, i)
		found = append(found, compareValues(at, elementOf(before, i), elementOf(after, i))...)
	}
	return found
}

func elementOf(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return absent{}
}

// render formats a value as JSON, as in the journal.
func render(value any) string {
	if _, ok := value.(absent); ok {
		return "absent"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
