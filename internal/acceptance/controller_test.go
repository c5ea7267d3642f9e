package acceptance

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

const (
	startCapacity    = 0.4 // part of its capacity that an engine starts with
	overloadMultiple = 2.0 // of its capacity, that may be dispatched in a window
	warmUpTime       = 6 * time.Second
	warmUpWindow     = time.Second
	engineCores      = 16
)

// settingsText are settings with blanks for figures. Their types, names and figures are of no other deployment.
const settingsText = `{"balancers":%d,"me":%d,"step_ns":5000000,"discovery":"automatic",
"localities":["here"],"kinds":["k"],
"tenants":[{"name":"one","quota_per_s":100000,"share":1}],
"classes":[
{"name":"look","idempotency":"repeatable","aim_ns":4e9,"give_up_ns":8e9,"gain":1,"late_worth":0.5},
{"name":"book","idempotency":"once","aim_ns":4e9,"give_up_ns":8e9,"gain":5,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,1],"cpu_of_kind":[16],"size_mb":[32000],"max_grant_share":0.4,
"writes_tables":[false,false],"waits_for_loads":[false,false],"says_cost":true,"takes_priority":true,
"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,
"dial_timeout_ns":25e7,"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"tariffs":{"probe":0.01},"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":2e7,"drain_grace_ns":2.5e8,"order_pause_ns":5e7,
"start_capacity":%g,"warm_within_ns":%d,"fall_multiple":%g,"fall_ns":%d}}`

// settings are those of one controller of a fleet.
func settings(controllers, index int) string {
	return fmt.Sprintf(settingsText, controllers, index, startCapacity, warmUpTime, overloadMultiple, warmUpWindow)
}

// defaultDescriptors is the limit of descriptors in a configuration.
const defaultDescriptors = 1024

// controller is one process of the program, with its configuration.
type controller struct {
	*testcluster.Process // nil before start

	t           *testing.T
	name        string
	address     string // for clients
	configFile  string
	fleetSize   int
	index       int
	descriptors int // the process's limit; 0: as it is
}

// newController makes one that is killed with the test.
func newController(t *testing.T, fleetSize, index int) *controller {
	t.Helper()
	c := &controller{t: t, name: fmt.Sprintf("n%d", index), address: freeAddress(t), fleetSize: fleetSize, index: index,
		configFile: filepath.Join(t.TempDir(), "config.json")}
	t.Cleanup(func() {
		if c.Process != nil {
			c.Kill()
		}
	})
	return c
}

// freeAddress is one of loopback at which nobody listens now.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// configText is the form of ROUTER_CONFIG.
const configText = `{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1,"memory_mb":64,"sockets":%d},
"feed":%q,"known":{"n":%d,"events":[%s]},"settings":%s}`

// writeConfig writes the configuration: where the discovery server is, and the events known, the first of number 1.
func (c *controller) writeConfig(discovery string, known ...string) {
	c.t.Helper()
	descriptors := defaultDescriptors
	if c.descriptors > 0 {
		descriptors = c.descriptors
	}
	text := fmt.Sprintf(configText, c.name, c.address, c.index+1, descriptors, discovery, len(known),
		strings.Join(known, ","), settings(c.fleetSize, c.index))
	if err := os.WriteFile(c.configFile, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts the process.
func (c *controller) start() {
	c.t.Helper()
	path := program
	var args []string
	if c.descriptors > 0 {
		path = "/bin/sh"
		args = []string{"-c", fmt.Sprintf("ulimit -n %d; exec %s", c.descriptors, program)}
	}
	process, err := testcluster.StartProcess(path, []string{"ROUTER_CONFIG=" + c.configFile}, args...)
	if err != nil {
		c.t.Fatal(err)
	}
	c.Process = process
}

// ready reports whether jobs are welcome, by a heartbeat over a new connection.
func (c *controller) ready() bool {
	client, err := fake.Dial(c.address)
	if err != nil {
		return false
	}
	defer client.Conn.Close()
	ready, err := client.Ready()
	return ready && err == nil
}

// startFleet starts controllers and waits until all are ready.
func startFleet(t *testing.T, size int, discovery, known string) []*controller {
	t.Helper()
	var all []*controller
	for i := range size {
		c := newController(t, size, i)
		c.writeConfig(discovery, known)
		c.start()
		all = append(all, c)
	}
	for _, c := range all {
		until(t, "not ready", c.ready)
	}
	return all
}

// dial connects to a controller until the test ends.
func (c *controller) dial(t *testing.T) *fake.Client {
	t.Helper()
	client, err := fake.Dial(c.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Conn.Close() }) // it may be closed already
	return client
}

// sendJob requests a job that claims to take so many milliseconds, and returns the id of its answer.
func sendJob(t *testing.T, client *fake.Client, id string, workMS int) uint32 {
	t.Helper()
	fields := []string{"call", id, "ttl", "8000", "org", "one", "work", fmt.Sprint(workMS), "est_mb", "8"}
	answer, err := client.Send("look", "SELECT 1 FROM a_1.b", fields...)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// endpoint is an engine's entry in the endpoint list; startedMS 0: it is not known since when it runs.
func endpoint(name, address, state string, startedMS int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"k","block":0,"health":%q,"share":1,"born_ms":%d}`,
		name, address, state, startedMS)
}

// listEvent is event 1, with the complete endpoint list.
func listEvent(endpoints ...string) string {
	return fmt.Sprintf(`{"n":1,"members":{"seq":1,"whole":true,"hosts":[%s]}}`, strings.Join(endpoints, ","))
}
