package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"swiftreel/internal/fake"
)

// endpointAddresses are those of example/sparql.json: both machines speak both protocols.
var endpointAddresses = []string{"127.0.0.1:9201", "127.0.0.1:9202"}

// triples are what the endpoints hold.
var triples = [][3]string{
	{"<http://x/term1>", "<http://x/label>", `"memory"`},
	{"<http://x/term1>", "<http://x/in>", "<http://x/base>"},
	{"<http://x/term2>", "<http://x/label>", `"engine"`},
}

// sparql runs the fakes, two SPARQL endpoints and the controller, until interrupted.
func sparql() error {
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
		return fmt.Errorf("the controller: %w", err)
	}
	return nil
}
