package soak

import (
	"fmt"
	"time"
)

// Figures of the rules, as the controllers' settings have them.
const (
	drainGrace     = 250 * time.Millisecond
	orderPause     = 50 * time.Millisecond
	startCapacity  = 0.4 // part of its capacity that an engine starts with
	fallMultiple   = 0.8 // of its capacity, that may be dispatched in a window
	warmUpTime     = 6 * time.Second
	fallWindow     = time.Second
	engineCores    = 2
	retryWindow    = 10 * time.Second
	freeRetries    = 4 // so few that the faults of a run reach the budget
	retryRatio     = 0.04
	maxAttempts    = 4
	dialTimeout    = 250 * time.Millisecond
	allowedKind    = "std"
	otherKind      = "big"
	memoryLimitMB  = 64
	maxDescriptors = 512
)

// The types of job.
const (
	typeLookup = "lookup" // repeatable
	typeImport = "import" // runs once, in the order of its key; some of its clients wait for long
	typeLocal  = "local"  // repeatable, on engines of one kind only
)

// workTime is what an engine takes for a job of each type.
var workTime = map[string]time.Duration{
	typeLookup: 20 * time.Millisecond,
	typeImport: 40 * time.Millisecond,
	typeLocal:  30 * time.Millisecond,
}

// settingsText are a controller's settings, with blanks for figures.
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

// configText is the text of a controller's configuration, with blanks for figures.
const configText = `{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"feed":%q,"known":{"n":%d,"events":[%s]},"settings":%s}`

func settings(controllers, index int) string {
	return fmt.Sprintf(settingsText, controllers, index, engineCores, engineCores, maxAttempts, dialTimeout, drainGrace,
		orderPause, startCapacity, warmUpTime, fallMultiple, fallWindow, retryWindow, freeRetries, retryRatio)
}
