package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
)

// testdata/wire/requests.txt holds the requests to supervisors that the previous release sent; they must be identical
// to the byte.

func TestRequestsToSupervisorsAreAsTheyWere(t *testing.T) {
	var mu sync.Mutex
	var sent []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		sent = append(sent, fmt.Sprintf("%s %s type=%q\n%s\n", r.Method, r.URL, r.Header.Get("Content-Type"), text))
		mu.Unlock()
		if r.Method == http.MethodGet {
			io.WriteString(w, `{"format":2,"name":"c1"}`)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	f := coordinator.NewFleetClient(
		[]operator.Member{{Name: "c1", Listen: "127.0.0.1:1", AdvertiseAddress: strings.TrimPrefix(s.URL, "http://")}},
		20*time.Second,
		20*time.Second,
	)
	ctx := context.Background()
	ask := func(engines bool) {
		f.IncludeEngines = engines
		if a := f.Poll(ctx); a[0].Err != nil {
			t.Error(a[0].Err)
		}
	}
	ask(false)
	ask(true)
	spec := change.Spec{
		Program:  change.Program{Path: "/opt/swiftreel", Digest: "0123"},
		Topology: json.RawMessage(`{"budget_free":5}`),
		Plan:     json.RawMessage(`{"steps":[]}`),
	}
	o := change.Order{
		Format:        2,
		Fence:         change.Fence{Number: 3, Term: 2, Revision: 1},
		CoordinatorID: "record",
		Member:        "c1",
		Spec:          spec,
		Reason:        "stage 1 passed",
	}
	small := o
	small.Spec.Topology, small.Spec.Plan, small.Drain = nil, nil, true
	for _, o := range []change.Order{o, o.ForFormat(1), small} {
		if errs := f.SendOrders(ctx, map[int]change.Order{0: o}); len(errs) > 0 {
			t.Error(errs)
		}
	}
	word := assignment.Assignment{
		Format:      2,
		Term:        4,
		Sequence:    5,
		Leader:      "c2",
		Member:      "c1",
		Incarnation: "l",
		Shares:      quota.Shares{quota.FleetThreads: 333_333, "acme": 500_000},
		SharesUntil: 6,
		Plan:        "0123",
		PlanUntil:   7,
		PlanText:    json.RawMessage(`{"steps":[]}`),
	}
	minimal := assignment.Assignment{Format: 2, Term: 4, Sequence: 6, Leader: "c2", Member: "c1", Incarnation: "l"}
	for _, w := range []assignment.Assignment{word, minimal} {
		if errs := f.SendAssignments(ctx, map[int]assignment.Assignment{0: w}); len(errs) > 0 {
			t.Error(errs)
		}
	}
	if *record {
		if err := os.WriteFile("testdata/wire/requests.txt", []byte(strings.Join(sent, "")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/wire/requests.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(sent, ""); got != string(want) {
		t.Errorf("the requests are\n%s\nwere\n%s", got, want)
	}
}

// The texts of a supervisor's refusals are logged, so they must be returned unchanged.
func TestRefusalTextsAreReturnedUnchanged(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, `{"format":2,"name":"c9"}`)
			return
		}
		http.Error(w, "order 1.1.1 comes after 2.1.1 was taken", http.StatusConflict)
	}))
	defer s.Close()
	at := strings.TrimPrefix(s.URL, "http://")
	f := coordinator.NewFleetClient([]operator.Member{{Name: "c1", Listen: at}}, 20*time.Second, 20*time.Second)
	if a := f.Poll(context.Background()); a[0].Err == nil || a[0].Err.Error() != at+` answers as "c9"` {
		t.Errorf("%v", a[0].Err)
	}
	f = coordinator.NewFleetClient([]operator.Member{{Name: "c1", Listen: at}}, 20*time.Second, 20*time.Second)
	errs := f.SendOrders(context.Background(), map[int]change.Order{0: {}})
	if errs[0] == nil || errs[0].Error() != "409 Conflict: order 1.1.1 comes after 2.1.1 was taken" {
		t.Errorf("%v", errs)
	}
}
