package choice

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"testing"
)

// anySettings hold each kind of value that settings may have.
func anySettings() RawSettings {
	return RawSettings{
		"balancers": 3.0,
		"classes":   []any{map[string]any{"gain": 1.5, "fifo_by_key": true, "allowed_in": []any{}}, nil},
		"limits":    map[string]any{"cancel": true, "most_tries": math.Pi},
		"tenants":   []any{map[string]any{"quota_per_s": 0.1}},
		"some":      []any{1.5, "text", true, nil, map[string]any{"a": []any{}}},
	}
}

// fill sets each exported field of a value, however deep, to something that is not zero.
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
			m := v.Addr().Interface().(*TypeStats)
			for i, part := range m.figures() {
				*part = float64(i) + 0.1
			}
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	default:
		panic("no filling for " + v.Kind().String())
	}
}

// TestRecordingsCoverEveryEventField: a field of an event that a stream would lose is seen here.
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
			t.Errorf("event %d: settings are read as %v", i, raw)
		}
		if got := step.Event.event(t); !reflect.DeepEqual(got, ev) {
			t.Errorf("event %d: %+v is read as %+v", i, ev, got)
		}
	}
	for i := range 9 {
		var m TypeStats
		*m.figures()[i] = math.E
		if got := recorded(Event{TypeStats: []TypeStats{m}}, nil).event(t).TypeStats[0]; got != m {
			t.Errorf("mean %d: %+v is read as %+v", i, m, got)
		}
	}
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.Copysign(0, -1), 1.0 / 3, 5e-324,
		math.MaxFloat64} {
		var step recordedStep
		if err := json.Unmarshal(encodeStep(t, recordedStep{Event: recorded(Event{MemoryMB: v}, nil)}), &step); err != nil {
			t.Fatal(err)
		}
		if got := step.Event.event(t).MemoryMB; math.Float64bits(got) != math.Float64bits(v) {
			t.Errorf("%v is read as %v", v, got)
		}
	}
}

// TestDigestsCoverEveryActionField: a field whose change a digest would hide is seen here.
func TestDigestsCoverEveryActionField(t *testing.T) {
	for i := range reflect.TypeFor[Action]().NumField() {
		one, other := Action{Kind: Dispatch}, Action{Kind: Dispatch}
		if fill(reflect.ValueOf(&other).Elem().Field(i)); one == other {
			other.Kind = SendProbe
		}
		if digestOf([]Action{one}) == digestOf([]Action{other}) {
			t.Errorf("field %s is not in the digest", reflect.TypeFor[Action]().Field(i).Name)
		}
	}
	a, b := Action{Kind: Log, Text: "a"}, Action{Kind: Log, Text: "b"}
	if digestOf([]Action{a}) != digestOf([]Action{b}) || slices.Equal(logTexts([]Action{a}), logTexts([]Action{b})) {
		t.Error("the text of a log line is to be compared apart from the decisions")
	}
	if digestOf([]Action{a, {Kind: SendProbe}}) == digestOf([]Action{{Kind: SendProbe}, a}) {
		t.Error("the order of actions is not in the digest")
	}
}
