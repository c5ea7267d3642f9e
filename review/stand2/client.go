//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// reply is what a client got for a request. A zero status means that it got no whole answer.
type reply struct {
	status int
	body   string
	after  time.Duration // from the last byte of the request to the last byte of the answer
	reason error
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer after %d ms (%v)", r.after.Milliseconds(), r.reason)
	}
	return fmt.Sprintf("%d after %d ms %.60q", r.status, r.after.Milliseconds(), r.body)
}

// connection is a client's connection to the controller, for SPARQL.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	socket, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{socket: socket, reader: bufio.NewReader(socket)}, nil
}

func (c *connection) close() { _ = c.socket.Close() }

// write writes a request, a query or an update, whose client waits for so long, and returns when it was written.
func (c *connection) write(address, kind, text string, wait time.Duration) (time.Time, error) {
	body := url.Values{kind: {text}}.Encode()
	_, err := fmt.Fprintf(c.socket, "POST /sparql?timeout=%d HTTP/1.1\r\nHost: %s\r\n"+
		"Content-Type: application/x-www-form-urlencoded\r\nAccept: application/sparql-results+json\r\n"+
		"Content-Length: %d\r\n\r\n%s", wait.Milliseconds(), address, len(body), body)
	return time.Now(), err
}

// read reads the answer to a request that was written then, until a limit.
func (c *connection) read(written time.Time, limit time.Duration) reply {
	_ = c.socket.SetReadDeadline(written.Add(limit))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{after: time.Since(written), reason: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{after: time.Since(written), reason: err}
	}
	return reply{status: response.StatusCode, body: strings.TrimSpace(string(body)), after: time.Since(written)}
}

// ask sends a request and reads its answer.
func (c *connection) ask(address, kind, text string, wait, limit time.Duration) reply {
	written, err := c.write(address, kind, text, wait)
	if err != nil {
		return reply{reason: err}
	}
	return c.read(written, limit)
}

// askDirect sends a query as the body of a request and reads its answer.
func (c *connection) askDirect(address, text string, wait, limit time.Duration) reply {
	if _, err := fmt.Fprintf(c.socket, "POST /sparql?timeout=%d HTTP/1.1\r\nHost: %s\r\n"+
		"Content-Type: application/sparql-query\r\nAccept: application/sparql-results+json\r\n"+
		"Content-Length: %d\r\n\r\n%s", wait.Milliseconds(), address, len(text), text); err != nil {
		return reply{reason: err}
	}
	return c.read(time.Now(), limit)
}
