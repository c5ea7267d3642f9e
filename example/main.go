// Command example lets a newcomer try swiftreel: two fake engines and a fake endpoint feed, and a way to send a job.
//
//	go run ./example serve            engines and feed, until interrupted; reads "lose e1" and "back e1"
//	go run ./example send STATEMENT   sends one job to the controller at 127.0.0.1:9090 and prints its answer
//	go run ./example demo             all of it with bin/swiftreel: a job served, one throttled, an engine lost
//	go run ./example sparql           bin/swiftreel beside fake engines of both protocols, to be asked with curl
package main

import (
	"bufio"
	"errors"
	"log"
	"os"
	"strings"
)

// controllerAddress and configFile belong together: the file says where the controller listens.
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
		return sparql()
	}
	return errUsage
}

// serve runs the fakes until interrupted, and loses engines or brings them back as standard input says.
func serve() error {
	f, err := startFakes()
	if err != nil {
		return err
	}
	log.Printf("engines %v and feed %s are up; type: lose e1, back e1", engineAddresses, feedAddress)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		f.command(strings.Fields(lines.Text()))
	}
	select {} // no more to read: until interrupted
}
