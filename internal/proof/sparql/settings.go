package main

import (
	"fmt"
	"strings"
	"time"

	"swiftreel/internal/rulecheck"
)

// Job types, two for each protocol.
const (
	lookupType = "lookup"
	importType = "import"
	queryType  = "query"
	updateType = "update"
)

const (
	readTimeout  = 2 * time.Second // of lookups and queries
	writeTimeout = 4 * time.Second // of imports and updates
)

// settings is the format of the controllers' settings. Its argument is the controller's index.
const settings = `{"balancers":2,"me":%d,"step_ns":5000000,"discovery":"automatic","localities":["east"],"locality":0,
"kinds":["std"],
"tenants":[{"name":"acme","quota_per_s":100000,"share":1},{"name":"terms","quota_per_s":100000,"share":1}],
"classes":[
{"name":"lookup","idempotency":"repeatable","aim_ns":1e9,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"import","idempotency":"once","aim_ns":2e9,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true},
{"name":"query","idempotency":"repeatable","aim_ns":1e9,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"update","idempotency":"once","aim_ns":2e9,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,2,1,2],"cpu_of_kind":[8],"size_mb":[32000],"max_grant_share":0.4,
"writes_tables":[false,false,false,false],"waits_for_loads":[false,false,false,false],"says_cost":true,
"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,
"dial_timeout_ns":1e9,"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"order_pause_ns":50000000}}`

// configText is the format of the ROUTER_CONFIG file, operatorText that of the operator's file.
const (
	configText = `{"name":"n%d","listen":"127.0.0.1:0","seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`
	operatorText = `{"sparql":{"listen":"127.0.0.1:0","tenant":"terms","types":[{"forms":["UPDATE"],"type":"update"},
{"type":"query"}],"endpoints":{%s},"connections":128}}`
)

var rules = rulecheck.Rules{
	Types: map[string]rulecheck.Type{
		lookupType: {Effect: rulecheck.Restartable},
		queryType:  {Effect: rulecheck.Restartable},
		importType: {Effect: rulecheck.RunOnce, Ordered: true},
		updateType: {Effect: rulecheck.RunOnce, Ordered: true},
	},
	AnswerSlack: int64(500 * time.Millisecond),
	DrainGrace:  int64(400 * time.Millisecond),
}

// controllerConfig returns the configuration of the controller with the given index. known is the event that lists all
// engines.
func controllerConfig(index int, seed uint64, discovery, known string) string {
	return fmt.Sprintf(configText, index, seed*2+uint64(index)+1, discovery, known, fmt.Sprintf(settings, index))
}

// operatorFile returns an operator's file that enables SPARQL. endpoints are JSON object members of name and URL.
func operatorFile(endpoints []string) string {
	return fmt.Sprintf(operatorText, strings.Join(endpoints, ","))
}

// engineEntry returns an engine's entry in the endpoint list.
func engineEntry(name, address, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":%q,"share":1,"born_ms":0}`,
		name, address, state)
}
