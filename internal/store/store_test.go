package store_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"swiftreel/internal/faultdisk"
	"swiftreel/internal/store"
)

// A small map is kept in the log: what was acknowledged must be there after any crash, what was not may be, in the order in
// which it was written, and nothing else.

type entry struct{ k, v string }

type kept struct {
	state map[string]string
	acked []entry // in order
	tried []entry // behind these, with the outcome open
	plain bool    // no checkpoints any more
}

func payload(e entry) []byte { return []byte(e.k + "=" + e.v) }

func replayInto(state map[string]string) func(store.Record) error {
	return func(r store.Record) error {
		k, v, is := strings.Cut(string(r.Payload), "=")
		if !is || r.Kind != 1 {
			return fmt.Errorf("a record of nobody's: %d %q", r.Kind, r.Payload)
		}
		if state[k] = v; v == "" {
			delete(state, k)
		}
		return nil
	}
}

func stateOf(list []entry) map[string]string {
	state := map[string]string{}
	for _, e := range list {
		if state[e.k] = e.v; e.v == "" {
			delete(state, e.k)
		}
	}
	return state
}

// holds tells whether a state is what was acknowledged and some first part of what was tried.
func (k *kept) holds(state map[string]string) (int, bool) {
	for n := len(k.tried); n >= 0; n-- {
		if maps.Equal(state, stateOf(slices.Concat(k.acked, k.tried[:n]))) {
			return n, true
		}
	}
	return 0, false
}

var limits = store.Limits{Segment: 600}

// work writes batches and checkpoints until the disk is dead or it has done enough.
func (k *kept) work(g *store.Log, r *rand.Rand, batches int) error {
	for i := range batches {
		if r.IntN(6) == 0 && !k.plain {
			state := stateOf(k.acked)
			if err := g.Checkpoint(func(put func(store.Kind, []byte) error) error {
				for _, name := range slices.Sorted(maps.Keys(state)) {
					if err := put(1, payload(entry{name, state[name]})); err != nil {
						return err
					}
				}
				return nil
			}); err != nil {
				return err
			}
		}
		var batch []store.Record
		k.tried = nil
		for n := range 1 + r.IntN(4) {
			e := entry{fmt.Sprint("k", r.IntN(9)), strings.Repeat(fmt.Sprint(i, ".", n, ";"), r.IntN(9))}
			k.tried = append(k.tried, e)
			batch = append(batch, store.Record{Kind: 1, Payload: payload(e)})
		}
		if _, err := g.Append(batch); err != nil {
			return err
		}
		k.acked, k.tried = append(k.acked, k.tried...), nil
	}
	return nil
}

// open opens and holds what is found against what must be there; it goes on from that.
func (k *kept) open(d store.Disk) (*store.Log, store.Found, error) {
	state := map[string]string{}
	g, found, err := store.Open(d, limits, replayInto(state))
	if err != nil {
		return g, found, err
	}
	n, is := k.holds(state)
	if !is {
		return g, found, fmt.Errorf("found %v, acknowledged was %v, then tried %v", state, stateOf(k.acked), k.tried)
	}
	k.acked, k.tried = append(k.acked, k.tried[:n]...), nil
	return g, found, nil
}

var seeds = flag.Int("seeds", 6, "of work that is cut at each of its calls")

func TestACrashAtAnyCallLosesNothingThatWasAcknowledged(t *testing.T) {
	crashes := 0
	for seed := range uint64(*seeds) {
		for at := 1; ; at++ {
			r := rand.New(rand.NewPCG(seed, uint64(at)))
			work := rand.New(rand.NewPCG(seed, 1)) // the same work, cut at each of its calls
			d, k := faultdisk.New(), &kept{}
			d.CrashAt = at
			g, _, err := k.open(d)
			if err == nil {
				err = k.work(g, work, 25)
			}
			if err == nil {
				break // it lived to its end
			}
			crashes++
			if !errors.Is(err, faultdisk.ErrCrashed) {
				t.Fatalf("seed %d, call %d: %v", seed, at, err)
			}
			d = d.Crash(r)
			if r.IntN(2) == 0 { // a second one while it recovers
				d.CrashAt = 1 + r.IntN(8)
				if g, _, err = k.open(d); err != nil && !errors.Is(err, faultdisk.ErrCrashed) {
					t.Fatalf("seed %d, call %d, recovering: %v", seed, at, err)
				}
				d = d.Crash(r)
			}
			if g, _, err = k.open(d); err != nil {
				t.Fatalf("seed %d, call %d: %v", seed, at, err)
			}
			if err := k.work(g, r, 3); err != nil {
				t.Fatalf("seed %d, call %d, afterwards: %v", seed, at, err)
			}
			if _, _, err := k.open(d.Crash(r)); err != nil {
				t.Fatalf("seed %d, call %d, at the end: %v", seed, at, err)
			}
		}
	}
	if crashes < 300 {
		t.Errorf("only %d crashes", crashes)
	}
	t.Logf("%d crashes", crashes)
}

