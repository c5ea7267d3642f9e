package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"swiftreel/internal/fake"
)

// endpointAddresses are where example/sparql.json has them: both machines speak both protocols.
var endpointAddresses = []string{"127.0.0.1:9201", "127.0.0.1:9202"}

// exampleTriples are what each endpoint holds.
var exampleTriples = [][3]string{
	{"<http://x/term1>", "<http://x/label>", `"memory"`},
	{"<http://x/term1>", "<http://x/in>", "<http://x/base>"},
	{"<http://x/term2>", "<http://x/label>", `"engine"`},
}

const exampleQuery = `curl -H "Accept: text/csv" --data-urlencode "query=SELECT * { ?term <http://x/label> ?label }"` +
	` http://127.0.0.1:8890/sparql`

// sparql runs the fakes, two SPARQL endpoints and the controller, until interrupted.
func sparql() error {
	if _, err := startFakes(); err != nil {
		return err
	}
	for _, address := range endpointAddresses {
		endpoint, err := fake.StartEndpoint(address, exampleTriples...)
		if err != nil {
			return err
		}
		defer endpoint.Close()
	}
	controller, err := startController("--operator", "example/sparql.json")
	if err != nil {
		return err
	}
	log.Print("ask: ", exampleQuery)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	if err := controller.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := controller.Wait(); err != nil {
		return fmt.Errorf("the controller: %w", err)
	}
	return nil
}
