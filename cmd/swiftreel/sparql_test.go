package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
)

// startSPARQL starts a controller with a SPARQL front end. The engines e1 and e2 each serve SPARQL and the line
// protocol.
func startSPARQL(t *testing.T) (w *testController, at string, endpoints [2]*fake.Endpoint) {
	t.Helper()
	var list []string
	for i := range endpoints {
		var err error
		if endpoints[i], err = fake.StartEndpoint(
			"127.0.0.1:0",
			[3]string{"<a>", "<p>", `"1"`},
			[3]string{"<b>", "<p>", `"2"`},
			[3]string{"<a>", "<q>", "<b>"},
		); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoints[i].Close)
		list = append(list, fmt.Sprintf(`"e%d":%q`, i+1, endpoints[i].URL()))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at = l.Addr().String()
	l.Close()
	text := fmt.Sprintf(`{"sparql":{"listen":%q,"tenant":"acme","endpoints":{%s},
		"services":["http://far/"],"types":[{"forms":["UPDATE"],"type":"import"},{"type":"lookup"}]}}`,
		at, strings.Join(list, ","))
	t.Setenv("ROUTER_OPERATOR", writeFile(t, filepath.Join(t.TempDir(), "own.json"), text))
	w = startController(t, "e1", "e2")
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return w, "http://" + at + "/sparql", endpoints
}

// sendRequest sends a request and returns the status, header and body of the response.
func sendRequest(t *testing.T, r *http.Request) (int, http.Header, string) {
	t.Helper()
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, a.Header, string(body)
}

func newRequest(method, at, media, accept, body string) *http.Request {
	r, _ := http.NewRequest(method, at, strings.NewReader(body))
	if media != "" {
		r.Header.Set("Content-Type", media)
	}
	if accept != "" {
		r.Header.Set("Accept", accept)
	}
	return r
}

const (
	formMedia    = "application/x-www-form-urlencoded"
	askStatement = `SELECT * { ?s <p> ?o . ?s <q> ?x }`
)

