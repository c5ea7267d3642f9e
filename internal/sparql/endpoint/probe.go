package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/results"
)

// probeForm is the query ASK {}, which every endpoint can answer immediately.
const probeForm = "query=ASK+%7B%7D"

// Probe implements backend.Engines.
func (c *Client) Probe(to backend.Host, load bool, timeout time.Duration, reply func(backend.Reply)) {
	if !c.acquire("") {
		reply(backend.Reply{Outcome: backend.Full})
		return
	}
	defer c.release("", false)
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	probe := encodedOperation{accept: results.JSON.MediaType(), form: []byte(probeForm)}
	response, connected, err := c.post(ctx, to, "", probe)
	if err != nil {
		reply(backend.Reply{Outcome: failedProbe(ctx, connected)})
		return
	}
	defer response.Body.Close()
	result := backend.Reply{Outcome: c.readProbe(to, response)}
	if load {
		result.Load = response.Header.Get(headerLoad)
	}
	reply(result)
}

// failedProbe returns the outcome of a probe without a response.
func failedProbe(ctx context.Context, connected bool) backend.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return backend.TimedOut
	case !connected:
		return backend.NotConnected
	}
	return backend.Reset
}

// readProbe reads the response to a probe and reports the engine's signal.
func (c *Client) readProbe(from backend.Host, response *http.Response) backend.Outcome {
	if response.StatusCode == http.StatusServiceUnavailable { // concerns the engine itself, as a probe has no job
		c.onSignal(from, decide.SignalDraining)
		return backend.Full
	}
	c.reportSignal(from, response)
	if response.StatusCode != http.StatusOK {
		return backend.Failed
	}
	head, err := results.NewReader(results.JSON, io.LimitReader(response.Body, maxHeaderBytes)).Head()
	if err != nil || !head.Ask {
		return backend.Failed
	}
	return backend.Done
}
