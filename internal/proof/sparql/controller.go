package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

const (
	startTimeout  = 10 * time.Second
	startInterval = 5 * time.Millisecond
)

// controller is a controller process. It listens on free ports, which are read from its log. A port chosen before the
// start could be in use by another run by then, and jobs of the two runs would be mixed up.
type controller struct {
	*testcluster.Process
	clientAddress string // set once it serves
	sparqlAddress string // likewise
}

// startController writes the configuration files of the controller with the given index and starts it.
func startController(program, dir string, index int, config, operator string) (*controller, error) {
	configFile := filepath.Join(dir, fmt.Sprintf("n%d.json", index))
	operatorFile := filepath.Join(dir, fmt.Sprintf("own%d.json", index))
	if err := os.WriteFile(configFile, []byte(config), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(operatorFile, []byte(operator), 0o600); err != nil {
		return nil, err
	}
	env := []string{"ROUTER_CONFIG=" + configFile, "ROUTER_OPERATOR=" + operatorFile}
	process, err := testcluster.StartProcess(program, env)
	return &controller{Process: process}, err
}

var (
	servingLine       = regexp.MustCompile(`msg=serving .*address=(\S+)`)
	servingSPARQLLine = regexp.MustCompile(`msg=serving_sparql address=(\S+)`)
)

// readAddresses reads the controller's addresses from its log. It returns false if the controller does not serve yet.
func (c *controller) readAddresses() bool {
	log := c.Log()
	client := servingLine.FindStringSubmatch(log)
	sparql := servingSPARQLLine.FindStringSubmatch(log)
	if client == nil || sparql == nil {
		return false
	}
	c.clientAddress = client[1]
	c.sparqlAddress = sparql[1]
	return true
}

// ready reports whether the controller accepts jobs.
func (c *controller) ready() bool {
	if !c.readAddresses() {
		return false
	}
	client, err := fake.Dial(c.clientAddress)
	if err != nil {
		return false
	}
	defer client.Conn.Close()
	ready, err := client.Ready()
	return ready && err == nil
}

var errNotReady = errors.New("controller did not become ready in time")

func (c *controller) awaitReady() error {
	for stop := time.Now().Add(startTimeout); !c.ready(); time.Sleep(startInterval) {
		if time.Now().After(stop) {
			return fmt.Errorf("%w: %s", errNotReady, c.Log())
		}
	}
	return nil
}

var errOverdue = errors.New("answers were late")

// stop terminates the controller. It returns an error if the controller fails to drain or logged late answers.
func (c *controller) stop() error {
	c.Signal(syscall.SIGTERM)
	if err := c.WaitExit(); err != nil {
		return fmt.Errorf("%w: %s", err, c.Log())
	}
	if strings.Contains(c.Log(), "answers_overdue") {
		return fmt.Errorf("%w: %s", errOverdue, c.Log())
	}
	return nil
}
