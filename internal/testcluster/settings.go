package testcluster

import (
	"fmt"
	"strings"
	"time"

	"swiftreel/internal/rulecheck"
)

// settingsText is the template of the controllers' settings. Its three placeholders are the number of controllers,
// a controller's index and the index of its zone. The two job types differ in their idempotency and their duration.
const settingsText = `{"balancers":%d,"me":%d,"step_ns":5000000,"discovery":"automatic",
"localities":["east","west"],"locality":%d,"kinds":["std"],
"tenants":[{"name":"acme","quota_per_s":100000,"share":1}],
"classes":[
{"name":"lookup","idempotency":"repeatable","aim_ns":3e8,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"import","idempotency":"once","aim_ns":6e8,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,1],"cpu_of_kind":[16],"size_mb":[32000],"max_grant_share":0.4,
"writes_tables":[false,false],"waits_for_loads":[false,false],"says_cost":true,
"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,"dial_timeout_ns":1e9,
"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"order_pause_ns":50000000}}`

// Rules are the rules of a cluster, for rulecheck.Check. An answer may be half a second late, since the machine may be
// busy.
var Rules = rulecheck.Rules{
	Types: map[string]rulecheck.Type{
		"lookup": {Effect: rulecheck.Restartable},
		"import": {Effect: rulecheck.RunOnce, Ordered: true},
	},
	AnswerSlack: int64(500 * time.Millisecond),
	DrainGrace:  int64(400 * time.Millisecond),
}

// warmUpTime is how long an engine of a cluster with EnginesWarmUp warms up, and warmUpWindow the window in which its
// work is summed.
const (
	warmUpTime   = 6 * time.Second
	warmUpWindow = time.Second
)

// WarmUpRules returns the rules of a cluster with EnginesWarmUp. An engine starts with a third of its capacity, and may
// get twice the work of that capacity in a window.
func WarmUpRules() rulecheck.Rules {
	r := Rules
	r.WarmUp = int64(warmUpTime)
	r.WarmUpWindow = int64(warmUpWindow)
	r.WarmUpWorkPerCore = int64(2 * warmUpWindow / 3)
	return r
}

// warmUpSettingsText is settingsText for a cluster with EnginesWarmUp.
var warmUpSettingsText = strings.Replace(settingsText, `"invariants":{`,
	fmt.Sprintf(`"invariants":{"warm_within_ns":%d,"fall_ns":%d,"fall_multiple":2,"start_capacity":0.333,`,
		warmUpTime, warmUpWindow), 1)
