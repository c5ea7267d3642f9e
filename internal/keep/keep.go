// Package keep is a controller's keeper: it starts it and starts it again, and has it run with what the order says that it
// holds. It outlives the controller's program, so that a program that cannot live can be taken back.
package keep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"swiftreel/internal/change"
	"swiftreel/internal/tally"
)

// Options are a keeper's.
type Options struct {
	Name     string
	State    string // a folder of its own: the order that it holds, and the operator's file that it writes
	Operator string // the operator's file, whose shape and plan count until an order says otherwise
	Program  string // that is run until then
	Drain    time.Duration
	Env      []string  // of the controller
	Log      io.Writer // what the controller logs
}

// Keeper keeps one controller.
type Keeper struct {
	o    Options
	base map[string]json.RawMessage // the operator's file
	http http.Client
	wake chan struct{} // an order was taken

	mu      sync.Mutex
	held    change.Held
	now     *child
	runs    change.Program // that now runs
	report  tally.Report   // the last, of now
	failed  string
	again   again
	drained bool
	ordered time.Time
	asked   time.Time
}

var errNoRecord = errors.New("the order cannot be recorded")

// look is from one look at the controller to the next.
const look = 50 * time.Millisecond

// New reads what is held. A record that cannot be read is an error: a keeper that has forgotten what it took must not take
// an order that was refused before.
func New(o Options) (*Keeper, error) {
	k := &Keeper{o: o, wake: make(chan struct{}, 1), http: http.Client{Timeout: 2 * time.Second}, asked: time.Now()}
	if o.Operator != "" {
		text, err := os.ReadFile(o.Operator)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(text, &k.base); err != nil {
			return nil, fmt.Errorf("%s: %w", o.Operator, err)
		}
	}
	if k.base == nil {
		k.base = map[string]json.RawMessage{}
	}
	if err := os.MkdirAll(o.State, 0o700); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(k.path("held.json"))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		digest, err := change.OfFile(o.Program)
		if err != nil {
			return nil, err
		}
		k.held.Want = change.Spec{Program: change.Program{Path: o.Program, Digest: digest}, Shape: k.base["shape"]}
		if k.held.Want.Plan, err = k.plan(); err != nil {
			return nil, err
		}
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(text, &k.held); err != nil {
			return nil, fmt.Errorf("%s: %w: remove it only if every conductor of old changes is gone", k.path("held.json"), err)
		}
	}
	return k, nil
}

func (k *Keeper) path(name string) string { return filepath.Join(k.o.State, name) }

// plan is the plan that the operator's file names, or nil.
func (k *Keeper) plan() (json.RawMessage, error) {
	var p struct {
		File string `json:"file"`
	}
	if k.base["plan"] == nil {
		return nil, nil
	}
	if err := json.Unmarshal(k.base["plan"], &p); err != nil {
		return nil, err
	}
	if !filepath.IsAbs(p.File) {
		p.File = filepath.Join(filepath.Dir(k.o.Operator), p.File)
	}
	return os.ReadFile(p.File)
}

// Take takes an order, or refuses it. What is held is on disk before it counts.
func (k *Keeper) Take(o change.Order) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordered = time.Now()
	if o.Member != k.o.Name {
		return fmt.Errorf("an order for %s has come to %s", o.Member, k.o.Name)
	}
	next, is, err := k.held.Take(o)
	if err != nil || !is {
		return err
	}
	if err := write(k.path("held.json"), next); err != nil {
		return errors.Join(errNoRecord, err)
	}
	if next.Want.Digest() != k.held.Want.Digest() {
		k.failed = ""
		slog.Info("order_taken", "fence", next.Fence.String(), "by", next.By, "spec", next.Want.Digest(), "drain", next.Drain)
	}
	k.held = next
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return nil
}

// write writes a value whole or not at all, also where the machine stops in the midst.
func write(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// Run keeps the controller until ctx ends, then lets it drain.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(look)
	defer tick.Stop()
	var startAt time.Time // not before
	applied := change.Digest("")
	for {
		k.mu.Lock()
		held, now := k.held, k.now
		k.mu.Unlock()
		want := held.Want.Digest()
		switch {
		case now != nil && now.over():
			if k.drop(now); !held.Drain {
				wait := k.crashed(now)
				startAt = time.Now().Add(wait)
			}
		case held.Drain && now != nil:
			k.end(now)
		case held.Drain:
			k.mu.Lock()
			k.drained = true
			k.mu.Unlock()
		case now != nil && k.runs != held.Want.Program:
			if k.fits(held.Want.Program) {
				k.end(now)
				startAt = time.Time{}
			} else {
				k.look(ctx, now, want)
			}
		case now == nil && !time.Now().Before(startAt):
			applied = ""
			if k.fits(held.Want.Program) && k.file(held) {
				if wait, is := k.begin(held); !is {
					startAt = time.Now().Add(wait)
				}
				applied = want
			}
		case now != nil && applied != want:
			if k.file(held) {
				now.cmd.Process.Signal(syscall.SIGHUP)
				applied = want
			}
		case now != nil:
			k.look(ctx, now, want)
		}
		select {
		case <-ctx.Done():
			k.mu.Lock()
			now := k.now
			k.mu.Unlock()
			if now != nil {
				k.end(now)
			}
			return nil
		case <-tick.C:
		case <-k.wake:
		}
	}
}

