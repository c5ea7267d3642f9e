package supervisor

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/operator"
)

// fakeControllerVariable is the environment variable with the path of the test binary, which testdata/controller
// executes as a fake controller.
const fakeControllerVariable = "STAND_IN_CONTROLLER"

func TestMain(m *testing.M) {
	if os.Getenv(fakeControllerVariable) != "" {
		if err := runFakeController(os.Getenv("ROUTER_OPERATOR")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runFakeController runs a controller that accepts no jobs: it serves its report as its operator file says, reloads the
// file on SIGHUP and exits on SIGTERM.
func runFakeController(file string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM)
	read := func() (operator.Stats, error) {
		var sections struct {
			Tally operator.Stats `json:"tally"`
		}
		text, err := os.ReadFile(file)
		if err == nil {
			err = json.Unmarshal(text, &sections)
		}
		return sections.Tally, err
	}
	stats, err := read()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sharePerMillion := int64(1_000_000)
	started := time.Now().UnixNano()
	learned := json.RawMessage(`{"lookup":{"mean":12.5}}`)
	if len(stats.TypeStats) > 0 {
		learned = stats.TypeStats
	}
	server, err := jobstats.Serve(stats.Listen, func() jobstats.Report {
		mu.Lock()
		defer mu.Unlock()
		return jobstats.Report{
			Format:          change.Format,
			StartedUnixNS:   started,
			Version:         "stand-in",
			SpecDigest:      stats.SpecDigest,
			SettingsDigest:  "5e77",
			Ready:           true,
			Probes:          3,
			EjectedEngines:  1,
			TypeStats:       learned,
			EngineHealth:    json.RawMessage(`{"e1":{"ok":true}}`),
			ReadyEngines:    []string{"e1", "e2"},
			SharePerMillion: sharePerMillion,
			JobCounts: map[canary.Group]canary.JobCounts{
				{Type: "lookup", Tenant: "acme"}: {
					Jobs:           5,
					WithinSLA:      4,
					Done:           5,
					Dispatches:     6,
					Retries:        1,
					LatencyBuckets: []uint64{0, 5},
				},
			},
		}
	}, func(p jobstats.Share) {
		mu.Lock()
		defer mu.Unlock()
		sharePerMillion = p.PerMillion
	})
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintf(os.Stderr, "level=INFO msg=serving_tally address=%s\n", server.Address())
	for s := range signals {
		if s == syscall.SIGTERM {
			return nil
		}
		next, err := read()
		if err != nil {
			return err
		}
		mu.Lock()
		stats = next
		mu.Unlock()
	}
	return nil
}
