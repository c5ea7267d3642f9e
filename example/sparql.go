package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"swiftreel/internal/fake"
)

// endpointAddresses must match example/sparql.json. Engines e1 and e2 serve both protocols.
var endpointAddresses = []string{"127.0.0.1:9201", "127.0.0.1:9202"}

// triples are the contents of the endpoints.
var triples = [][3]string{
	{"<http://x/term1>", "<http://x/label>", `"memory"`},
	{"<http://x/term1>", "<http://x/in>", "<http://x/base>"},
	{"<http://x/term2>", "<http://x/label>", `"engine"`},
}

// runSPARQL runs the fakes, two SPARQL endpoints and the controller until interrupted.
func runSPARQL() error {
	if _, err := startFakes(); err != nil {
		return err
	}
	for _, address := range endpointAddresses {
		endpoint, err := fake.StartEndpoint(address, triples...)
		if err != nil {
			return err
		}
		defer endpoint.Close()
	}
	controller, err := startController("--operator", "example/sparql.json")
	if err != nil {
		return err
	}
	log.Print(`ask: curl -H "Accept: text/csv" --data-urlencode ` +
		`"query=SELECT * { ?term <http://x/label> ?label }" http://127.0.0.1:8890/sparql`)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	if err := stopController(controller); err != nil {
		return fmt.Errorf("stop controller: %w", err)
	}
	return nil
}