func TestSPARQLProtocol(t *testing.T) {
	_, at, _ := startSPARQL(t)
	q, json := url.QueryEscape(askStatement), `"s":{"type":"uri","value":"a"}`
	for _, c := range []struct {
		name   string
		r      *http.Request
		status int
		media  string
		body   string
	}{
		{"GET", newRequest("GET", at+"?query="+q, "", "", ""), 200, "application/sparql-results+json", json},
		{"GET for a tenant", newRequest("GET", at+"/acme?query="+q, "", "", ""), 200, "application/sparql-results+json",
			json},
		{"form", newRequest("POST", at, formMedia, "text/csv", "query="+q), 200, "text/csv", "o,s,x\r\n1,a,b\r\n"},
		{"direct", newRequest("POST", at+"?default-graph-uri=http://g", "application/sparql-query",
			"application/sparql-results+xml", askStatement), 200, "application/sparql-results+xml", `<uri>a</uri>`},
		{"TSV by weight", newRequest("GET", at+"?query="+q, "", "text/csv;q=0.1, text/tab-separated-values;q=0.2", ""), 200,
			"text/tab-separated-values", "?o\t?s\t?x\n\"1\"\t<a>\t<b>\n"},
		{"ASK", newRequest("GET", at+"?query="+url.QueryEscape("ASK { <a> <p> ?o }"), "", "", ""), 200,
			"application/sparql-results+json", `"boolean":true`},
		{"update by form", newRequest("POST", at, formMedia, "", "update="+url.QueryEscape("INSERT DATA { <c> <p> 3 }")), 204,
			"", ""},
		{"direct update", newRequest("POST", at, "application/sparql-update; charset=utf-8", "", "INSERT DATA { <c> <p> 3 }"),
			204, "", ""},
		{"description", newRequest("GET", at, "", "", ""), 200, "text/turtle", "sd:Service"},
		{"malformed", newRequest("GET", at+"?query="+url.QueryEscape("SELECT *\n{ ?s }"), "", "", ""), 400, "",
			"line 2 column 6"},
		{"no query", newRequest("GET", at+"?q=1", "", "", ""), 400, "", "0 parameters query"},
		{"two queries", newRequest("GET", at+"?query="+q+"&query="+q, "", "", ""), 400, "", "2 parameters query"},
		{"update by GET", newRequest("GET", at+"?update=CLEAR+ALL", "", "", ""), 400, "", "POST"},
		{"both", newRequest("POST", at, formMedia, "", "query="+q+"&update=CLEAR+ALL"), 400, "", "query and update"},
		{"graphs of an update with a query", newRequest("GET", at+"?using-graph-uri=x&query="+q, "", "", ""), 400, "",
			"using-graph-uri"},
		{"graphs named twice", newRequest("POST", at+"?using-graph-uri=http://g", "application/sparql-update", "",
			"WITH <g> DELETE { ?s <p> 1 } WHERE { ?s <p> 1 }"), 400, "", "USING or WITH"},
		{"graphs named once, and a word that looks like it",
			newRequest("POST", at+"?using-graph-uri=http://g", "application/sparql-update", "",
				`INSERT DATA { <c> <p> "using" }`),
			204, "", ""},
		{"SERVICE", newRequest("GET", at+"?query="+url.QueryEscape("SELECT * { SERVICE <http://near/> { ?s ?p ?o } }"), "",
			"",
			""), 400, "", "SERVICE <http://near/>"},
		{"LOAD", newRequest("POST", at, formMedia, "", "update=LOAD+%3Chttp://x%3E"), 400, "", "LOAD"},
		{"timeout", newRequest("GET", at+"?timeout=0&query="+q, "", "", ""), 400, "", "timeout"},
		{"no such tenant", newRequest("GET", at+"/nobody?query="+q, "", "", ""), 400, "", "no such tenant"},
		{"elsewhere", newRequest("GET", strings.TrimSuffix(at, "sparql")+"other", "", "", ""), 404, "", ""},
		{"PUT", newRequest("PUT", at, "", "", "x"), 405, "", ""},
		{"no format", newRequest("GET", at+"?query="+q, "", "image/png", ""), 406, "", "text/csv"},
		{"ASK as CSV", newRequest("GET", at+"?query=ASK+%7B%7D", "", "text/csv", ""), 406, "", "offered"},
		{"too large", newRequest("POST", at, "application/sparql-query", "", strings.Repeat(" ", 3<<20)), 413, "", ""},
		{"another media type", newRequest("POST", at, "text/plain", "", askStatement), 415, "", "sparql-query"},
		{"another charset", newRequest("POST", at, "application/sparql-query; charset=latin1", "", askStatement), 415, "",
			"utf-8"},
	} {
		status, header, body := sendRequest(t, c.r)
		if status != c.status || !strings.Contains(body, c.body) || c.media != "" && header.Get("Content-Type") != c.media {
			t.Errorf("%s: %d %s %q", c.name, status, header.Get("Content-Type"), body)
		}
		if status == 405 && header.Get("Allow") == "" {
			t.Errorf("%s: no Allow", c.name)
		}
	}
}

