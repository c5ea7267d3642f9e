package store_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"swiftreel/internal/store"
)

// The tests keep a small map in the log. After any crash, all acknowledged entries must be replayed, then possibly some
// of the pending ones in the order in which they were written, and nothing else.

// mapKind is the kind of all records of the map.
const mapKind = 1

// testOptions make segments so small that a test fills many.
var testOptions = store.Options{SegmentBytes: 600}

// mapEntry sets a key of the map; an empty value removes it.
type mapEntry struct{ key, value string }

func (e mapEntry) record() store.Record {
	return store.Record{Kind: mapKind, Payload: []byte(e.key + "=" + e.value)}
}

func (e mapEntry) applyTo(state map[string]string) {
	if e.value == "" {
		delete(state, e.key)
		return
	}
	state[e.key] = e.value
}

func replayInto(state map[string]string) func(store.Record) error {
	return func(r store.Record) error {
		key, value, found := strings.Cut(string(r.Payload), "=")
		if !found || r.Kind != mapKind {
			return fmt.Errorf("unknown record: %d %q", r.Kind, r.Payload)
		}
		mapEntry{key, value}.applyTo(state)
		return nil
	}
}

func stateAfter(entries []mapEntry) map[string]string {
	state := map[string]string{}
	for _, e := range entries {
		e.applyTo(state)
	}
	return state
}

// history is the sequence of entries that were written to a log.
type history struct {
	acknowledged       []mapEntry // in order
	pending            []mapEntry // written after these, not acknowledged
	withoutCheckpoints bool
}

// matchingPending returns how many of the pending entries, after the acknowledged ones, result in a state; false if no
// number of them does.
func (h *history) matchingPending(state map[string]string) (int, bool) {
	for n := len(h.pending); n >= 0; n-- {
		if maps.Equal(state, stateAfter(slices.Concat(h.acknowledged, h.pending[:n]))) {
			return n, true
		}
	}
	return 0, false
}

// write appends batches, and now and then writes a checkpoint. It returns the first error of the log.
func (h *history) write(log *store.Log, random *rand.Rand, batches int) error {
	for i := range batches {
		if random.IntN(6) == 0 && !h.withoutCheckpoints {
			if err := h.writeCheckpoint(log); err != nil {
				return err
			}
		}
		var batch []store.Record
		h.pending = nil
		for n := range 1 + random.IntN(4) {
			key := fmt.Sprint("k", random.IntN(9))
			e := mapEntry{key, strings.Repeat(fmt.Sprint(i, ".", n, ";"), random.IntN(9))}
			h.pending = append(h.pending, e)
			batch = append(batch, e.record())
		}
		if _, err := log.Append(batch); err != nil {
			return err
		}
		h.acknowledged = append(h.acknowledged, h.pending...)
		h.pending = nil
	}
	return nil
}

func (h *history) writeCheckpoint(log *store.Log) error {
	state := stateAfter(h.acknowledged)
	return log.Checkpoint(func(put func(store.Kind, []byte) error) error {
		for _, key := range slices.Sorted(maps.Keys(state)) {
			if err := put(mapKind, mapEntry{key, state[key]}.record().Payload); err != nil {
				return err
			}
		}
		return nil
	})
}

// open opens the log and compares the replayed state with the history. Replayed pending entries count as acknowledged
// from then on.
func (h *history) open(disk store.Disk) (*store.Log, error) {
	state := map[string]string{}
	log, _, err := store.Open(disk, testOptions, replayInto(state))
	if err != nil {
		return log, err
	}
	n, found := h.matchingPending(state)
	if !found {
		return log, fmt.Errorf("replayed %v, want %v, then any of the pending %v",
			state, stateAfter(h.acknowledged), h.pending)
	}
	h.acknowledged = append(h.acknowledged, h.pending[:n]...)
	h.pending = nil
	return log, nil
}
