package gateway

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

const ruleFacts = `{"step_ns":2e8,"locality":1,"localities":["east","west"],"kinds":["std","big"],"tenants":[{"name":"acme"},{"name":"zeta"}],
"classes":[{"name":"lookup","idempotency":"repeatable","aim_ns":5e8,"aim_stretch":2,"give_up_ns":2e9},
{"name":"import","idempotency":"once","aim_ns":3e9,"give_up_ns":6e9},{"name":"mark","idempotency":"by_key"}],
"domain":{"class_threads":[1,4],"size_mb":[1000,4000],"writes_tables":[false,true,false],"waits_for_loads":[true,false]},
"limits":{"dial_timeout_ns":3e8,"conn_idle_ns":7e9,"max_streams":9,"max_open":77},
"telemetry":{"via":"on_probe","fields":["concurrent","load_share"]},"invariants":{"answer_slack_ns":2e7}}`

func factsOf(t *testing.T, text string) (f choice.RawSettings) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		t.Fatal(err)
	}
	return f
}

// Each setting that concerns carrying out is read from its key.
func TestTheSettingsOfCarryingOutAreReadByTheirKeys(t *testing.T) {
	r := newRules(factsOf(t, ruleFacts))
	for name, c := range map[string][2]any{
		"limits.dial_timeout_ns":              {r.dial, 300 * time.Millisecond},
		"limits.conn_idle_ns":                 {r.idle, 7 * time.Second},
		"limits.max_streams":                  {r.streams, 9},
		"limits.max_open":                     {r.open, 77},
		"step_ns":                             {r.step, 200 * time.Millisecond},
		"invariants.answer_slack_ns":          {r.slack, 70 * time.Millisecond},
		"aim_ns, nothing to stretch":          {r.wanted(0, 0), 500 * time.Millisecond},
		"aim_stretch over one thread":         {r.wanted(0, 100), 700 * time.Millisecond},
		"no aim_stretch":                      {r.wanted(1, 100), 3 * time.Second},
		"no aim_ns":                           {r.wanted(2, 0), time.Hour},
		"aim_ns of an unknown type":           {r.wanted(9, 0), time.Hour},
		"give_up_ns":                          {r.mostLeft(1), 12 * time.Second},
		"no give_up_ns":                       {r.mostLeft(2), 2 * time.Hour},
		"give_up_ns of an unknown type":       {r.mostLeft(9), time.Hour},
		"idempotency repeatable":              {r.lane(0), backend.MayRepeat},
		"idempotency once":                    {r.lane(1), backend.MayNot},
		"idempotency by_key":                  {r.lane(2), backend.MayNot},
		"an unknown type's lane":              {r.lane(9), backend.MayRepeat},
		"waits_for_loads":                     {r.tables(0), true},
		"writes_tables":                       {r.tables(1), true},
		"neither":                             {r.tables(2), false},
		"domain.size_mb":                      {r.mostMB, 32000.0},
		"killed after the longest give_up_ns": {r.stops, 3*time.Second + 400*time.Millisecond},
		"telemetry":                           {r.loadTold, true},
	} {
		if c[0] != c[1] {
			t.Errorf("%s: %v, want %v", name, c[0], c[1])
		}
	}
	if got := r.load("concurrent:3;load_share:0.5"); len(got) != 2 || got[0] != 3 || got[1] != 0.5 {
		t.Errorf("telemetry.fields: %v", got)
	}
}

func TestSettingsThatAreAbsentHaveDefaults(t *testing.T) {
	r := newRules(factsOf(t, `{"classes":[{"name":"lookup","give_up_ns":1e9}],"telemetry":{"via":"off","fields":["concurrent"]}}`))
	for name, c := range map[string][2]any{
		"limits.dial_timeout_ns":     {r.dial, time.Second},
		"limits.conn_idle_ns":        {r.idle, 15 * time.Second},
		"limits.max_streams":         {r.streams, 1},
		"limits.max_open":            {r.open, 10000},
		"step_ns":                    {r.step, time.Duration(0)},
		"invariants.answer_slack_ns": {r.slack, 50 * time.Millisecond},
		"domain.size_mb":             {r.mostMB, math.Inf(1)},
		"killed after give_up_ns":    {r.stops, time.Second + 400*time.Millisecond},
		"telemetry.via off":          {r.loadTold, false},
	} {
		if c[0] != c[1] {
			t.Errorf("%s: %v, want %v", name, c[0], c[1])
		}
	}
}

func TestTheSettingsNamesAreNumbered(t *testing.T) {
	n := newNames(factsOf(t, ruleFacts))
	if n.types["lookup"] != 0 || n.types["mark"] != 2 || n.tenants["zeta"] != 1 || n.zone("west") != 1 || n.kind("big") != 1 || n.own != "west" {
		t.Errorf("%+v", n)
	}
	if n.zone("north") != noZone || n.kind("small") != noKind {
		t.Errorf("an unknown zone is %d, an unknown kind %d", n.zone("north"), n.kind("small"))
	}
}
