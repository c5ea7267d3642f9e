package main

import (
	"fmt"
	"log"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"swiftreel/internal/fake"
)

// endpoints are where example/sparql.json has them: both machines speak both protocols.
var endpoints = []string{"127.0.0.1:9201", "127.0.0.1:9202"}

// sparql runs the toys, two SPARQL endpoints and the controller, until interrupted.
func sparql() error {
	if _, err := start(); err != nil {
		return err
	}
	for _, address := range endpoints {
		e, err := fake.StartEndpoint(address, [3]string{"<http://x/term1>", "<http://x/label>", `"memory"`},
			[3]string{"<http://x/term1>", "<http://x/in>", "<http://x/base>"}, [3]string{"<http://x/term2>", "<http://x/label>", `"engine"`})
		if err != nil {
			return err
		}
		defer e.Close()
	}
	node := exec.Command("bin/swiftreel", "--operator", "example/sparql.json")
	node.Env = append(os.Environ(), "ROUTER_CONFIG=example/config.json")
	node.Stderr = os.Stderr
	if err := node.Start(); err != nil {
		return err
	}
	log.Print(`ask: curl -H "Accept: text/csv" --data-urlencode "query=SELECT * { ?term <http://x/label> ?label }" http://127.0.0.1:8890/sparql`)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	node.Process.Signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		return fmt.Errorf("the controller: %w", err)
	}
	return nil
}
