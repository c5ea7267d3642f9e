package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

const (
	startTimeout = 10 * time.Second
	startPolling = 5 * time.Millisecond
)

// settings are a controller's; %d is its number.
const settings = `{"balancers":2,"me":%d,"step_ns":5000000,"discovery":"automatic","localities":["east"],"locality":0,
"kinds":["std"],"tenants":[{"name":"acme","quota_per_s":100000,"share":1},
{"name":"terms","quota_per_s":100000,"share":1}],
"classes":[
{"name":"lookup","idempotency":"repeatable","aim_ns":1e9,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"import","idempotency":"once","aim_ns":2e9,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true},
{"name":"query","idempotency":"repeatable","aim_ns":1e9,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"update","idempotency":"once","aim_ns":2e9,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,2,1,2],"cpu_of_kind":[8],"size_mb":[32000],"max_grant_share":0.4,
"writes_tables":[false,false,false,false],"waits_for_loads":[false,false,false,false],"says_cost":true,
"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,"dial_timeout_ns":1e9,
"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"order_pause_ns":50000000}}`

// configuration is a controller's file: its number, seed, the feed's address, the event known, and settings.
const configuration = `{"name":"n%d","listen":"127.0.0.1:0","seed":"%x",` +
	`"limits":{"cores":1,"memory_mb":192,"sockets":1024},"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`

// operatorFile switches SPARQL on; %s are the endpoints.
const operatorFile = `{"sparql":{"listen":"127.0.0.1:0","tenant":"terms",` +
	`"types":[{"forms":["UPDATE"],"type":"update"},{"type":"query"}],"endpoints":{%s},"connections":128}}`

// controller is a controller's process. It listens where there is room, and its log says where: an address chosen
// before it starts may be another run's by then, whose jobs would be taken for this one's.
type controller struct {
	*testcluster.Process
	clientAddress string
	sparqlAddress string
}

var (
	serving       = regexp.MustCompile(`msg=serving .*address=(\S+)`)
	servingSPARQL = regexp.MustCompile(`msg=serving_sparql address=(\S+)`)
)

// startControllers starts both controllers and waits until they accept jobs.
func (r *run) startControllers(program, directory string, urls []string, knownEvent string) error {
	for number := range controllers {
		text := fmt.Sprintf(configuration, number, r.seed*controllers+uint64(number)+1, r.feed.Address(), knownEvent,
			fmt.Sprintf(settings, number))
		config := filepath.Join(directory, fmt.Sprintf("n%d.json", number))
		operator := filepath.Join(directory, fmt.Sprintf("own%d.json", number))
		err := errors.Join(os.WriteFile(config, []byte(text), 0o600),
			os.WriteFile(operator, fmt.Appendf(nil, operatorFile, strings.Join(urls, ",")), 0o600))
		if err != nil {
			return err
		}
		process, err := testcluster.StartProcess(program, []string{"ROUTER_CONFIG=" + config, "ROUTER_OPERATOR=" + operator})
		if err != nil {
			return err
		}
		r.controllers = append(r.controllers, &controller{Process: process})
	}
	for number, c := range r.controllers {
		if !c.waitReady() {
			return fmt.Errorf("controller %d does not start: %s", number, c.Log())
		}
	}
	return nil
}

// waitReady reports whether the controller accepts jobs within the start's timeout.
func (c *controller) waitReady() bool {
	for deadline := time.Now().Add(startTimeout); !c.isReady(); time.Sleep(startPolling) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

func (c *controller) isReady() bool {
	text := c.Log()
	client := serving.FindStringSubmatch(text)
	sparql := servingSPARQL.FindStringSubmatch(text)
	if client == nil || sparql == nil {
		return false
	}
	c.clientAddress = client[1]
	c.sparqlAddress = sparql[1]
	conn, err := fake.Dial(c.clientAddress)
	if err != nil {
		return false
	}
	defer conn.Conn.Close()
	ready, err := conn.Ready()
	return ready && err == nil
}
