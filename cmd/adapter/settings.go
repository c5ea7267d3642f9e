package main

import (
	"fmt"

	"swiftreel/choice"
)

// SettingError is a setting whose form the decision module cannot read.
type SettingError struct {
	Path string // dotted, as in "classes.0.kinds_only"
	Want string
}

// Error names the setting and what is wanted.
func (e *SettingError) Error() string { return fmt.Sprintf("%s: want %s", e.Path, e.Want) }

// checkSettings refuses settings of the wrong form with a SettingError: a value read wrongly would else become a
// silent default (a list of zone names, say, would bar every engine). Absent settings are the module's affair.
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
		if err := checkPlaces(class[name], path+"."+name); err != nil {
			return err
		}
	}
	return nil
}

// checkPlaces checks a list of places in `kinds` or `localities`, if there is one: integers from 0.
func checkPlaces(value any, path string) error {
	if value == nil {
		return nil
	}
	places, isList := value.([]any)
	if !isList {
		return &SettingError{path, "a list"}
	}
	for i, place := range places {
		number, isNumber := place.(float64)
		if !isNumber || number < 0 || number != float64(int(number)) {
			return &SettingError{fmt.Sprintf("%s.%d", path, i), "a place in the list, an integer from 0"}
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
			return &SettingError{fmt.Sprintf("telemetry.fields.%d", i), "a name"}
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
			return &SettingError{"invariants." + name, "a number from 0"}
		}
	}
	return nil
}

// object is a value as an object, or nil.
func object(value any) map[string]any {
	members, isObject := value.(map[string]any)
	if !isObject {
		return nil
	}
	return members
}
