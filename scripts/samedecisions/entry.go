package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// entry is the part of a journal entry that describes a score on the simulator. Figures are kept as decoded JSON, so
// that every field recorded for a day is compared as written, including fields added to the bench later.
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

// readEntry reads the entry with the given ID from the journal directory, or from a file if name ends in .json.
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
	decoder.UseNumber() // numbers are equal only if they are written with the same digits
	var e entry
	if err := decoder.Decode(&e); err != nil {
		return nil, fmt.Errorf("entry %s: %w", name, err)
	}
	if e.Command != "score" || !e.Simulated {
		return nil, fmt.Errorf("entry %s: not a score on the simulator (command %q)", name, e.Command)
	}
	if len(e.Days) == 0 {
		return nil, fmt.Errorf("entry %s: contains no days", name)
	}
	return &e, nil
}

// checkSameRun returns an error unless both entries are runs of the same deployment, panel and mode.
func checkSameRun(before, after *entry) error {
	identity := func(e *entry) string {
		return fmt.Sprintf("site %s (%s), panel %s, mode %s", e.Site, e.SiteSHA, e.Panel, e.Mode)
	}
	if identity(before) != identity(after) {
		return fmt.Errorf("entries of different runs: %s is %s, %s is %s",
			before.ID, identity(before), after.ID, identity(after))
	}
	return nil
}

// figures returns the fields that are equal in two runs with the same decisions.
func (e *entry) figures() map[string]any {
	return map[string]any{
		"ok": e.OK, "error": e.Error, "score": e.Score, "days_left_out": e.DaysLeftOut, "days": e.Days,
	}
}
