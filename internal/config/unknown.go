package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// knownNames are the names that the file and its sections may have. What is below settings belongs to the module.
var knownNames = map[string][]string{
	"":       {"name", "listen", "seed", "limits", "feed", "known", "settings"},
	"limits": {"cores", "memory_mb", "sockets"},
	"known":  {"n", "events"},
}

// unknownNames returns all other names, by section and name.
func unknownNames(text []byte) []string {
	var file map[string]json.RawMessage
	if json.Unmarshal(text, &file) != nil {
		return nil // Parse has read it before
	}
	var unknown []string
	for _, section := range slices.Sorted(maps.Keys(knownNames)) {
		names := file
		prefix := ""
		if section != "" {
			names = sectionNames(file[section])
			prefix = section + "."
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if !slices.Contains(knownNames[section], name) {
				unknown = append(unknown, prefix+name)
			}
		}
	}
	return unknown
}

// sectionNames reads a section; nil if it is absent or null.
func sectionNames(text json.RawMessage) map[string]json.RawMessage {
	var names map[string]json.RawMessage
	if json.Unmarshal(text, &names) != nil {
		return nil
	}
	return names
}