// Calls that fail: the log ends at once, and is opened again from what the disk holds.
func TestADiskThatFailsIsNotTrustedAgain(t *testing.T) {
	fails := 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		d, k := faultdisk.New(), &kept{}
		g, _, err := k.open(d)
		if err != nil {
			t.Fatal(err)
		}
		at := d.Calls + 1 + r.IntN(60)
		d.Fail = func(call int, op string) error {
			if call == at {
				return []error{faultdisk.Full, errors.New("input/output error")}[r.IntN(2)]
			}
			return nil
		}
		err = k.work(g, r, 40)
		if err == nil {
			continue
		}
		fails++
		if _, again := g.Append([]store.Record{{Kind: 1}}); again == nil {
			t.Fatalf("seed %d: it goes on after %v", seed, err)
		}
		d.Fail = nil
		if r.IntN(2) == 0 {
			d = d.Crash(r)
		}
		if g, _, err = k.open(d); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if err := k.work(g, r, 5); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if _, _, err := k.open(d.Crash(r)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	if fails < 150 {
		t.Errorf("only %d failures", fails)
	}
}

// recorded is a day's files, and how many entries were acknowledged when they had grown so far.
func recorded(t *testing.T, batches int) (files map[string][]byte, k *kept) {
	t.Helper()
	d := faultdisk.New()
	k = &kept{}
	g, _, err := k.open(d)
	for range 2 { // checkpoints, then several segments behind them
		if err == nil {
			err = k.work(g, rand.New(rand.NewPCG(3, 3)), batches)
		}
		k.plain = true
	}
	if err != nil {
		t.Fatal(err)
	}
	return d.Files(), k
}

// One bit that is wrong, at every byte of every file: all is found, or the file and the place are named.
func TestOneBitAtEveryByteIsMendedOrNamed(t *testing.T) {
	files, k := recorded(t, 25)
	mended, named, n := 0, 0, 0
	for name, text := range files {
		for at := range text {
			bad := bytes.Clone(text)
			bad[at] ^= 1 << (at % 8)
			turned := maps.Clone(files)
			turned[name] = bad
			n++
			state := map[string]string{}
			found, err := store.Look(faultdisk.From(turned), replayInto(state))
			var damage *store.Damage
			switch {
			case errors.As(err, &damage) && damage.File == name:
				named++
			case err != nil:
				t.Fatalf("%s byte %d: %v", name, at, err)
			case !maps.Equal(state, stateOf(k.acked)):
				t.Fatalf("%s byte %d: found %v, wanted %v (%+v)", name, at, state, stateOf(k.acked), found)
			case len(found.Mended) > 0:
				mended++
			}
		}
	}
	if len(files) < 2 || mended+named < n*9/10 {
		t.Errorf("%d files, %d bytes, %d mended, %d named", len(files), n, mended, named)
	}
	t.Logf("%d files, %d bytes: %d mended, %d named", len(files), n, mended, named)
}

// Two bytes that are wrong in the midst of what was durable: never a state with a hole, or with other contents.
func TestDamageInTheMidstIsNamed(t *testing.T) {
	files, k := recorded(t, 25)
	names := slices.Sorted(maps.Keys(files))
	r := rand.New(rand.NewPCG(9, 9))
	refused := 0
	for range 3000 {
		name := names[r.IntN(len(names))]
		turned := maps.Clone(files)
		bad := bytes.Clone(files[name])
		at := r.IntN(len(bad) - 1)
		bad[at] ^= byte(1 + r.IntN(255))
		bad[at+1] ^= byte(1 + r.IntN(255))
		turned[name] = bad
		state := map[string]string{}
		_, err := store.Look(faultdisk.From(turned), replayInto(state))
		var damage *store.Damage
		if errors.As(err, &damage) {
			if refused++; damage.File != name {
				t.Fatalf("%s is damaged, %v", name, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := prefix(state, k.acked); n < 0 || name != names[len(names)-1] && n < len(k.acked) {
			t.Fatalf("%s, byte %d: found %v", name, at, state)
		}
	}
	if refused < 1000 {
		t.Errorf("only %d are named", refused)
	}
}

// prefix tells of how many entries a state is what they come to; under 0: of none.
func prefix(state map[string]string, list []entry) int {
	for n := len(list); n >= 0; n-- {
		if maps.Equal(state, stateOf(list[:n])) {
			return n
		}
	}
	return -1
}

// The last segment cut at every byte: what is found is what was written first, without a hole.
func TestACutAtEveryByteIsATornTail(t *testing.T) {
	files, k := recorded(t, 25)
	names := slices.Sorted(maps.Keys(files))
	last := names[len(names)-1]
	before := -1
	for at := range files[last] {
		cut := maps.Clone(files)
		cut[last] = files[last][:at]
		state := map[string]string{}
		if _, err := store.Look(faultdisk.From(cut), replayInto(state)); err != nil {
			t.Fatalf("cut at %d: %v", at, err)
		}
		n := prefix(state, k.acked)
		if n < 0 {
			t.Fatalf("cut at %d: found %v", at, state)
		}
		before = max(before, n)
	}
	if before < len(k.acked)-4 {
		t.Errorf("at most %d of %d", before, len(k.acked))
	}
}

// Old bytes that look like records, a segment of another store, two that changed places.
func TestWhatDoesNotBelongIsNamed(t *testing.T) {
	files, _ := recorded(t, 60)
	other := faultdisk.New()
	k := &kept{plain: true}
	g, _, err := k.open(other)
	if err == nil {
		err = k.work(g, rand.New(rand.NewPCG(4, 4)), 60)
	}
	if err != nil {
		t.Fatal(err)
	}
	var segments []string
	for name := range files {
		if strings.HasPrefix(name, "log-") {
			segments = append(segments, name)
		}
	}
	slices.Sort(segments)
	if len(segments) < 3 {
		t.Fatalf("%v", segments)
	}
	refuses := func(what string, change func(map[string][]byte)) {
		t.Helper()
		turned := maps.Clone(files)
		change(turned)
		var damage *store.Damage
		if _, err := store.Look(faultdisk.From(turned), replayInto(map[string]string{})); !errors.As(err, &damage) {
			t.Errorf("%s: %v", what, err)
		}
	}
	refuses("two that changed places", func(m map[string][]byte) { m[segments[0]], m[segments[1]] = m[segments[1]], m[segments[0]] })
	refuses("one of another store", func(m map[string][]byte) {
		for name, text := range other.Files() {
			if strings.HasPrefix(name, "log-") {
				m[segments[len(segments)-1]] = text
			}
		}
	})
	refuses("one that is gone", func(m map[string][]byte) { delete(m, segments[0]) })
	refuses("another version", func(m map[string][]byte) {
		b := bytes.Clone(m[segments[0]])
		b[8], b[9] = 9, 9
		m[segments[0]] = b
	})
}

// gated is a folder whose files' syncs wait for a gate, and are counted.
type gated struct {
	store.Disk
	gate    chan struct{}
	entered chan struct{}
	syncs   atomic.Int64
}

type gatedFile struct {
	store.File
	d *gated
}

func (d *gated) Create(name string) (store.File, error) {
	f, err := d.Disk.Create(name)
	return gatedFile{f, d}, err
}

func (f gatedFile) Sync() error {
	if f.d.gate != nil {
		select {
		case f.d.entered <- struct{}{}:
		default:
		}
		<-f.d.gate
	}
	f.d.syncs.Add(1)
	return f.File.Sync()
}

func TestManyCommitWithFewSyncsAndAFolderIsTakenOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	f, err := store.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.OpenFolder(dir); !errors.Is(err, store.ErrTaken) {
		t.Errorf("a second process: %v", err)
	}
	d := &gated{Disk: f}
	g, _, err := store.Open(d, store.Usual(), func(store.Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	c := store.NewCommitter(g)
	d.gate, d.entered = make(chan struct{}), make(chan struct{}, 1) // the next sync takes until all others wait
	d.syncs.Store(0)
	var wait sync.WaitGroup
	for i := range 64 {
		if i == 1 {
			<-d.entered // the first one's sync is under way
		}
		wait.Go(func() {
			if err := c.Commit(store.Record{Kind: 1, Payload: payload(entry{fmt.Sprint(i), "19"})}); err != nil {
				t.Error(err)
			}
		})
	}
	for c.Waiting() < 63 {
		runtime.Gosched()
	}
	close(d.gate)
	wait.Wait()
	if n := d.syncs.Load(); n != 2 {
		t.Errorf("%d syncs for one commit and 63 that waited", n)
	}
	if calls, _ := c.Figures(100); calls != 63 {
		t.Errorf("%d calls a sync at most", calls)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(store.Record{Kind: 1}); !errors.Is(err, store.ErrClosed) {
		t.Errorf("after its close: %v", err)
	}
	f.Close()
	state := map[string]string{}
	found, err := store.Look(store.LookFolder(dir), replayInto(state))
	if err != nil || found.Records != 64 || len(state) != 64 || state["7"] != "19" {
		t.Errorf("%+v %v", found, err)
	}
}
