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

func options(t *testing.T, state string) Options {
	t.Helper()
	return Options{
		Name:         "c1",
		StateDir:     state,
		OperatorFile: filepath.Join("testdata", "operator.json"),
		ProgramPath:  filepath.Join("testdata", "controller"),
		DrainTimeout: 10 * time.Second,
		Environment:  append(os.Environ(), standInVariable+"="+os.Args[0]),
		LogOutput:    io.Discard,
	}
}

func programAt(t *testing.T, name string) change.Program {
	t.Helper()
	path := filepath.Join("testdata", name)
	digest, err := change.FileDigest(path)
	if err != nil {
		t.Fatal(err)
	}
	return change.Program{Path: path, Digest: digest}
}

// running is a supervisor that runs until the test ends, with its HTTP side.
type running struct {
	supervisor *Supervisor
	url        string
	stop       func()
}

func run(t *testing.T, state string) *running {
	t.Helper()
	supervisor, err := New(options(t, state))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(supervisor.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- supervisor.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		server.Close()
	}
	t.Cleanup(stop)
	return &running{supervisor, server.URL, stop}
}

func (r *running) get(t *testing.T, path string) []byte {
	t.Helper()
	answer, err := http.Get(r.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || answer.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s: %s %v %v", path, answer.Status, answer.Header, err)
	}
	return body
}

func (r *running) post(t *testing.T, path string, v any) (code int, body string) {
	t.Helper()
	text, is := v.(string)
	if !is {
		marshalled, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		text = string(marshalled)
	}
	answer, err := http.Post(r.url+path, "application/json", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(raw)
}

// await waits until the status is as wanted.
func (r *running) await(t *testing.T, what string, is func(Status) bool) Status {
	t.Helper()
	var s Status
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var err error
		if s, err = ReadStatus(r.get(t, "/v1/status")); err != nil {
			t.Fatal(err)
		}
		if is(s) {
			return s
		}
	}
	t.Fatalf("%s: not within 30 s: %+v", what, s)
	return s
}

func orderOf(turn int64, program change.Program, shape, plan string) change.Order {
	o := change.Order{
		Format:        change.Format,
		Fence:         change.Fence{Number: 4, Term: 2, Revision: turn},
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
	shapeFirst  = `{"budget_free":5}`
	shapeSecond = `{"budget_free":6,"cancel":true}`
	planOrdered = `{"method":"exact","value":11}`
	planOfOwner = `{"method":"exact","value":12}`
)
