package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/limits"
	"swiftreel/internal/sparql/decide"
)

// town is a client and one scripted endpoint: what it reads of a request, and then writes or does, is the test's.
type town struct {
	t       *testing.T
	client  *Client
	host    backend.Host
	bytes   *limits.Bytes
	mu      sync.Mutex
	signals []decide.Signal
}

func newTown(t *testing.T, conns int64, serve func(net.Conn, *http.Request)) *town {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if err := request.ParseForm(); err != nil {
						t.Error(err)
					}
					serve(c, request)
				}
			})
		}
	})
	host := backend.Host{Name: "e1", Address: "http://" + l.Addr().String() + "/sparql", Protocol: backend.SPARQL}
	w := &town{t: t, host: host, bytes: new(limits.Bytes)}
	w.bytes.SetCapacity(1 << 20)
	most := new(limits.Count)
	most.Store(conns)
	bounds := backend.Limits{
		DialTimeout: time.Second,
		IdleTimeout: 10 * time.Second,
		Conns:       most,
		ResultBytes: w.bytes,
	}
	w.client = New(bounds, func(_ string, signal decide.Signal) {
		w.mu.Lock()
		w.signals = append(w.signals, signal)
		w.mu.Unlock()
	})
	t.Cleanup(func() {
		w.client.Close()
		l.Close()
		running.Wait()
		if !w.bytes.Unused() {
			t.Error("bytes are kept")
		}
		if open, given := w.client.InFlight("e1"); open+given != 0 || w.client.conns != 0 {
			t.Errorf("%d open, %d given up, %d in all", open, given, w.client.conns)
		}
	})
	return w
}

var query = Operation{
	Accept: "application/sparql-results+json",
	Form:   url.Values{"query": {"SELECT * { ?s ?p ?o }"}, "default-graph-uri": {"http://g"}},
}

// openGate permits every dispatch, for longer than a test lasts.
type openGate struct{}

func (openGate) Permit() backend.Permission {
	return backend.Permission{Granted: true, TimeoutMS: 20000}
}
func (openGate) Withdraw() {}
func (openGate) Await()    {}

func (w *town) ask(a Operation) backend.Reply {
	w.t.Helper()
	told := make(chan backend.Reply, 2)
	request := backend.Request{ID: []byte("7"), Statement: a.Statement(), Gate: openGate{}}
	w.client.Start(w.host, request, func(r backend.Reply) { told <- r })
	select {
	case r := <-told:
		return r
	case <-time.After(20 * time.Second):
		w.t.Fatal("no outcome")
	}
	return backend.Reply{}
}

const good = `{"head":{"vars":["s"]},"results":{"bindings":[{"s":{"type":"uri","value":"http://a"}}]}}`

func answer(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), fields, body)
}

const typed = "Content-Type: application/sparql-results+json; charset=utf-8\r\n"

// Each outcome is told apart: what never ran, what may have, what is done.
func TestOutcomesAreToldApart(t *testing.T) {
	update := Operation{Update: true, Accept: "*/*", Form: url.Values{"update": {"CLEAR ALL"}}}
	half := answer("200 OK", typed, good)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + typed + "\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(good), good)
	const lastChunk = "0\r\n\r\n"
	endless := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n"
	large := `{"head":{"vars":[]},"results":{"bindings":[` + strings.Repeat(" ", 2<<20) + "]}}"
	const elsewhere = "Location: /other\r\n"
	const notStarted = "Not-Started: ?1\r\n"
	const compressed = typed + "Content-Encoding: gzip\r\n"
	for name, c := range map[string]struct {
		ask   Operation
		write string
		want  backend.Outcome
	}{
		"done":                          {query, answer("200 OK", typed+"Load: inflight:3\r\n", good), backend.Done},
		"chunked":                       {query, chunked + lastChunk, backend.Done},
		"last chunk missing":            {query, chunked, backend.Reset},
		"body cut":                      {query, half[:len(half)-5], backend.Reset},
		"head cut":                      {query, half[:20], backend.Reset},
		"nothing at all":                {query, "", backend.Reset},
		"breaks inside the JSON":        {query, answer("200 OK", typed, good[:len(good)-9]), backend.Failed},
		"more after the JSON":           {query, answer("200 OK", typed, good+good), backend.Failed},
		"another format":                {query, answer("200 OK", "Content-Type: text/html\r\n", "<html>"), backend.Failed},
		"said to be compressed":         {query, answer("200 OK", compressed, "\x1f\x8b"), backend.Failed},
		"full, and nothing began":       {query, answer("503 Service Unavailable", notStarted, ""), backend.Full},
		"too many, and nothing began":   {query, answer("429 Too Many Requests", notStarted, ""), backend.Full},
		"503 that says nothing":         {query, answer("503 Service Unavailable", "", ""), backend.Failed},
		"an error":                      {query, answer("500 Internal Server Error", notStarted, ""), backend.Failed},
		"sent elsewhere":                {query, answer("307 Temporary Redirect", elsewhere, ""), backend.Failed},
		"no HTTP":                       {query, "220 mail\r\n\r\n", backend.Reset},
		"a header without end":          {query, endless, backend.Reset},
		"an update done":                {update, answer("204 No Content", "", ""), backend.Done},
		"an update done, with words":    {update, answer("200 OK", "Content-Type: text/plain\r\n", "done"), backend.Done},
		"an update's answer cut":        {update, strings.TrimSuffix(answer("200 OK", "", "done"), "e"), backend.Failed},
		"an update answered at length":  {update, answer("200 OK", "", strings.Repeat("x", 200<<10)), backend.Failed},
		"more than there is memory for": {query, answer("200 OK", typed, large), backend.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTown(t, 8, func(conn net.Conn, r *http.Request) {
				for field, want := range c.ask.Form {
					got := r.PostForm[field]
					if r.Method != "POST" || r.Header.Get("Job") != "7" ||
						len(got) != 1 || got[0] != want[0] {
						t.Errorf("asked %v", r)
					}
				}
				io.WriteString(conn, c.write)
				conn.Close()
			})
			r := w.ask(c.ask)
			if r.Outcome != c.want {
				t.Errorf("end %d, want %d", r.Outcome, c.want)
			}
			if r.Outcome == backend.Done && !c.ask.Update {
				text, _ := io.ReadAll(Pages(r.Pages))
				if string(text) != good || name == "done" && r.Load != "inflight:3" {
					t.Errorf("%q, load %q", text, r.Load)
				}
			}
			w.client.Release(r.Pages)
		})
	}
}

