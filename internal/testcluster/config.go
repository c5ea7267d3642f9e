package testcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/operator"
)

// Config configures a cluster. All fields except Program, Controllers and Engines have usable zero values.
type Config struct {
	Program     string // run as controllers and supervisors
	Seed        uint64
	Controllers int // number of controllers, assigned to two zones alternately
	Engines     int // number of engines, named e1, e2 ...

	EngineFaults       bool           // a fifth of all dispatches meet a fault
	EnginesWarmUp      bool           // newly started engines have less capacity, as in WarmUpRules
	Voters             int            // how many members, counted from the first, elect a leader
	SupervisorPrograms map[int]string // by member index, for members whose supervisor is another build

	OperatorFields string            // extra JSON members of the operator file, each followed by a comma
	FleetFields    string            // extra JSON members of its object "fleet", likewise
	Files          map[string]string // contents of files in the operator file's directory, by name

	// Only for builds with the tag fault and the fault "steered".
	StartDelayMS  int         // delays each controller's start
	ClockOffsetMS map[int]int // offset of the wall clock, by member index
	ExtraEnv      []string
}

// dispatchWork is the initial duration of a dispatch; FaultPlan.SetWorkDuration changes it.
const dispatchWork = 4 * time.Millisecond

// controllerDrainMS is how long a controller may drain before its supervisor kills it.
const controllerDrainMS = 10_000

// Start starts a cluster and returns once all its controllers serve. The members' addresses belong to a loopback subnet
// that no other cluster uses, so that a restarted controller finds its address free.
func (o Config) Start() (c *Cluster, err error) {
	c = &Cluster{voters: o.Voters, Faults: NewFaultPlan(o.Seed, o.EngineFaults, dispatchWork),
		engines: map[string]*fake.Engine{}, http: http.Client{Timeout: httpTimeout}}
	if c.Dir, err = os.MkdirTemp("", "testcluster"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	c.subnet = LockSubnet()
	known, err := c.startEngines(o.Engines)
	if err != nil {
		return c, err
	}
	if err := c.addMembers(o.Controllers); err != nil {
		return c, err
	}
	if err := c.writeOperatorFile(o); err != nil {
		return c, err
	}
	if err := c.startMembers(o, known); err != nil {
		return c, err
	}
	for _, m := range c.Members {
		if err := c.awaitServing(m); err != nil {
			return c, err
		}
	}
	return c, nil
}

// startEngines starts the engines and the discovery server, and returns the event that lists all engines.
func (c *Cluster) startEngines(count int) (known string, err error) {
	if c.discovery, err = fake.StartDiscovery("127.0.0.1:0", 1); err != nil {
		return "", err
	}
	var hosts []string
	for i := range count {
		name := fmt.Sprint("e", i+1)
		engine, err := StartLineEngine("127.0.0.1:0", name, &c.Events, c.Faults)
		if err != nil {
			return "", err
		}
		c.engines[name] = engine
		hosts = append(hosts, c.engineEntry(name, "ready", 0))
		c.logListed(name, "ready", 0)
	}
	return c.discovery.AddEvent(true, "["+strings.Join(hosts, ",")+"]"), nil
}

// addMembers creates the members with their names, addresses and links.
func (c *Cluster) addMembers(count int) error {
	for i := range count {
		address := func(port int) string { return c.subnet.Address(i+1, port) }
		m := &Member{Name: fmt.Sprint("c", i+1), ClientAddress: address(7000), SupervisorAddress: address(7001)}
		link, err := NewLink(address(7002), m.SupervisorAddress)
		if err != nil {
			return err
		}
		m.Link = link
		c.Members = append(c.Members, m)
	}
	return nil
}

// writeOperatorFile writes the operator file, which all members share, and the files in its directory.
func (c *Cluster) writeOperatorFile(config Config) error {
	fleet := operator.Fleet{DrainMS: controllerDrainMS, Program: config.Program}
	for i, m := range c.Members {
		zone := []string{"east", "west"}[i%2]
		fleet.Members = append(fleet.Members,
			operator.Member{Name: m.Name, Listen: m.SupervisorAddress, AdvertiseAddress: m.Link.Address(), Zone: zone})
		if i < config.Voters {
			fleet.Voters = append(fleet.Voters, m.Name)
		}
	}
	text, err := json.Marshal(fleet)
	if err != nil {
		return err
	}
	c.OperatorFile = filepath.Join(c.Dir, "operator.json")
	fields := text[1:] // without the opening brace, since FleetFields come first
	file := fmt.Appendf(nil, `{%s"fleet":{%s%s}`, config.OperatorFields, config.FleetFields, fields)
	if err := os.WriteFile(c.OperatorFile, file, 0o600); err != nil {
		return err
	}
	for name, text := range config.Files {
		if err := os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// controllerConfigText is the template of the ROUTER_CONFIG file.
const controllerConfigText = `{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`

// startMembers writes each member's configuration and starts its supervisor. known is the event that lists all engines.
func (c *Cluster) startMembers(config Config, known string) error {
	template := settingsText
	if config.EnginesWarmUp {
		template = warmUpSettingsText
	}
	for i, m := range c.Members {
		configFile := filepath.Join(c.Dir, m.Name+".json")
		seed := config.Seed*100 + uint64(i) + 1
		text := fmt.Sprintf(controllerConfigText, m.Name, m.ClientAddress, seed, c.discovery.Address(), known,
			fmt.Sprintf(template, config.Controllers, i, i%2))
		if err := os.WriteFile(configFile, []byte(text), 0o600); err != nil {
			return err
		}
		m.program = config.Program
		if other := config.SupervisorPrograms[i]; other != "" {
			m.program = other
		}
		m.start = c.supervisorStarter(m, config.env(i, configFile))
		if err := c.StartSupervisor(m); err != nil {
			return err
		}
	}
	return nil
}

// env returns the environment variables of a member's processes that follow from the configuration.
func (o Config) env(index int, config string) []string {
	env := []string{"ROUTER_CONFIG=" + config, fmt.Sprint("FAULT_CLOCK_MS=", o.ClockOffsetMS[index]),
		fmt.Sprint("FAULT_START_MS=", o.StartDelayMS)}
	return append(env, o.ExtraEnv...)
}
