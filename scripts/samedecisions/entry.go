package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// entry is the part of a journal entry that describes a score on the simulator. Figures stay decoded JSON: they are
// compared as they were written, whatever the bench records about a day.
type entry struct {
	ID          string `json:"id"`
	Command     string `json:"cmd"`
	Simulated   bool   `json:"sim"`
	Mode        string `json:"mode"`
	Site        string `json:"site"`
	SiteSHA     string `json:"site_sha"`
	Panel       string `json:"panel"`
	OK          any    `json:"ok"`
	Error       any    `json:"error"`
	Score       any    `json:"score"`
	DaysLeftOut any    `json:"days_left_out"`
	Days        []any  `json:"days"`
}

// readEntry reads the entry with the given identifier from the journal directory, or from a file if name is a path.
func readEntry(journal, name string) (*entry, error) {
	path := name
	if filepath.Ext(name) != ".json" {
		matches, err := filepath.Glob(filepath.Join(journal, "*-"+name+".json"))
		if err != nil {
			return nil, fmt.Errorf("entry %s: %w", name, err)
		}
		if len(matches) != 1 {
			return nil, fmt.Errorf("entry %s: %d files of that name in %s", name, len(matches), journal)
		}
		path = matches[0]
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", name, err)
	}
	return parseEntry(name, text)
}

func parseEntry(name string, text []byte) (*entry, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // a figure is equal only if it is written with the same digits
	var e entry
	if err := decoder.Decode(&e); err != nil {
		return nil, fmt.Errorf("entry %s: %w", name, err)
	}
	if e.Command != "score" || !e.Simulated {
		return nil, fmt.Errorf("entry %s: no score on the simulator (command %q)", name, e.Command)
	}
	if len(e.Days) == 0 {
		return nil, fmt.Errorf("entry %s: holds no days", name)
	}
	return &e, nil
}

// sameRun returns an error unless both entries are runs of the same days of the same deployment.
func sameRun(before, after *entry) error {
	identity := func(e *entry) string {
		return fmt.Sprintf("site %s (%s), panel %s, mode %s", e.Site, e.SiteSHA, e.Panel, e.Mode)
	}
	if identity(before) != identity(after) {
		return fmt.Errorf("%s is %s, but %s is %s", before.ID, identity(before), after.ID, identity(after))
	}
	return nil
}

// figures returns what two runs with the same decisions have in common.
func (e *entry) figures() map[string]any {
	return map[string]any{
		"ok": e.OK, "error": e.Error, "score": e.Score, "days_left_out": e.DaysLeftOut, "days": e.Days,
	}
}
