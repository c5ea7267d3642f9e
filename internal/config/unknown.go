package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// knownNames lists the keys of the file, under "", and of its sections. The keys below settings are checked by the
// decision module.
var knownNames = map[string][]string{
	"":       {"name", "listen", "seed", "limits", "feed", "known", "settings"},
	"limits": {"cores", "memory_mb", "sockets"},
	"known":  {"n", "events"},
}

// unknownNames returns all other keys of the file, sorted by section and name.
func unknownNames(text []byte) []string {
	var file map[string]json.RawMessage
	if json.Unmarshal(text, &file) != nil {
		return nil // cannot happen: Parse has already decoded the text
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

// sectionNames returns the keys of a section with their values, or nil if it is absent or null.
func sectionNames(text json.RawMessage) map[string]json.RawMessage {
	var names map[string]json.RawMessage
	if json.Unmarshal(text, &names) != nil {
		return nil
	}
	return names
}
