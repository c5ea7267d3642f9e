package main

import (
	"fmt"

	"swiftreel/choice"
)

// SettingError reports a setting that has the wrong type or value.
type SettingError struct {
	Path string // dotted, as in "classes.0.kinds_only"
	Want string // the expected form
}

// Error returns the path of the setting and its expected form.
func (e *SettingError) Error() string { return fmt.Sprintf("%s: want %s", e.Path, e.Want) }

// checkSettings returns a SettingError for a setting of the wrong form. Package choice would silently misread it: a
// list of zone names instead of indexes, for example, would exclude every engine. Only classes is required: package
// choice has defaults for other absent settings.
func checkSettings(settings choice.RawSettings) error {
	classes, isList := settings["classes"].([]any)
	if !isList {
		return &SettingError{"classes", "a list"}
	}
	for i, class := range classes {
		if err := checkClass(class, fmt.Sprintf("classes.%d", i)); err != nil {
			return err
		}
	}
	if err := checkTelemetry(object(settings["telemetry"])); err != nil {
		return err
	}
	return checkInvariants(object(settings["invariants"]))
}

func checkClass(value any, path string) error {
	class, isObject := value.(map[string]any)
	if !isObject {
		return &SettingError{path, "an object"}
	}
	for _, name := range []string{"kinds_only", "allowed_in"} {
		if err := checkIndexes(class[name], path+"."+name); err != nil {
			return err
		}
	}
	return nil
}

// checkIndexes checks a list of indexes into `kinds` or `localities`, if there is one.
func checkIndexes(value any, path string) error {
	if value == nil {
		return nil
	}
	indexes, isList := value.([]any)
	if !isList {
		return &SettingError{path, "a list"}
	}
	for i, index := range indexes {
		number, isNumber := index.(float64)
		if !isNumber || number < 0 || number != float64(int(number)) {
			return &SettingError{fmt.Sprintf("%s.%d", path, i), "an index, an integer of at least 0"}
		}
	}
	return nil
}

func checkTelemetry(telemetry map[string]any) error {
	names, isList := telemetry["fields"].([]any)
	if !isList {
		return nil
	}
	for i, name := range names {
		if _, isText := name.(string); !isText {
			return &SettingError{fmt.Sprintf("telemetry.fields.%d", i), "a string"}
		}
	}
	return nil
}

func checkInvariants(invariants map[string]any) error {
	for _, name := range []string{"further_ratio", "budget_free", "extra_window_ns"} {
		value, present := invariants[name]
		if !present {
			continue
		}
		if number, isNumber := value.(float64); !isNumber || number < 0 {
			return &SettingError{"invariants." + name, "a number of at least 0"}
		}
	}
	return nil
}

// object returns a value as an object, or nil.
func object(value any) map[string]any {
	members, isObject := value.(map[string]any)
	if !isObject {
		return nil
	}
	return members
}
