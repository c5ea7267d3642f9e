package main

import (
	"fmt"

	"swiftreel/choice"
)

// checkFacts refuses settings whose form the module cannot read, naming the field: a value read wrongly would
// else become a silent default (a place list of names, say, would bar every engine). Absent fields are the
// module's affair; only the form of those present is checked.
func checkSettings(f choice.RawSettings) error {
	classes, ok := f["classes"].([]any)
	if !ok {
		return fmt.Errorf("classes: a list is wanted")
	}
	for i, c := range classes {
		class, ok := c.(map[string]any)
		if !ok {
			return fmt.Errorf("classes.%d: an object is wanted", i)
		}
		for _, name := range []string{"kinds_only", "allowed_in"} {
			if err := places(class[name], fmt.Sprintf("classes.%d.%s", i, name)); err != nil {
				return err
			}
		}
	}
	if fields, ok := object(f["telemetry"])["fields"].([]any); ok {
		for i, v := range fields {
			if _, ok := v.(string); !ok {
				return fmt.Errorf("telemetry.fields.%d: a name is wanted, not %v", i, v)
			}
		}
	}
	for _, name := range []string{"further_ratio", "budget_free", "extra_window_ns"} {
		if v, there := object(f["invariants"])[name]; there {
			if x, ok := v.(float64); !ok || x < 0 {
				return fmt.Errorf("invariants.%s: a number from 0 is wanted, not %v", name, v)
			}
		}
	}
	return nil
}

// places checks a list of places in `kinds` or `localities`: whole numbers from 0.
func places(v any, path string) error {
	if v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		return fmt.Errorf("%s: a list is wanted", path)
	}
	for i, p := range list {
		if x, ok := p.(float64); !ok || x < 0 || x != float64(int(x)) {
			return fmt.Errorf("%s.%d: a place in the list (a whole number from 0) is wanted, not %v", path, i, p)
		}
	}
	return nil
}

// object is v as an object, or an empty one.
func object(v any) map[string]any { m, _ := v.(map[string]any); return m }