// An update that may have run is not retried but cancelled permanently. One that did not run is sent to another engine,
// and a malformed one to none.
func TestUpdatesRunOnceOverHTTP(t *testing.T) {
	_, at, endpoints := startSPARQL(t)
	update := func(n int) *http.Request {
		return newRequest(
			"POST",
			at,
			"application/sparql-update",
			"",
			fmt.Sprintf("INSERT DATA { GRAPH <g> { <n%d> <p> 1 } }", n),
		)
	}
	var mu sync.Mutex
	broke, refused := 0, 0
	for i, e := range endpoints {
		e.Intercept(func(w http.ResponseWriter, text string) bool { // starts and breaks the connection
			if strings.HasPrefix(text, "INSERT") {
				mu.Lock()
				broke = i
				mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	if status, _, body := sendRequest(t, update(1)); status != 502 || !strings.Contains(body, "cancelled for good") {
		t.Errorf("broken off: %d %q", status, body)
	}
	mu.Lock()
	other := 1 - broke // now preferred
	mu.Unlock()
	endpoints[other].Intercept(func(w http.ResponseWriter, text string) bool { // overloaded, with the header Not-Started
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(text, "INSERT") {
			refused++
			w.Header().Set("Not-Started", "?1")
			w.WriteHeader(503)
			return true
		}
		return false
	})
	endpoints[1-other].Intercept(nil)
	for n := range 6 {
		if status, _, body := sendRequest(t, update(10+n)); status != 204 {
			t.Errorf("%d: %d %q", n, status, body)
		}
	}
	sendRequest(t, newRequest("POST", at, "application/sparql-update", "", "INSERT DATA { <x> }"))
	seen := map[string]int{}
	for _, e := range endpoints {
		for _, text := range e.Received() {
			seen[text]++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for text, n := range seen {
		if n > 1 || strings.Contains(text, "<x>") {
			t.Errorf("%q ran %d times", text, n)
		}
	}
	if len(seen) != 6 || refused == 0 {
		t.Errorf("%d ran, %d were refused", len(seen), refused)
	}
}

// When a client disconnects during its query, the query is revoked, its dispatch cancelled, and no answer stays
// pending.
func TestDisconnectRevokesTheQuery(t *testing.T) {
	w, at, endpoints := startSPARQL(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	var once sync.Once
	for _, e := range endpoints {
		e.Intercept(func(_ http.ResponseWriter, text string) bool {
			if text == askStatement {
				started <- struct{}{}
				<-release
			}
			return false
		})
	}
	t.Cleanup(func() { once.Do(func() { close(release) }) })
	c, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(at, "http://"), "/sparql"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /sparql?query=%s HTTP/1.1\r\nHost: x\r\n\r\n", url.QueryEscape(askStatement))
	<-started
	c.Close()
	before := counters.Value("answers_overdue")
	once.Do(func() { close(release) })
	status, _, _ := sendRequest(t, newRequest("GET", at+"?query="+url.QueryEscape("ASK { <a> <p> ?o }"), "", "", ""))
	if status != 200 {
		t.Error("no longer served")
	}
	w.finish() // returns only once no answer is pending
	if counters.Value("answers_overdue") != before {
		t.Error("an answer was pending for the disconnected client")
	}
}

// An engine that reports that it is draining, over either protocol, gets no new jobs, whatever the endpoint list says.
func TestDrainReportedByAnEngine(t *testing.T) {
	_, at, endpoints := startSPARQL(t)
	endpoints[0].Intercept(func(w http.ResponseWriter, text string) bool {
		w.Header().Set("Draining", "?1")
		return false
	})
	query := func() { sendRequest(t, newRequest("GET", at+"?query="+url.QueryEscape(askStatement), "", "", "")) }
	for stop := time.Now().Add(20 * time.Second); len(endpoints[0].Received()) == 0; query() {
		if time.Now().After(stop) {
			t.Fatal("the first engine gets no query")
		}
	}
	before := len(endpoints[0].Received())
	for range 20 {
		query()
	}
	if n := len(endpoints[0].Received()); n > before {
		t.Errorf("%d more jobs after it reported that it is draining", n-before)
	}
}

// An update sent again with the same idempotency key, concurrently or later, runs once whatever the outcome of the
// first.
func TestUpdateWithIdempotencyKeyRunsOnce(t *testing.T) {
	_, at, endpoints := startSPARQL(t)
	started, release := make(chan struct{}, 4), make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(release) }))
	for _, e := range endpoints {
		e.Intercept(func(_ http.ResponseWriter, text string) bool {
			switch {
			case strings.Contains(text, "<slow>"):
				started <- struct{}{}
				<-release
			case strings.Contains(text, "<breaks>"):
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	send := func(key, text string) int {
		r := newRequest("POST", at, "application/sparql-update", "", "INSERT DATA { "+text+" <p> 1 }")
		r.Header.Set("Idempotency-Key", key)
		status, _, _ := sendRequest(t, r)
		return status
	}
	first := make(chan int, 1)
	go func() { first <- send(`"m1"`, "<slow>") }()
	<-started
	if s := send("m1", "<slow>"); s != 409 {
		t.Errorf("while the first is running: %d", s)
	}
	if s := send("m1", "<other>"); s != 422 {
		t.Errorf("another text: %d", s)
	}
	release <- struct{}{}
	if s := <-first; s != 204 {
		t.Errorf("the first: %d", s)
	}
	if s := send("m1", "<slow>"); s != 204 {
		t.Errorf("again after the first was done: %d", s)
	}
	if a, b := send("m2", "<breaks>"), send("m2", "<breaks>"); a != 502 || b != 502 {
		t.Errorf("one that may have run: %d, then %d", a, b)
	}
	if s := send("a b", "<x>"); s != 400 {
		t.Errorf("malformed key: %d", s)
	}
	slow := 0
	for _, e := range endpoints {
		for _, text := range e.Received() {
			if strings.Contains(text, "<slow>") {
				slow++
			}
		}
	}
	if slow != 1 {
		t.Errorf("it ran %d times", slow)
	}
}
