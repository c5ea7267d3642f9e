// Package supervisor is a controller's keeper: it starts it and starts it again, and has it run with what the order says that it
// holds. It outlives the controller's program, so that a program that cannot live can be taken back.
package supervisor

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
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
	seq  int           // of operators' files written

	life      string // of this process: words of the owner are for it alone
	mu        sync.Mutex
	held      change.Held
	word      assignment.Accepted
	now, next *child   // who serves, and who is to
	olds      []*child // that drain; they leave as they end, or are killed
	failed    string
	again     again
	startAt   time.Time // not before
	drained   bool
	checked   time.Time // when what failed was last looked at, out of service
	ordered   time.Time
	asked     time.Time
}

var errNoRecord = errors.New("the order cannot be recorded")

// look is from one look at the controller to the next.
const look = 50 * time.Millisecond

// New reads what is held. A record that cannot be read is an error: a keeper that has forgotten what it took must not take
// an order that was refused before.
func New(o Options) (*Keeper, error) {
	k := &Keeper{o: o, wake: make(chan struct{}, 1), http: http.Client{Timeout: 2 * time.Second}, asked: time.Now(), life: rand.Text()}
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
		slog.Info("order_taken", "fence", next.Fence.String(), "by", next.By, "spec", next.Want.Digest(), "drain", next.Drain, "why", o.Why)
	}
	k.held = next
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return nil
}

// Hear takes a word of the fleet's owner, or refuses it. It is not written down: it is for this process alone.
func (k *Keeper) Hear(w assignment.Assignment) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := k.word.Accept(w, k.o.Name, k.life, monotonic.Now())
	if err != nil {
		return err
	}
	if next.Term != k.word.Term || next.Plan != k.word.Plan {
		slog.Info("word_taken", "reign", next.Term, "count", next.Sequence, "owner", next.Leader, "plan", next.Plan)
	}
	k.word = next
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
	if err := failpoint.Write(); err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// Run keeps the controller until ctx ends, then lets it drain.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		k.turn(ctx)
		select {
		case <-ctx.Done():
			k.endAll()
			for len(k.olds) > 0 {
				<-tick.C
				k.ends()
			}
			return nil
		case <-tick.C:
		case <-k.wake:
		}
	}
}

// turn looks, and does what comes next.
func (k *Keeper) turn(ctx context.Context) {
	k.ends()
	for _, c := range []*child{k.now, k.next} {
		if c != nil {
			k.look(ctx, c)
		}
	}
	k.mu.Lock()
	k.word = k.word.ValidAt(monotonic.Now())
	held, word, now, next := k.held, k.word, k.now, k.next
	s := scene{drain: held.Drain, now: now != nil, next: next != nil, olds: len(k.olds), wait: time.Now().Before(k.startAt)}
	if now != nil {
		s.nowFits, s.told = now.program == held.Want.Program, now.told.covers(want(held, word, len(k.olds) > 0), monotonic.Now())
	}
	if next != nil {
		s.nextFits, s.nextReady = next.program == held.Want.Program, next.report.Ready && next.report.Spec == held.Want.Digest()
	}
	var carry []*child // those that answer: one that hangs must not hold up orders
	for _, c := range []*child{now, next} {
		if c != nil && c.report.Ready && word.Shares[quota.Fleet] > 0 {
			carry = append(carry, c)
		}
	}
	k.drained = held.Drain && now == nil && next == nil && len(k.olds) == 0
	again := k.drained && k.failed != "" && time.Since(k.checked) >= recheck
	k.mu.Unlock()
	if again {
		k.recheck(held.Want.Program)
	}
	for _, c := range carry {
		if at := [2]int64{word.Term, word.Sequence}; c.part != at && c.carry(ctx, &k.http, word) {
			k.mu.Lock()
			c.part = at
			k.mu.Unlock()
		}
	}
	switch s.decide() {
	case startOne:
		if k.fits(held.Want.Program) {
			k.begin(held, word)
		}
	case promote:
		slog.Info("controller_changes", "program", next.program.Path, "digest", next.program.Digest)
		k.mu.Lock()
		k.now, k.next = next, nil
		k.mu.Unlock()
		k.end(now)
	case discard:
		k.mu.Lock()
		k.next = nil
		k.mu.Unlock()
		k.end(next)
	case tell:
		if k.file(now, held, word, len(k.olds) > 0) {
			now.cmd.Process.Signal(syscall.SIGHUP)
		}
	case endAll:
		k.endAll()
	}
}

