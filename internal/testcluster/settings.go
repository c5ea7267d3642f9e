package testcluster

import (
	"fmt"
	"strings"
	"time"

	"swiftreel/internal/rulecheck"
)

// settings are those of the controllers, with three blanks for figures: how many there are, a controller's index and
// that of its zone. The two types differ in what may be done with their jobs and in how long they take.
const settings = `{"balancers":%d,"me":%d,"step_ns":5000000,"discovery":"automatic",
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

// Rules of a cluster, for rulecheck.Check. An answer may be half a second late, as the machine may be busy.
var Rules = rulecheck.Rules{
	Types: map[string]rulecheck.Type{
		"lookup": {Effect: rulecheck.Restartable},
		"import": {Effect: rulecheck.RunOnce, Ordered: true},
	},
	AnswerSlack: int64(500 * time.Millisecond),
	DrainGrace:  int64(400 * time.Millisecond),
}

// warmUpTime is how long an engine of a cluster with EnginesWarmUp takes to warm up, and warmUpWindow the window in
// which its work is counted.
const (
	warmUpTime   = 6 * time.Second
	warmUpWindow = time.Second
)

// WarmUpRules are those of a cluster with EnginesWarmUp: in a window an engine may be given twice the third of its
// capacity that it starts with.
func WarmUpRules() rulecheck.Rules {
	r := Rules
	r.WarmUp = int64(warmUpTime)
	r.WarmUpWindow = int64(warmUpWindow)
	r.WarmUpWorkPerCore = int64(2 * warmUpWindow / 3)
	return r
}

// warmUpSettings are those of such a cluster.
var warmUpSettings = strings.Replace(settings, `"invariants":{`,
	fmt.Sprintf(`"invariants":{"warm_within_ns":%d,"fall_ns":%d,"fall_multiple":2,"start_capacity":0.333,`,
		warmUpTime, warmUpWindow), 1)
