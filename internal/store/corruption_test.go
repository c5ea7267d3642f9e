package store_test

import (
	"bytes"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"swiftreel/internal/faultdisk"
	"swiftreel/internal/store"
)

// recorded is a day's files, and how many entries were acknowledged when they had grown so far.
func recorded(t *testing.T, batches int) (files map[string][]byte, h *history) {
	t.Helper()
	d := faultdisk.New()
	h = &history{}
	log, err := h.open(d)
	for range 2 { // checkpoints, then several segments behind them
		if err == nil {
			err = h.write(log, rand.New(rand.NewPCG(3, 3)), batches)
		}
		h.withoutCheckpoints = true
	}
	if err != nil {
		t.Fatal(err)
	}
	return d.Files(), h
}

// One bit that is wrong, at every byte of every file: all is found, or the file and the place are named.
func TestOneBitAtEveryByteIsMendedOrNamed(t *testing.T) {
	files, h := recorded(t, 25)
	mended, named, n := 0, 0, 0
	for name, text := range files {
		for at := range text {
			bad := bytes.Clone(text)
			bad[at] ^= 1 << (at % 8)
			turned := maps.Clone(files)
			turned[name] = bad
			n++
			state := map[string]string{}
			found, err := store.Inspect(faultdisk.FromFiles(turned), replayInto(state))
			var damage *store.CorruptError
			switch {
			case errors.As(err, &damage) && damage.File == name:
				named++
			case err != nil:
				t.Fatalf("%s byte %d: %v", name, at, err)
			case !maps.Equal(state, stateAfter(h.acknowledged)):
				t.Fatalf("%s byte %d: found %v, wanted %v (%+v)", name, at, state, stateAfter(h.acknowledged), found)
			case len(found.RepairedBits) > 0:
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
	files, h := recorded(t, 25)
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
		_, err := store.Inspect(faultdisk.FromFiles(turned), replayInto(state))
		var damage *store.CorruptError
		if errors.As(err, &damage) {
			if refused++; damage.File != name {
				t.Fatalf("%s is damaged, %v", name, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := prefix(state, h.acknowledged); n < 0 || name != names[len(names)-1] && n < len(h.acknowledged) {
			t.Fatalf("%s, byte %d: found %v", name, at, state)
		}
	}
	if refused < 1000 {
		t.Errorf("only %d are named", refused)
	}
}

// prefix tells of how many entries a state is what they come to; under 0: of none.
func prefix(state map[string]string, list []mapEntry) int {
	for n := len(list); n >= 0; n-- {
		if maps.Equal(state, stateAfter(list[:n])) {
			return n
		}
	}
	return -1
}

// The last segment cut at every byte: what is found is what was written first, without a hole.
func TestACutAtEveryByteIsATornTail(t *testing.T) {
	files, h := recorded(t, 25)
	names := slices.Sorted(maps.Keys(files))
	last := names[len(names)-1]
	before := -1
	for at := range files[last] {
		cut := maps.Clone(files)
		cut[last] = files[last][:at]
		state := map[string]string{}
		if _, err := store.Inspect(faultdisk.FromFiles(cut), replayInto(state)); err != nil {
			t.Fatalf("cut at %d: %v", at, err)
		}
		n := prefix(state, h.acknowledged)
		if n < 0 {
			t.Fatalf("cut at %d: found %v", at, state)
		}
		before = max(before, n)
	}
	if before < len(h.acknowledged)-4 {
		t.Errorf("at most %d of %d", before, len(h.acknowledged))
	}
}

// Old bytes that look like records, a segment of another store, two that changed places.
func TestWhatDoesNotBelongIsNamed(t *testing.T) {
	files, _ := recorded(t, 60)
	other := faultdisk.New()
	h := &history{withoutCheckpoints: true}
	log, err := h.open(other)
	if err == nil {
		err = h.write(log, rand.New(rand.NewPCG(4, 4)), 60)
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
		var damage *store.CorruptError
		_, err := store.Inspect(faultdisk.FromFiles(turned), replayInto(map[string]string{}))
		if !errors.As(err, &damage) || !errors.Is(err, store.ErrCorrupt) {
			t.Errorf("%s: %v", what, err)
		}
	}
	refuses("two that changed places", func(m map[string][]byte) {
		m[segments[0]], m[segments[1]] = m[segments[1]], m[segments[0]]
	})
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
