package choice

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"testing"
)

// anySettings contains each kind of value that settings may have.
func anySettings() RawSettings {
	return RawSettings{
		"balancers": 3.0,
		"classes":   []any{map[string]any{"gain": 1.5, "fifo_by_key": true, "allowed_in": []any{}}, nil},
		"limits":    map[string]any{"cancel": true, "most_tries": math.Pi},
		"tenants":   []any{map[string]any{"quota_per_s": 0.1}},
		"some":      []any{1.5, "text", true, nil, map[string]any{"a": []any{}}},
	}
}

// fill sets a value, recursively each exported field of a struct, to something that is not zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(-7)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float64:
		v.SetFloat(math.Pi)
	case reflect.String:
		v.SetString("some")
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.SetMapIndex(key, value)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[Settings]() {
			v.Set(reflect.ValueOf(*ParseSettings(anySettings())))
			return
		}
		if v.Type() == reflect.TypeFor[TypeStats]() {
			stats := v.Addr().Interface().(*TypeStats)
			for i, field := range stats.fields() {
				*field = float64(i) + 0.1
			}
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	default:
		panic("fill: unsupported kind " + v.Kind().String())
	}
}

// TestRecordingsCoverEveryEventField fails if an event field is lost in the recorded form.
func TestRecordingsCoverEveryEventField(t *testing.T) {
	var full Event
	fill(reflect.ValueOf(&full).Elem())
	events := []Event{full, {}}
	for i := range reflect.TypeFor[Event]().NumField() {
		var one Event
		fill(reflect.ValueOf(&one).Elem().Field(i))
		events = append(events, one)
	}
	for kind := range EventKind(20) {
		events = append(events, Event{Kind: kind, Result: Result(kind), List: ListKind(kind),
			Engines: []EngineEntry{{State: EngineState(kind)}}})
	}
	for i, ev := range events {
		var step recordedStep
		if err := json.Unmarshal(encodeStep(t, recordedStep{Event: recorded(ev, anySettings())}), &step); err != nil {
			t.Fatal(err)
		}
		if raw := RawSettings(step.Event.Settings); ev.Settings != nil && !reflect.DeepEqual(raw, anySettings()) {
			t.Errorf("event %d: settings are decoded as %v", i, raw)
		}
		if got := step.Event.event(t); !reflect.DeepEqual(got, ev) {
			t.Errorf("event %d: %+v is decoded as %+v", i, ev, got)
		}
	}
	for i := range 9 {
		var stats TypeStats
		*stats.fields()[i] = math.E
		if got := recorded(Event{TypeStats: []TypeStats{stats}}, nil).event(t).TypeStats[0]; got != stats {
			t.Errorf("type statistic %d: %+v is decoded as %+v", i, stats, got)
		}
	}
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.Copysign(0, -1), 1.0 / 3, 5e-324,
		math.MaxFloat64} {
		var step recordedStep
		if err := json.Unmarshal(encodeStep(t, recordedStep{Event: recorded(Event{MemoryMB: v}, nil)}), &step); err != nil {
			t.Fatal(err)
		}
		if got := step.Event.event(t).MemoryMB; math.Float64bits(got) != math.Float64bits(v) {
			t.Errorf("%v is decoded as %v", v, got)
		}
	}
}

// TestDigestsCoverEveryActionField fails if an action field does not change the digest.
func TestDigestsCoverEveryActionField(t *testing.T) {
	for i := range reflect.TypeFor[Action]().NumField() {
		one, other := Action{Kind: Dispatch}, Action{Kind: Dispatch}
		if fill(reflect.ValueOf(&other).Elem().Field(i)); one == other {
			other.Kind = SendProbe
		}
		if digestActions([]Action{one}) == digestActions([]Action{other}) {
			t.Errorf("field %s is not in the digest", reflect.TypeFor[Action]().Field(i).Name)
		}
	}
	a, b := Action{Kind: Log, Text: "a"}, Action{Kind: Log, Text: "b"}
	if digestActions([]Action{a}) != digestActions([]Action{b}) ||
		slices.Equal(logTexts([]Action{a}), logTexts([]Action{b})) {
		t.Error("log texts must not be in the digest, and must be compared separately")
	}
	if digestActions([]Action{a, {Kind: SendProbe}}) == digestActions([]Action{{Kind: SendProbe}, a}) {
		t.Error("the order of actions is not in the digest")
	}
}
