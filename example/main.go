// Command example lets a newcomer try swiftreel: two fake engines and a fake discovery server, and a way to send a job.
//
//	go run ./example serve            fakes for example/config.json, until interrupted; reads "lose e1" and "back e1"
//	go run ./example send STATEMENT   sends one job to the controller at 127.0.0.1:9090 and prints its answer
//	go run ./example demo             all of it with bin/swiftreel: a job served, one throttled, an engine lost
//	go run ./example sparql           bin/swiftreel beside fake engines of both protocols, to be asked with curl
package main

import (
	"errors"
	"log"
	"os"
)

var errUsage = errors.New("usage: example serve | send [flags] STATEMENT | demo | sparql")

func main() {
	log.SetFlags(0)
	if err := run(os.Args[1:]); err != nil {
		log.Fatal(err)
	}
}

// run runs the command that the arguments begin with.
func run(args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	switch args[0] {
	case "serve":
		return serve()
	case "send":
		return send(args[1:])
	case "demo":
		return demo()
	case "sparql":
		return sparql()
	default:
		return errUsage
	}
}
