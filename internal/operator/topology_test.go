package operator

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"swiftreel/choice"
)

const settings = `{"kinds":["type-a","type-b"],"classes":[{"name":"lookup"},{"name":"report"}],
"limits":{"cancel":true},"domain":{"grants_count":true,"waits_for_loads":[false]}}`

func unmarshal(t *testing.T, text string, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), into); err != nil {
		t.Fatal(err)
	}
}

func TestApplyReturnsAChangedCopyOfTheSettings(t *testing.T) {
	var given, before choice.RawSettings
	unmarshal(t, settings, &given)
	unmarshal(t, settings, &before)
	no, ratio, window := false, 0.1, int64(10000)
	s := &Topology{Cancel: &no, GrantsCount: &no, FurtherRatio: &ratio, BudgetWindowMS: &window,
		Types: map[string]TopologyType{"report": {KindsOnly: []string{"type-a"}, WaitsForLoads: &no}}}
	f, err := s.Apply(given)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(given, before) {
		t.Errorf("the settings given were changed: %v", given)
	}
	got, _ := json.Marshal(f)
	for _, part := range []string{`"cancel":false`, `"grants_count":false`, `"further_ratio":0.1`,
		`"extra_window_ns":10000000000`,
		`{"kinds_only":[0],"name":"report"}`, `"waits_for_loads":[false,false]`} {
		if !strings.Contains(string(got), part) {
			t.Errorf("%s lacks %s", got, part)
		}
	}
	if f, _ := (*Topology)(nil).Apply(given); !reflect.DeepEqual(f, before) {
		t.Errorf("a nil topology changed the settings: %v", f)
	}
	for types, want := range map[string]string{`{"import":{}}`: "/shape/types/import:",
		`{"report":{"kinds_only":["type-a","type-c"]}}`: "/shape/types/report/kinds_only/1:"} {
		var s Topology
		unmarshal(t, `{"types":`+types+`}`, &s)
		if _, err := s.Apply(given); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", types, err, want)
		}
	}
}
