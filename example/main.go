// Command example runs swiftreel locally with two fake engines and a fake endpoint feed, and sends jobs to it.
//
//	go run ./example serve            runs engines and feed until interrupted; reads "lose e1" and "back e1"
//	go run ./example send STATEMENT   sends one job to the controller at 127.0.0.1:9090 and prints its answer
//	go run ./example demo             runs all of it with bin/swiftreel: a job served, one throttled, an engine lost
//	go run ./example sparql           runs bin/swiftreel with fake engines of both protocols, for queries with curl
package main

import (
	"bufio"
	"errors"
	"log"
	"os"
	"strings"
)

// controllerAddress must match the listen address in configFile.
const (
	controllerAddress = "127.0.0.1:9090"
	configFile        = "example/config.json"
)

var errUsage = errors.New("usage: example serve | send [flags] STATEMENT | demo | sparql")

func main() {
	log.SetFlags(0)
	if err := run(os.Args[1:]); err != nil {
		log.Fatal(err)
	}
}

func run(arguments []string) error {
	if len(arguments) == 0 {
		return errUsage
	}
	switch arguments[0] {
	case "serve":
		return serve()
	case "send":
		return send(arguments[1:])
	case "demo":
		return demo()
	case "sparql":
		return runSPARQL()
	}
	return errUsage
}

// serve runs the fakes until interrupted. Commands on standard input stop engines and restart them.
func serve() error {
	f, err := startFakes()
	if err != nil {
		return err
	}
	log.Printf("engines %v and feed %s are up; type: lose e1, back e1", engineAddresses, feedAddress)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		f.runCommand(strings.Fields(lines.Text()))
	}
	select {} // standard input has ended: run until interrupted
}
