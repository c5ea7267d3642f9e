package gateway

import (
	"math"
	"testing"
	"time"

	"swiftreel/internal/backend"

	"swiftreel/choice"
)

const testSettings = `{"step_ns":2e8,"locality":1,"localities":["east","west"],"kinds":["std","big"],
"tenants":[{"name":"acme"},{"name":"zeta"}],
"classes":[{"name":"lookup","idempotency":"repeatable","aim_ns":5e8,"aim_stretch":2,"give_up_ns":2e9},
{"name":"import","idempotency":"once","aim_ns":3e9,"give_up_ns":6e9},{"name":"mark","idempotency":"by_key"}],
"domain":{"class_threads":[1,4],"size_mb":[1000,4000],"writes_tables":[false,true,false],
"waits_for_loads":[true,false]},
"limits":{"dial_timeout_ns":3e8,"conn_idle_ns":7e9,"max_streams":9,"max_open":77},
"telemetry":{"via":"on_probe","fields":["concurrent","load_share"]},"invariants":{"answer_slack_ns":2e7}}`

// Each setting that the gateway itself uses is read from its key.
func TestGatewaySettingsAreReadByTheirKeys(t *testing.T) {
	r := newSettings(parseSettings(t, testSettings))
	for name, c := range map[string][2]any{
		"limits.dial_timeout_ns":              {r.dialTimeout, 300 * time.Millisecond},
		"limits.conn_idle_ns":                 {r.idleTimeout, 7 * time.Second},
		"limits.max_streams":                  {r.streamsPerConn, 9},
		"limits.max_open":                     {r.maxJobs, 77},
		"step_ns":                             {r.crossConnDelay, 200 * time.Millisecond},
		"invariants.answer_slack_ns":          {r.answerSlack, 70 * time.Millisecond},
		"aim_ns, nothing to stretch":          {r.objective(0, 0), 500 * time.Millisecond},
		"aim_stretch over one thread":         {r.objective(0, 100), 700 * time.Millisecond},
		"no aim_stretch":                      {r.objective(1, 100), 3 * time.Second},
		"no aim_ns":                           {r.objective(2, 0), time.Hour},
		"aim_ns of an unknown type":           {r.objective(9, 0), time.Hour},
		"give_up_ns":                          {r.maxTimeout(1), 12 * time.Second},
		"no give_up_ns":                       {r.maxTimeout(2), 2 * time.Hour},
		"give_up_ns of an unknown type":       {r.maxTimeout(9), time.Hour},
		"idempotency repeatable":              {r.lane(0), backend.Restartable},
		"idempotency once":                    {r.lane(1), backend.NotRestartable},
		"idempotency by_key":                  {r.lane(2), backend.NotRestartable},
		"an unknown type's lane":              {r.lane(9), backend.Restartable},
		"waits_for_loads":                     {r.needsTableGroup(0), true},
		"writes_tables":                       {r.needsTableGroup(1), true},
		"neither":                             {r.needsTableGroup(2), false},
		"domain.size_mb":                      {r.maxMemoryMB, 32000.0},
		"killed after the longest give_up_ns": {r.stopTimeout, 3*time.Second + 550*time.Millisecond},
		"telemetry":                           {r.reportsLoad, true},
	} {
		if c[0] != c[1] {
			t.Errorf("%s: %v, want %v", name, c[0], c[1])
		}
	}
	if got := r.parseLoad("concurrent:3;load_share:0.5"); len(got) != 2 || got[0] != 3 || got[1] != 0.5 {
		t.Errorf("telemetry.fields: %v", got)
	}
}

func TestSettingsThatAreAbsentHaveDefaults(t *testing.T) {
	r := newSettings(
		parseSettings(
			t,
			`{"classes":[{"name":"lookup","give_up_ns":1e9}],"telemetry":{"via":"off","fields":["concurrent"]}}`,
		),
	)
	for name, c := range map[string][2]any{
		"limits.dial_timeout_ns":     {r.dialTimeout, time.Second},
		"limits.conn_idle_ns":        {r.idleTimeout, 15 * time.Second},
		"limits.max_streams":         {r.streamsPerConn, 1},
		"limits.max_open":            {r.maxJobs, 10000},
		"step_ns":                    {r.crossConnDelay, time.Duration(0)},
		"invariants.answer_slack_ns": {r.answerSlack, 50 * time.Millisecond},
		"domain.size_mb":             {r.maxMemoryMB, math.Inf(1)},
		"killed after give_up_ns":    {r.stopTimeout, time.Second + 550*time.Millisecond},
		"telemetry.via off":          {r.reportsLoad, false},
	} {
		if c[0] != c[1] {
			t.Errorf("%s: %v, want %v", name, c[0], c[1])
		}
	}
}

func TestTheSettingsNamesAreNumbered(t *testing.T) {
	n := newIdentifiers(parseSettings(t, testSettings))
	if n.types["lookup"] != 0 || n.types["mark"] != 2 || n.tenants["zeta"] != 1 || n.zone("west") != 1 ||
		n.kind("big") != 1 || n.ownZone != "west" {
		t.Errorf("%+v", n)
	}
	if n.zone("north") != unknownZone || n.kind("small") != unknownKind {
		t.Errorf("unknown zone has ID %d, unknown kind has ID %d", n.zone("north"), n.kind("small"))
	}
}

// If the supervisor allows more time than the protocol's default, the controller uses it to answer its jobs.
func TestStopTimeoutFollowsKilledAfter(t *testing.T) {
	for killedAfter, want := range map[time.Duration]time.Duration{
		0:                          newSettings(choice.RawSettings{}).stopTimeout,
		2 * time.Minute:            2*time.Minute - stopMargin,
		stopMargin / 2:             0,
		stopMargin + time.Second/2: time.Second / 2,
	} {
		g := New(Options{Settings: choice.RawSettings{}, Budget: testBudget(), KilledAfter: killedAfter})
		if g.settings.stopTimeout != want {
			t.Errorf("killed after %v: %v, want %v", killedAfter, g.settings.stopTimeout, want)
		}
		g.Close()
	}
}
