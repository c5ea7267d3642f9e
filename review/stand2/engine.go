//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what an engine answers to a SPARQL request, and when.
type answer struct {
	after     time.Duration
	response  []byte
	copyAfter time.Duration // a second copy of the answer comes so long after it; 0: none
}

// answerFunc decides what an engine answers to a query or an update.
type answerFunc func(e *engine, form url.Values, header http.Header) answer

// engine is a stand-in for an engine that speaks SPARQL over HTTP, and the line protocol for probes.
type engine struct {
	name   string
	rec    *record
	answer answerFunc
	http   net.Listener
	line   net.Listener
	held   atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func startEngine(name string, rec *record, answer answerFunc) (*engine, error) {
	e := &engine{name: name, rec: rec, answer: answer, conns: map[net.Conn]struct{}{}}
	var err error
	if e.http, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, setupf("%v", err)
	}
	if e.line, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, setupf("%v", err)
	}
	go e.accept(e.http, e.serveHTTP)
	go e.accept(e.line, e.serveLine)
	return e, nil
}

func (e *engine) accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = struct{}{}
		e.mu.Unlock()
		go func() {
			serve(conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

func (e *engine) close() {
	_ = e.http.Close()
	_ = e.line.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.Close()
	}
}

// serveHTTP answers the requests of a connection, one after the other.
func (e *engine) serveHTTP(conn net.Conn) {
	var writing sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		form, err := url.ParseQuery(string(body))
		if err != nil {
			return
		}
		if form.Get("query") == "ASK {}" { // a probe
			writing.Lock()
			_, _ = conn.Write(response(http.StatusOK, `{"head":{},"boolean":true}`))
			writing.Unlock()
			continue
		}
		e.held.Add(1)
		a := e.answer(e, form, request.Header)
		time.Sleep(a.after)
		e.held.Add(-1)
		writing.Lock()
		_, err = conn.Write(a.response)
		writing.Unlock()
		if err != nil {
			return
		}
		if a.copyAfter > 0 {
			time.AfterFunc(a.copyAfter, func() {
				writing.Lock()
				defer writing.Unlock()
				_, _ = conn.Write(a.response)
			})
		}
	}
}

// response returns an HTTP response with a result, or without a body if that is empty.
func response(status int, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if body != "" {
		fmt.Fprintf(&b, "Content-Type: application/sparql-results+json\r\nContent-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&b, "Date: %s\r\n\r\n%s", time.Now().UTC().Format(http.TimeFormat), body)
	return b.Bytes()
}

// refusal returns the answer of an engine that is full and has not begun.
func refusal() []byte {
	return []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Started: ?1\r\nContent-Length: 0\r\n\r\n")
}

// table returns a result in JSON with one variable and one row.
func table(value string) string {
	return `{"head":{"vars":["v"]},"results":{"bindings":[{"v":{"type":"literal","value":"` + value + `"}}]}}`
}

// serveLine answers probes in the line protocol, and every statement with one row.
func (e *engine) serveLine(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && (words[0] == "stats" || words[0] == "alive"):
			_, err = fmt.Fprintf(conn, "%s well load=inflight:%d 0\r\n\r\n", words[1], e.held.Load())
		case len(words) == 4 && words[0] == "fetch":
			length := 0
			_, _ = fmt.Sscanf(words[3], "%d", &length)
			if _, err = io.ReadFull(reader, make([]byte, length+2)); err == nil {
				row := "line\t" + words[1] + "\tx\n"
				_, err = fmt.Fprintf(conn, "%s data sheets=1,toil=10,room=8 %d\r\n%s\r\n", words[1], len(row), row)
			}
		case len(words) == 3 && words[0] == "more":
			_, err = fmt.Fprintf(conn, "%s failed - 0\r\n\r\n", words[1])
		}
		if err != nil {
			return
		}
	}
}
