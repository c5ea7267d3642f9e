package main

import (
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
	readTimeout  = 2 * time.Second // of a job that only reads
	writeTimeout = 4 * time.Second // of an import or update
	maxAnswer    = 10 * time.Second
	writeEvery   = 10 // every tenth job writes
	importKeys   = 3
)

// isWrite reports whether the job of a number is an import or update.
func isWrite(number int) bool { return number%writeEvery == writeEvery-1 }

func (r *run) logAccepted(job, jobType, key, front string, timeout time.Duration) {
	r.events.Add(rulecheck.Entry{
		Event:      rulecheck.Accepted,
		Job:        job,
		Type:       jobType,
		Key:        key,
		Front:      front,
		DeadlineNS: time.Now().Add(timeout).UnixNano(),
	})
}

func (r *run) logAnswered(job, outcome string) {
	r.events.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: job, Answer: outcome})
}

// playCalls is a MessagePack client: a call at a time, every tenth an import. It ends where a call gets no answer,
// which the check finds.
func (r *run) playCalls(c *controller, number int, name string) {
	client, err := fake.Dial(c.clientAddress)
	if err != nil {
		return
	}
	defer client.Conn.Close()
	front := fmt.Sprint(name, number)
	for n := range r.calls / clients {
		if !r.call(client, front, fmt.Sprintf("%s%014x", name, n+1), n) {
			return
		}
		time.Sleep(r.pause)
	}
}

// call sends one job and reports whether it was answered.
func (r *run) call(client *fake.Client, front, job string, number int) bool {
	jobType, key, timeout := "lookup", "", readTimeout
	if isWrite(number) {
		jobType, key, timeout = "import", fmt.Sprint("k", number%importKeys), writeTimeout
	}
	fields := []string{
		"call", job, "ttl", fmt.Sprint(timeout.Milliseconds()), "org", "acme", "work", "4", "est_mb", "8",
	}
	if key != "" {
		fields = append(fields, "row", key)
	}
	r.logAccepted(job, jobType, key, front, timeout)
	id, err := client.Send(jobType, "SELECT 1 FROM a_1.b", fields...)
	if err != nil {
		return false
	}
	answer, err := client.Read(maxAnswer)
	if err != nil || answer.ID != id {
		return false
	}
	switch answer.Error {
	case "":
		r.logAnswered(job, rulecheck.Done)
	case "Overloaded":
		r.logAnswered(job, rulecheck.Throttled)
	default:
		r.logAnswered(job, rulecheck.Cancelled)
	}
	return true
}

// playTexts is a SPARQL client: a text at a time on each of its connections, every tenth an update.
func (r *run) playTexts(c *controller, number int, name string) {
	var wait sync.WaitGroup
	for connection := range r.connections {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := connection; n < r.queries/clients; n += r.connections {
				r.text(client, c, number, fmt.Sprintf("s%s%06d", name, n), isWrite(n))
				time.Sleep(r.pause)
			}
		})
	}
	wait.Wait()
}

// text sends one query or update.
func (r *run) text(client *http.Client, c *controller, number int, job string, update bool) {
	timeout := readTimeout
	form := url.Values{"query": {"SELECT * { ?s <p> ?o } # " + job}}
	if update {
		timeout = writeTimeout
		form = url.Values{"update": {"INSERT DATA { GRAPH <g> { <s> <p> 1 } } # " + job}}
		// updates of several connections have no order that a client could know: each is a front of its own
		r.logAccepted(job, "update", "graph g", job, timeout)
	} else {
		r.logAccepted(job, "query", "", fmt.Sprint("s", number), timeout)
	}
	form.Set("timeout", fmt.Sprint(timeout.Milliseconds()))
	address := "http://" + c.sparqlAddress + "/sparql"
	response, err := client.PostForm(address, form) //nolint:noctx // ends with the job's timeout
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	if outcome := outcomeOf(response, string(body)); outcome != "" {
		r.logAnswered(job, outcome)
	}
}

// outcomeOf returns the outcome that a response stands for; "" where it is none.
func outcomeOf(response *http.Response, body string) string {
	switch response.StatusCode {
	case http.StatusOK:
		if strings.HasSuffix(strings.TrimSpace(body), "]}}") {
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
