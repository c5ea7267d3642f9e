package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
)

const (
	writeEach    = 10 // one in so many jobs is an import or update
	keys         = 3  // of imports
	partsOfCalls = 4  // a client makes one in so many of a run's calls
	answerLimit  = 10 * time.Second
)

// job is a job as a client requests it.
type job struct {
	id      string
	jobType string
	key     string
	front   string // jobs of one front and key have an order
	timeout time.Duration
}

func (r *run) logAccepted(j job) {
	r.events.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: j.id, Type: j.jobType, Key: j.key, Front: j.front,
		DeadlineNS: time.Now().Add(j.timeout).UnixNano()})
}

func (r *run) logAnswered(id, answer string) {
	r.events.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: id, Answer: answer})
}

// runCaller is a MessagePack client: one job at a time. A job without its answer is found by the check of the log.
func (r *run) runCaller(target *controller, index int, name string) {
	conn, err := fake.Dial(target.clientAddress)
	if err != nil {
		return
	}
	defer conn.Conn.Close()
	for n := range r.config.calls / partsOfCalls {
		j := job{id: fmt.Sprintf("%s%014x", name, n+1), jobType: lookupType, front: fmt.Sprint(name, index),
			timeout: readTimeout}
		if n%writeEach == writeEach-1 {
			j.jobType = importType
			j.timeout = writeTimeout
			j.key = fmt.Sprint("k", n%keys)
		}
		r.logAccepted(j)
		answer, err := call(conn, j)
		if err != nil {
			return
		}
		r.logAnswered(j.id, answer)
		time.Sleep(r.config.pause)
	}
}

// call requests a job and returns its answer as the rules name it.
func call(conn *fake.Client, request job) (string, error) {
	fields := []string{"call", request.id, "ttl", fmt.Sprint(request.timeout.Milliseconds()), "org", "acme",
		"work", "4", "est_mb", "8"}
	if request.key != "" {
		fields = append(fields, "row", request.key)
	}
	id, err := conn.Send(request.jobType, "SELECT 1 FROM a_1.b", fields...)
	if err != nil {
		return "", err
	}
	answer, err := conn.Read(answerLimit)
	if err != nil {
		return "", err
	}
	if answer.ID != id {
		return "", fmt.Errorf("an answer to %d, requested was %d", answer.ID, id)
	}
	switch answer.Error {
	case "":
		return rulecheck.Done, nil
	case "Overloaded":
		return rulecheck.Throttled, nil
	default:
		return rulecheck.Cancelled, nil
	}
}

// runQuerier is a SPARQL client, with one request at a time over each of its connections.
func (r *run) runQuerier(target *controller, index int, name string) {
	var lanes sync.WaitGroup
	for lane := range r.config.lanes {
		lanes.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := lane; n < r.config.queries/partsOfCalls; n += r.config.lanes {
				id := fmt.Sprintf("s%s%06d", name, n)
				if n%writeEach == writeEach-1 {
					r.update(client, target, id)
				} else {
					r.query(client, target, index, id)
				}
				time.Sleep(r.config.pause)
			}
		})
	}
	lanes.Wait()
}

func (r *run) query(client *http.Client, target *controller, index int, id string) {
	j := job{id: id, jobType: queryType, front: fmt.Sprint("s", index), timeout: readTimeout}
	r.post(client, target, j, url.Values{"query": {"SELECT * { ?s <p> ?o } # " + id}})
}

// update requests one. Each has a front of its own: updates of several connections have no order that a client could
// know.
func (r *run) update(client *http.Client, target *controller, id string) {
	j := job{id: id, jobType: updateType, key: "graph g", front: id, timeout: writeTimeout}
	r.post(client, target, j, url.Values{"update": {"INSERT DATA { GRAPH <g> { <s> <p> 1 } } # " + id}})
}

// post requests a job over SPARQL and logs its outcome. What is none is logged as none.
func (r *run) post(client *http.Client, target *controller, requested job, form url.Values) {
	form.Set("timeout", fmt.Sprint(requested.timeout.Milliseconds()))
	address := "http://" + target.sparqlAddress + "/sparql"
	body := strings.NewReader(form.Encode())
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, address, body)
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.logAccepted(requested)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	if answer := outcomeOf(response, string(text)); answer != "" {
		r.logAnswered(requested.id, answer)
	}
}

// outcomeOf is a response's outcome as the rules name it, "" where it is none.
func outcomeOf(response *http.Response, body string) string {
	complete := strings.HasSuffix(strings.TrimSpace(body), "]}}")
	switch response.StatusCode {
	case http.StatusOK:
		if complete {
			return rulecheck.Done
		}
	case http.StatusNoContent:
		return rulecheck.Done
	case http.StatusServiceUnavailable:
		if response.Header.Get("Retry-After") != "" {
			return rulecheck.Throttled
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return rulecheck.Cancelled
	}
	return ""
}
