package soak

import (
	"fmt"
	"time"
)

// Parameters of the rules, as in the controllers' settings.
const (
	drainGrace       = 250 * time.Millisecond
	orderPause       = 50 * time.Millisecond
	startCapacity    = 0.4 // fraction of its capacity that an engine starts with
	overloadMultiple = 0.8 // work per window while warming up, as a multiple of the capacity
	warmUpTime       = 6 * time.Second
	overloadWindow   = time.Second
	engineCores      = 2
	retryWindow      = 10 * time.Second
	freeRetries      = 4 // low enough for the faults of a run to reach the budget
	retryRatio       = 0.04
	maxAttempts      = 4
	dialTimeout      = 250 * time.Millisecond
	allowedKind      = "std"
	otherKind        = "big"
	memoryLimitMB    = 64
	maxDescriptors   = 512
)

// The job types.
const (
	typeLookup = "lookup" // restartable
	typeImport = "import" // run-once, ordered by key; some calls have longTimeout
	typeLocal  = "local"  // restartable, only on engines of allowedKind
)

// workTime is how long an engine works on a job of each type.
var workTime = map[string]time.Duration{
	typeLookup: 20 * time.Millisecond,
	typeImport: 40 * time.Millisecond,
	typeLocal:  30 * time.Millisecond,
}

// settingsText is the template of a controller's settings.
const settingsText = `{"balancers":%d,"me":%d,"step_ns":5000000,"discovery":"automatic",
"localities":["here"],"kinds":["std","big"],
"tenants":[{"name":"one","quota_per_s":100000,"share":1}],
"classes":[
{"name":"lookup","idempotency":"repeatable","aim_ns":5e8,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"import","idempotency":"once","aim_ns":1e9,"give_up_ns":12e9,"gain":5,"late_worth":0.5,"fifo_by_key":true},
{"name":"local","idempotency":"repeatable","aim_ns":5e8,"give_up_ns":2e9,"gain":1,"late_worth":0.5,"kinds_only":[0]}],
"domain":{"class_threads":[1,1,1],"cpu_of_kind":[%d,%d],"size_mb":[32000,32000],"max_grant_share":0.4,
"writes_tables":[false,false,false],"waits_for_loads":[false,false,false],"says_cost":true,"takes_priority":true,
"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":%d,"retry_after":true,"max_retry_after_ns":5e8,
"dial_timeout_ns":%d,"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"tariffs":{"probe":0.01},"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":2e7,"drain_grace_ns":%d,"order_pause_ns":%d,"start_capacity":%g,
"warm_within_ns":%d,"fall_multiple":%g,"fall_ns":%d,"extra_window_ns":%d,"budget_free":%d,"further_ratio":%g}}`

// configText is the template of a controller's configuration file.
const configText = `{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"feed":%q,"known":{"n":%d,"events":[%s]},"settings":%s}`

func settings(controllers, index int) string {
	return fmt.Sprintf(settingsText, controllers, index, engineCores, engineCores, maxAttempts, dialTimeout, drainGrace,
		orderPause, startCapacity, warmUpTime, overloadMultiple, overloadWindow, retryWindow, freeRetries, retryRatio)
}