// ends takes note of processes that have ended, and kills old ones whose time to drain is over.
func (k *Keeper) ends() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, at := range []**child{&k.now, &k.next} {
		if c := *at; c != nil && c.over() {
			*at = nil
			k.crashed(time.Since(c.began), c.err)
		}
	}
	k.olds = slices.DeleteFunc(k.olds, func(c *child) bool {
		if !c.over() && time.Since(c.drains) > k.o.Drain {
			slog.Error("controller_killed", "drain_ms", k.o.Drain.Milliseconds())
			c.cmd.Process.Kill()
			<-c.ended
		}
		return c.over()
	})
}

// crashed counts an end that nobody asked for, or a start that failed. The lock is held.
func (k *Keeper) crashed(ran time.Duration, why error) {
	wait := k.again.ended(ran)
	k.startAt = time.Now().Add(wait)
	slog.Error("controller_ended", "reason", fmt.Sprint(why), "crashes", k.again.Crashes, "again_ms", wait.Milliseconds())
}

// end lets a process drain; nil: there is none.
func (k *Keeper) end(c *child) {
	if c == nil {
		return
	}
	c.cmd.Process.Signal(syscall.SIGTERM)
	k.mu.Lock()
	c.drains = time.Now()
	k.olds = append(k.olds, c)
	k.mu.Unlock()
}

func (k *Keeper) endAll() {
	k.mu.Lock()
	now, next := k.now, k.next
	k.now, k.next = nil, nil
	k.mu.Unlock()
	k.end(now)
	k.end(next)
}

// fits tells whether a program's file is what an order says.
func (k *Keeper) fits(p change.Program) bool {
	d, err := change.OfFile(p.Path)
	if err == nil && d != p.Digest {
		err = fmt.Errorf("%s is %s, ordered was %s", p.Path, d, p.Digest)
	}
	return k.fail(err)
}

// recheck is how often one that is out of service looks whether what it could not do has been mended.
const recheck = 2 * time.Second

func (k *Keeper) recheck(p change.Program) {
	fits := k.fits(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.checked = time.Now(); fits {
		slog.Info("order_mended", "was", k.failed)
		k.failed = ""
	}
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

// file writes a process's operator's file: of what is held, and whether an older one still drains.
func (k *Keeper) file(c *child, h change.Held, word assignment.Accepted, elder bool) bool {
	parts := map[string]json.RawMessage{}
	for name, text := range k.base {
		if name != "fleet" && name != "shape" && name != "plan" {
			parts[name] = text
		}
	}
	own := operator.Tally{Listen: "127.0.0.1:0", Spec: h.Want.Digest(), Elder: elder}
	k.mu.Lock()
	if k.now != nil && c != k.now { // it has one to learn from
		own.Learned, own.Health = k.now.report.Learned, k.now.report.Health
	}
	k.mu.Unlock()
	parts["tally"], _ = json.Marshal(own)
	if len(h.Want.Shape) > 0 {
		parts["shape"] = h.Want.Shape
	}
	var err error
	text, tells := h.Want.Plan, want(h, word, elder)
	if tells.plan != "" {
		text = word.PlanText
	}
	if len(text) > 0 {
		name := fmt.Sprintf("plan-%s.json", change.OfJSON(text))
		err = renameio.WriteFile(k.path(name), text, 0o600)
		k.forget(name)
		plan := map[string]json.RawMessage{}
		json.Unmarshal(k.base["plan"], &plan)
		plan["file"] = fmt.Appendf(nil, "%q", name)
		if tells.plan != "" {
			plan["until_boot_ns"] = fmt.Appendf(nil, "%d", tells.planUntil)
		}
		parts["plan"], _ = json.Marshal(plan)
	}
	if err == nil {
		err = write(c.file, parts)
	}
	if err == nil {
		c.told = tells
	}
	return k.fail(err)
}

// plansKept is how many plans' files are kept beside the one in force: a process may read its own again.
const plansKept = 3

// forget removes the oldest files of plans.
func (k *Keeper) forget(but string) {
	list, _ := filepath.Glob(k.path("plan-*.json"))
	at := func(path string) int64 {
		if i, err := os.Stat(path); err == nil {
			return i.ModTime().UnixNano()
		}
		return 0
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(at(a), at(b)) })
	for i := 0; i < len(list)-plansKept; i++ {
		if filepath.Base(list[i]) != but {
			os.Remove(list[i])
		}
	}
}

// files is how many operators' files a keeper writes in turn: two processes live at once, and one more may be dying.
const files = 4

// begin starts a process of the controller.
func (k *Keeper) begin(h change.Held, word assignment.Accepted) {
	k.seq++
	c := &child{program: h.Want.Program, file: k.path(fmt.Sprintf("operator-%d.json", k.seq%files)), began: time.Now(), ended: make(chan struct{})}
	k.mu.Lock()
	beside := k.now != nil
	k.mu.Unlock()
	if !k.file(c, h, word, beside || len(k.olds) > 0) {
		return
	}
	err := c.start(append(append([]string{}, k.o.Env...), "ROUTER_OPERATOR="+c.file), k.o.Log)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil:
		k.crashed(0, err)
	case beside:
		k.next = c
	default:
		k.now = c
	}
}

