package supervisor

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/change"
)

func testOptions(t *testing.T, state string) Options {
	t.Helper()
	return Options{
		Name:         "c1",
		StateDir:     state,
		OperatorFile: filepath.Join("testdata", "operator.json"),
		ProgramPath:  filepath.Join("testdata", "controller"),
		DrainTimeout: 10 * time.Second,
		Environment:  append(os.Environ(), fakeControllerVariable+"="+os.Args[0]),
		LogOutput:    io.Discard,
	}
}

func testProgram(t *testing.T, name string) change.Program {
	t.Helper()
	path := filepath.Join("testdata", name)
	digest, err := change.FileDigest(path)
	if err != nil {
		t.Fatal(err)
	}
	return change.Program{Path: path, Digest: digest}
}

// testSupervisor is a supervisor that runs until the test ends, with an HTTP server for its API.
type testSupervisor struct {
	supervisor *Supervisor
	url        string
	stop       func()
}

func startSupervisor(t *testing.T, state string) *testSupervisor {
	t.Helper()
	supervisor, err := New(testOptions(t, state))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(supervisor.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- supervisor.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		server.Close()
	}
	t.Cleanup(stop)
	return &testSupervisor{supervisor, server.URL, stop}
}

func (r *testSupervisor) get(t *testing.T, path string) []byte {
	t.Helper()
	response, err := http.Get(r.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s: %s %v %v", path, response.Status, response.Header, err)
	}
	return body
}

func (r *testSupervisor) post(t *testing.T, path string, v any) (code int, body string) {
	t.Helper()
	text, isText := v.(string)
	if !isText {
		marshalled, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		text = string(marshalled)
	}
	response, err := http.Post(r.url+path, "application/json", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(raw)
}

// await polls the status until it satisfies a condition. failure describes the timeout.
func (r *testSupervisor) await(t *testing.T, failure string, condition func(Status) bool) Status {
	t.Helper()
	var s Status
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var err error
		if s, err = ReadStatus(r.get(t, "/v1/status")); err != nil {
			t.Fatal(err)
		}
		if condition(s) {
			return s
		}
	}
	t.Fatalf("%s after 30 s: %+v", failure, s)
	return s
}

func newOrder(revision int64, program change.Program, shape, plan string) change.Order {
	o := change.Order{
		Format:        change.Format,
		Fence:         change.Fence{Number: 4, Term: 2, Revision: revision},
		CoordinatorID: "conductor-a",
		Member:        "c1",
		Spec:          change.Spec{Program: program},
	}
	if shape != "" {
		o.Spec.Topology = json.RawMessage(shape)
	}
	if plan != "" {
		o.Spec.Plan = json.RawMessage(plan)
	}
	return o
}

const (
	firstTopology  = `{"budget_free":5}`
	secondTopology = `{"budget_free":6,"cancel":true}`
	orderedPlan    = `{"method":"exact","value":11}`
	leaderPlan     = `{"method":"exact","value":12}`
)
