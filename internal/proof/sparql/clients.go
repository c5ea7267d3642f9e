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
	jobsPerWrite        = 10 // one in this many jobs is an import or update
	keys                = 3  // number of ordering keys of imports
	clientsSharingCalls = 4  // number of clients that share a run's calls
	answerLimit         = 10 * time.Second
)

// job is a job requested by a client.
type job struct {
	id      string
	jobType string
	key     string
	front   string // jobs with the same front and key are ordered
	timeout time.Duration
}

func (r *run) logAccepted(j job) {
	r.events.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: j.id, Type: j.jobType, Key: j.key, OrderScope: j.front,
		DeadlineNS: time.Now().Add(j.timeout).UnixNano()})
}

func (r *run) logAnswered(id, answer string) {
	r.events.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: id, Answer: answer})
}

// runMessagePackClient runs a MessagePack client with one job at a time. It stops at the first error; the check of the
// log reports the job that has no answer.
func (r *run) runMessagePackClient(target *controller, index int, name string) {
	conn, err := fake.Dial(target.clientAddress)
	if err != nil {
		return
	}
	defer conn.Conn.Close()
	for n := range r.config.calls / clientsSharingCalls {
		j := job{id: fmt.Sprintf("%s%014x", name, n+1), jobType: lookupType, front: fmt.Sprint(name, index),
			timeout: readTimeout}
		if n%jobsPerWrite == jobsPerWrite-1 {
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

// call requests a job and returns its outcome as a value of package rulecheck.
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
		return "", fmt.Errorf("answer has ID %d, want %d", answer.ID, id)
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

// runSPARQLClient runs a SPARQL client with one request at a time on each of its connections.
func (r *run) runSPARQLClient(target *controller, index int, name string) {
	var connections sync.WaitGroup
	for connection := range r.config.connections {
		connections.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := connection; n < r.config.queries/clientsSharingCalls; n += r.config.connections {
				id := fmt.Sprintf("s%s%06d", name, n)
				if n%jobsPerWrite == jobsPerWrite-1 {
					r.update(client, target, id)
				} else {
					r.query(client, target, index, id)
				}
				time.Sleep(r.config.pause)
			}
		})
	}
	connections.Wait()
}

func (r *run) query(client *http.Client, target *controller, index int, id string) {
	j := job{id: id, jobType: queryType, front: fmt.Sprint("s", index), timeout: readTimeout}
	r.post(client, target, j, url.Values{"query": {"SELECT * { ?s <p> ?o } # " + id}})
}

// update requests an update. Each update has a front of its own, because the order of updates on several connections is
// undefined.
func (r *run) update(client *http.Client, target *controller, id string) {
	j := job{id: id, jobType: updateType, key: "graph g", front: id, timeout: writeTimeout}
	r.post(client, target, j, url.Values{"update": {"INSERT DATA { GRAPH <g> { <s> <p> 1 } } # " + id}})
}

// post requests a job over SPARQL and logs its outcome. A response that is no valid outcome is not logged.
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

// outcomeOf returns the outcome of a response as a value of package rulecheck, or "" if it is not a valid outcome.
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
