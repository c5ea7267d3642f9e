package front

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

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/sparql/decide"
)

// taker answers each job as it is told to.
type taker struct{ answer func(gateway.Request) }

func (taker) Ready() bool                { return true }
func (t taker) Submit(a gateway.Request) { go t.answer(a) }

const rows = `{"head":{"vars":["s"]},"results":{"bindings":[{"s":{"type":"literal","value":"%s"}}]}}`

func served(t *testing.T, conns int, answer func(gateway.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := New(Options{
		Path:           "/sparql",
		Rules:          []decide.Rule{{Type: "lookup"}},
		DefaultTimeout: 20 * time.Second,
		MaxTimeout:     time.Minute,
		Conns:          conns,
		MaxKeys:        10,
	}, taker{answer})
	var running sync.WaitGroup
	running.Go(func() { f.Serve(l) })
	t.Cleanup(func() {
		f.Close()
		running.Wait()
		if f.Owed() != 0 {
			t.Errorf("%d answers are owed", f.Owed())
		}
	})
	return l.Addr().String()
}

func dialed(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func get(text string) string {
	return "GET /sparql?query=" + url.QueryEscape(text) + " HTTP/1.1\r\nHost: x\r\n\r\n"
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	at := served(t, 4, func(a gateway.Request) {
		form, _ := url.ParseQuery(strings.SplitN(string(a.Statement), "\n", 4)[3])
		a.Client.Done([][]byte{[]byte(fmt.Sprintf(rows, form.Get("query")))})
	})
	c := dialed(t, at)
	io.WriteString(c, get("ASK { <a> <b> 1 }")+get("SELECT * { ?s <b> 2 }")+
		"POST /sparql HTTP/1.1\r\nHost: x\r\n"+
		"Content-Type: application/sparql-query\r\nContent-Length: 21\r\n\r\nSELECT * { ?s <b> 3 }")
	r := bufio.NewReader(c)
	for n := range 3 {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		a.Body.Close()
		if err != nil || a.StatusCode != 200 || !strings.Contains(string(body), fmt.Sprint("<b> ", n+1)) {
			t.Errorf("%d: %v %d %s", n, err, a.StatusCode, body)
		}
	}
}

// Each state has its end: headers that do not come, a client that takes nothing of its answer, one more than may be
// open.
func TestEachStateOfAConnectionHasItsEnd(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	at := served(t, 2, func(a gateway.Request) {
		var pages [][]byte
		head, tail, _ := strings.Cut(rows, "%s")
		pages = append(pages, []byte(head))
		for range 64 {
			pages = append(pages, []byte(large))
		}
		a.Client.Done(append(pages, []byte(tail)))
	})
	cut := counters.Value("sparql_answers_cut")
	slow, unread := dialed(t, at), dialed(t, at)
	io.WriteString(slow, "GET /sparql?query=")
	io.WriteString(unread, get("SELECT * { ?s <b> 2 }"))
	third := dialed(t, at) // waits at the door until one of the others has ended
	io.WriteString(third, "GET /sparql HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	if body, err := io.ReadAll(third); err != nil || !strings.Contains(string(body), "sd:Service") {
		t.Errorf("the third: %v %s", err, body)
	}
	if _, err := io.ReadAll(slow); err != nil {
		t.Errorf("slow headers: %v", err)
	}
	r := bufio.NewReader(unread)        // what it takes now was written before it was given up
	a, err := http.ReadResponse(r, nil) //nolint:bodyclose // breaks off; its connection is closed at the end of the test
	if err != nil {
		t.Fatal(err)
	}
	stop := time.Now().Add(15 * time.Second)
	for ; counters.Value("sparql_answers_cut") == cut; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal("a client that takes nothing keeps its answer")
		}
	}
	if body, err := io.ReadAll(a.Body); err == nil {
		t.Errorf("an answer taken too late is whole: %d bytes", len(body))
	}
}

func TestOutcomesHaveTheirStatus(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(gateway.Client)
		status int
	}{
		"throttled":           {func(a gateway.Client) { a.Throttled(1500 * time.Millisecond) }, 503},
		"cancelled for good":  {func(a gateway.Client) { a.Failed(gateway.ReasonCancelled) }, 502},
		"job timeout":         {func(a gateway.Client) { a.Failed(gateway.ReasonTimeout) }, 504},
		"an unusable call":    {func(a gateway.Client) { a.Failed("no such tenant") }, 400},
		"answered at its end": {func(a gateway.Client) { a.Done(nil) }, 0}, // nothing that is a result: cut
	} {
		at := served(t, 2, func(a gateway.Request) { c.answer(a.Client) })
		r, err := http.Get("http://" + at + "/sparql?query=" + url.QueryEscape("SELECT * { ?s <b> 2 }"))
		if err != nil {
			if c.status != 0 {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		r.Body.Close()
		if r.StatusCode != c.status && c.status != 0 || name == "throttled" && r.Header.Get("Retry-After") != "2" {
			t.Errorf("%s: %d, retry after %q", name, r.StatusCode, r.Header.Get("Retry-After"))
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