// fits tells whether a program's file is what an order says.
func (k *Keeper) fits(p change.Program) bool {
	d, err := change.OfFile(p.Path)
	if err == nil && d != p.Digest {
		err = fmt.Errorf("%s is %s, ordered was %s", p.Path, d, p.Digest)
	}
	return k.fail(err)
}

// fail keeps why an order cannot be carried out; nil: it can.
func (k *Keeper) fail(err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil && k.failed == "" {
		k.failed = err.Error()
		slog.Error("order_failed", "reason", err)
	}
	return err == nil
}

// file writes the operator's file of a spec.
func (k *Keeper) file(h change.Held) bool {
	parts := map[string]json.RawMessage{}
	for name, text := range k.base {
		if name != "fleet" && name != "shape" && name != "plan" {
			parts[name] = text
		}
	}
	parts["tally"] = fmt.Appendf(nil, `{"listen":"127.0.0.1:0","spec":%q}`, h.Want.Digest())
	if len(h.Want.Shape) > 0 {
		parts["shape"] = h.Want.Shape
	}
	var err error
	if len(h.Want.Plan) > 0 {
		name := fmt.Sprintf("plan-%s.json", change.OfJSON(h.Want.Plan))
		err = renameio.WriteFile(k.path(name), h.Want.Plan, 0o600)
		plan := map[string]json.RawMessage{}
		json.Unmarshal(k.base["plan"], &plan)
		plan["file"] = fmt.Appendf(nil, "%q", name)
		parts["plan"], _ = json.Marshal(plan)
	}
	if err == nil {
		err = write(k.path("operator.json"), parts)
	}
	return k.fail(err)
}

// begin starts the controller, or tells when to try again.
func (k *Keeper) begin(h change.Held) (time.Duration, bool) {
	env := append(append([]string{}, k.o.Env...), "ROUTER_OPERATOR="+k.path("operator.json"))
	c, err := start(h.Want.Program.Path, env, k.o.Log)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		slog.Error("start_failed", "reason", err)
		return k.again.ended(0), false
	}
	k.now, k.runs, k.report, k.drained = c, h.Want.Program, tally.Report{}, false
	return 0, true
}

// drop forgets a controller that has ended.
func (k *Keeper) drop(c *child) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now == c {
		k.now, k.report = nil, tally.Report{}
	}
}

func (k *Keeper) crashed(c *child) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := k.again.ended(time.Since(c.began))
	slog.Error("controller_ended", "reason", fmt.Sprint(c.err), "crashes", k.again.Crashes, "again_ms", wait.Milliseconds())
	return wait
}

// end lets a controller drain; one that does not end in its time is killed.
func (k *Keeper) end(c *child) {
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(k.o.Drain):
		slog.Error("controller_killed", "drain_ms", k.o.Drain.Milliseconds())
		c.cmd.Process.Kill()
		<-c.ended
	}
	k.drop(c)
}

// look asks the controller how it is. One that refused its file will not run with it.
func (k *Keeper) look(ctx context.Context, c *child, want change.Digest) {
	r, err := c.report(ctx, &k.http)
	if err != nil {
		k.mu.Lock()
		k.report.Ready = false
		k.mu.Unlock()
		return
	}
	k.mu.Lock()
	refused := r.Spec != want && r.Refused > k.report.Refused && k.report.Started == r.Started
	if k.report = r; r.Spec == want && k.runs == k.held.Want.Program {
		k.failed = ""
	}
	k.mu.Unlock()
	if refused {
		k.fail(errors.New("the controller refuses the file: its log says why (reload_failed)"))
	}
}

// Status is how things are.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	s := Status{Format: change.Format, Name: k.o.Name, Spec: k.held.Want, Version: k.report.Version, Settings: k.report.Settings, Fence: k.held.Fence,
		By: k.held.By, Drained: k.drained, Failed: k.failed, Crashes: k.again.Crashes, OrderMS: -1, AskedMS: now.Sub(k.asked).Milliseconds()}
	if k.asked = now; !k.ordered.IsZero() {
		s.OrderMS = now.Sub(k.ordered).Milliseconds()
	}
	if c, r := k.now, k.report; c != nil && r.Started != 0 {
		s.Serves, s.Owed, s.Started, s.Probes, s.Work = r.Ready, r.Owed, r.Started, r.Probes, r.Work
		s.MemoryMB, s.CPU = c.uses()
		if k.runs == k.held.Want.Program || r.Spec != k.held.Want.Digest() {
			s.Running = r.Spec
		}
	}
	return s
}

// Handler speaks with conductors: GET /v1/status, POST /v1/order.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(k.Status())
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		o, err := change.ReadOrder(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		if err := k.Take(o); errors.Is(err, errNoRecord) {
			http.Error(w, err.Error(), http.StatusInsufficientStorage)
			return
		} else if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
