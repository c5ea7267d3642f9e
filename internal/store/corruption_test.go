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

// storeFiles returns the files of a store that was written to with checkpoints, then without, and its history.
func storeFiles(t *testing.T, batches int) (files map[string][]byte, h *history) {
	t.Helper()
	d := faultdisk.New()
	h = &history{}
	log, err := h.open(d)
	for range 2 { // first with checkpoints, then several segments without one
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

// Flips one bit in every byte of every file. Inspect must replay all acknowledged entries or report the corrupt file.
func TestFlippedBitIsRepairedOrReported(t *testing.T) {
	files, h := storeFiles(t, 25)
	repaired, reported, n := 0, 0, 0
	for name, text := range files {
		for at := range text {
			content := bytes.Clone(text)
			content[at] ^= 1 << (at % 8)
			modified := maps.Clone(files)
			modified[name] = content
			n++
			state := map[string]string{}
			report, err := store.Inspect(faultdisk.FromFiles(modified), replayInto(state))
			var corrupt *store.CorruptError
			switch {
			case errors.As(err, &corrupt) && corrupt.File == name:
				reported++
			case err != nil:
				t.Fatalf("%s byte %d: %v", name, at, err)
			case !maps.Equal(state, stateAfter(h.acknowledged)):
				t.Fatalf("%s byte %d: replayed %v, want %v (%+v)", name, at, state, stateAfter(h.acknowledged), report)
			case len(report.RepairedBits) > 0:
				repaired++
			}
		}
	}
	if len(files) < 2 || repaired+reported < n*9/10 {
		t.Errorf("%d files, %d bytes, %d repaired, %d reported", len(files), n, repaired, reported)
	}
	t.Logf("%d files, %d bytes: %d repaired, %d reported", len(files), n, repaired, reported)
}

// Overwrites two adjacent bytes at random places. Unless the corruption is reported, the replayed state must be that
// after a prefix of the history; outside the last file, nothing may be missing.
func TestDamagedDurableDataIsReported(t *testing.T) {
	files, h := storeFiles(t, 25)
	names := slices.Sorted(maps.Keys(files))
	r := rand.New(rand.NewPCG(9, 9))
	reported := 0
	for range 3000 {
		name := names[r.IntN(len(names))]
		modified := maps.Clone(files)
		content := bytes.Clone(files[name])
		at := r.IntN(len(content) - 1)
		content[at] ^= byte(1 + r.IntN(255))
		content[at+1] ^= byte(1 + r.IntN(255))
		modified[name] = content
		state := map[string]string{}
		_, err := store.Inspect(faultdisk.FromFiles(modified), replayInto(state))
		var corrupt *store.CorruptError
		if errors.As(err, &corrupt) {
			if reported++; corrupt.File != name {
				t.Fatalf("%s is corrupt, but the error is %v", name, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := matchingPrefix(state, h.acknowledged); n < 0 || name != names[len(names)-1] && n < len(h.acknowledged) {
			t.Fatalf("%s byte %d: replayed %v", name, at, state)
		}
	}
	if reported < 1000 {
		t.Errorf("only %d corruptions were reported", reported)
	}
}

// matchingPrefix returns the length of the longest prefix of the entries that results in a state; -1 if there is none.
func matchingPrefix(state map[string]string, list []mapEntry) int {
	for n := len(list); n >= 0; n-- {
		if maps.Equal(state, stateAfter(list[:n])) {
			return n
		}
	}
	return -1
}

// Truncates the last segment at every byte. Replay must succeed with a prefix of the history, without gaps.
func TestTruncatedLastSegmentIsATornTail(t *testing.T) {
	files, h := storeFiles(t, 25)
	names := slices.Sorted(maps.Keys(files))
	last := names[len(names)-1]
	longest := -1
	for at := range files[last] {
		cut := maps.Clone(files)
		cut[last] = files[last][:at]
		state := map[string]string{}
		if _, err := store.Inspect(faultdisk.FromFiles(cut), replayInto(state)); err != nil {
			t.Fatalf("truncated to %d bytes: %v", at, err)
		}
		n := matchingPrefix(state, h.acknowledged)
		if n < 0 {
			t.Fatalf("truncated to %d bytes: replayed %v", at, state)
		}
		longest = max(longest, n)
	}
	if longest < len(h.acknowledged)-4 {
		t.Errorf("at most %d of %d entries were replayed", longest, len(h.acknowledged))
	}
}

// Swaps two segments, replaces one by that of another store, removes one, and overwrites the version in one.
func TestForeignOrMisplacedSegmentsAreReported(t *testing.T) {
	files, _ := storeFiles(t, 60)
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
	expectCorrupt := func(what string, change func(map[string][]byte)) {
		t.Helper()
		modified := maps.Clone(files)
		change(modified)
		var corrupt *store.CorruptError
		_, err := store.Inspect(faultdisk.FromFiles(modified), replayInto(map[string]string{}))
		if !errors.As(err, &corrupt) || !errors.Is(err, store.ErrCorrupt) {
			t.Errorf("%s: %v", what, err)
		}
	}
	expectCorrupt("two segments swapped", func(m map[string][]byte) {
		m[segments[0]], m[segments[1]] = m[segments[1]], m[segments[0]]
	})
	expectCorrupt("segment of another store", func(m map[string][]byte) {
		for name, text := range other.Files() {
			if strings.HasPrefix(name, "log-") {
				m[segments[len(segments)-1]] = text
			}
		}
	})
	expectCorrupt("segment missing", func(m map[string][]byte) { delete(m, segments[0]) })
	expectCorrupt("version in the header overwritten", func(m map[string][]byte) {
		b := bytes.Clone(m[segments[0]])
		b[8], b[9] = 9, 9
		m[segments[0]] = b
	})
}