// look asks a process how it is. One that refused its file will not run with it.
func (k *Keeper) look(ctx context.Context, c *child) {
	r, err := c.ask(ctx, &k.http)
	k.mu.Lock()
	if err != nil {
		c.report.Ready = false
		k.mu.Unlock()
		return
	}
	refused := r.Spec != c.told.spec && r.Refused > c.report.Refused && c.report.Started == r.Started
	if c.report = r; c == k.now && r.Spec == k.held.Want.Digest() && c.program == k.held.Want.Program {
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
	s := Status{Format: change.Format, Life: k.life, BootNS: monotonic.Now(), Word: k.word, Name: k.o.Name, Spec: k.held.Want, Fence: k.held.Fence,
		By: k.held.By, Drained: k.drained, Failed: k.failed, Crashes: k.again.Crashes, OrderMS: -1, AskedMS: now.Sub(k.asked).Milliseconds()}
	if k.asked = now; !k.ordered.IsZero() {
		s.OrderMS = now.Sub(k.ordered).Milliseconds()
	}
	s.Carried = k.carried()
	for _, c := range k.olds {
		s.Drains = append(s.Drains, c.cmd.Process.Pid)
	}
	if c := k.now; c != nil && c.report.Started != 0 {
		r := c.report
		s.PID, s.Version, s.Settings, s.Running = c.cmd.Process.Pid, r.Version, r.Settings, r.Spec
		s.Serves, s.Owed, s.Started, s.Probes, s.Aside, s.Work = r.Ready, r.Owed, r.Started, r.Probes, r.Aside, r.Work
		s.Engines, s.EngineCount, s.Carries = r.Engines, len(r.Engines), r.Carries
		s.MemoryMB, s.CPU = c.uses()
	}
	return s
}

// carried is the last word by whose part all that lives here goes; 0: one of them may go by an earlier one yet, as it was not told,
// or as a part that ends is not taken back. The lock is held.
func (k *Keeper) carried() int64 {
	all := len(k.olds) == 0
	for _, c := range []*child{k.now, k.next} {
		all = all && (c == nil || c.part == [2]int64{k.word.Term, k.word.Sequence})
	}
	if !all {
		return 0
	}
	return k.word.Sequence
}

// Handler speaks with conductors and the fleet's owner: GET /v1/status, POST /v1/order, POST /v1/word.
func (k *Keeper) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		s := k.Status()
		if r.URL.Query().Get("engines") == "" { // hundreds of names, for who plans
			s.Engines = nil
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("POST /v1/word", func(w http.ResponseWriter, r *http.Request) {
		o, err := assignment.Read(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		if err := k.Hear(o); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
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