func TestARefusedDialNeverRan(t *testing.T) {
	w := newTown(t, 8, func(net.Conn, *http.Request) {})
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	w.host.Address = "http://" + l.Addr().String()
	l.Close()
	if r := w.ask(query); r.Outcome != backend.NotConnected {
		t.Errorf("end %d", r.Outcome)
	}
	probed := make(chan backend.Reply, 1)
	w.client.Probe(w.host, true, time.Second, func(r backend.Reply) { probed <- r })
	if r := <-probed; r.Outcome != backend.NotConnected {
		t.Errorf("a probe: end %d", r.Outcome)
	}
	if r := w.ask(Operation{}); r.Outcome != backend.NotConnected {
		t.Errorf("end %d", r.Outcome)
	}
}

// One given up is told nothing more; done comes once its connection is closed. It has no outcome twice.
func TestGivenUpIsGivenUpOnce(t *testing.T) {
	asked, closed := make(chan struct{}, 1), make(chan struct{})
	w := newTown(t, 1, func(c net.Conn, _ *http.Request) {
		asked <- struct{}{}
		_, _ = io.Copy(io.Discard, c) // until it is closed, by either side
		close(closed)
	})
	told := make(chan backend.Reply, 2)
	request := backend.Request{ID: []byte("7"), Statement: query.Statement(), Gate: openGate{}}
	d := w.client.Start(w.host, request, func(r backend.Reply) { told <- r })
	<-asked
	if open, _ := w.client.InFlight("e1"); open != 1 {
		t.Errorf("%d open", open)
	}
	if r := w.ask(query); r.Outcome != backend.Full { // no connection is left: it never ran
		t.Errorf("past the connections: end %d", r.Outcome)
	}
	done := make(chan struct{})
	if !d.Cancel(func() { close(done) }) || d.Cancel(nil) {
		t.Error("not given up once")
	}
	<-done
	<-closed
	if len(told) != 0 {
		t.Error("an outcome of what was given up")
	}
}

func TestAnEnginesOwnWordsAreHeard(t *testing.T) {
	var mu sync.Mutex
	next := ""
	w := newTown(t, 8, func(c net.Conn, _ *http.Request) {
		mu.Lock()
		io.WriteString(c, next)
		mu.Unlock()
	})
	probe := func() backend.Reply {
		told := make(chan backend.Reply, 1)
		w.client.Probe(w.host, true, 20*time.Second, func(r backend.Reply) { told <- r })
		return <-told
	}
	ask := `{"head":{},"boolean":true}`
	for _, c := range []struct {
		write  string
		end    backend.Outcome
		signal decide.Signal
	}{
		{answer("200 OK", typed+"Load: inflight:2\r\n", ask), backend.Done, decide.SignalServing},
		{answer("200 OK", typed+"Draining: ?1\r\n", ask), backend.Done, decide.SignalDraining},
		{answer("503 Service Unavailable", "", ""), backend.Full, decide.SignalDraining},
		{answer("200 OK", typed, "{}"), backend.Failed, decide.SignalServing},
		{answer("200 OK", typed+"Connection: close\r\n", ask), backend.Done, decide.SignalClosing},
	} {
		mu.Lock()
		next = c.write
		mu.Unlock()
		r := probe()
		w.mu.Lock()
		word := w.signals[len(w.signals)-1]
		w.mu.Unlock()
		if r.Outcome != c.end || word != c.signal {
			t.Errorf("%q: end %d, word %d", c.write, r.Outcome, word)
		}
	}
}
