package decide

import (
	"container/list"

	"swiftreel/choice"
)

// IdempotencyKey names an update that its client may send again (IETF draft-ietf-httpapi-idempotency-key-header). It
// counts for its tenant only. Without a value there is no key.
type IdempotencyKey struct {
	Tenant string
	Value  string
}

// KeyVerdict is what to do with an update that has an idempotency key.
type KeyVerdict uint8

// The verdicts.
const (
	KeyNew            KeyVerdict = iota // run it
	KeyInProgress                       // the first has not ended: 409
	KeyCompleted                        // it is done: the same answer once more, nothing runs
	KeyOutcomeUnknown                   // it may have run: 502 as the first time, nothing runs
	KeyMismatch                         // the key was another text's: 422
	KeyTableFull                        // it could not be remembered: 503, nothing runs
)

// UpdateOutcome is how an update with an idempotency key ended.
type UpdateOutcome uint8

// The outcomes. An update that never ran may come again and be run; one that may have run must not, until its window is
// over.
const (
	UpdateDone UpdateOutcome = iota
	UpdateNeverRan
	UpdateMayHaveRun
)

// KeyTable remembers updates by their idempotency keys: while they are in progress, and for a window after. It is
// bounded; a key leaves when its update ends without having run, or when its window is over.
type KeyTable struct {
	capacity int
	window   choice.Nanos
	entries  map[IdempotencyKey]*keyEntry
	ended    *list.List // of *keyEntry, by the end of their window
}

type keyEntry struct {
	key        IdempotencyKey
	digest     uint64 // of all that was sent
	mayHaveRun bool
	expiresAt  choice.Nanos
	ended      *list.Element // in KeyTable.ended; nil: in progress
}

// NewKeyTable returns a table of up to capacity keys, each held for a window after its update ended.
func NewKeyTable(capacity int, window choice.Nanos) *KeyTable {
	return &KeyTable{
		capacity: max(1, capacity),
		window:   window,
		entries:  map[IdempotencyKey]*keyEntry{},
		ended:    list.New(),
	}
}

// Begin takes an update with its key and the digest of its text. After KeyNew, End has to be called.
func (t *KeyTable) Begin(now choice.Nanos, key IdempotencyKey, digest uint64) KeyVerdict {
	t.expire(now)
	entry := t.entries[key]
	switch {
	case entry == nil && len(t.entries) >= t.capacity:
		return KeyTableFull // an evicted key could run twice
	case entry == nil:
		t.entries[key] = &keyEntry{key: key, digest: digest}
		return KeyNew
	case entry.digest != digest:
		return KeyMismatch
	case entry.ended == nil:
		return KeyInProgress
	case entry.mayHaveRun:
		return KeyOutcomeUnknown
	}
	return KeyCompleted
}

// End records how the update of a key ended. Of a key that is not in progress it changes nothing.
func (t *KeyTable) End(now choice.Nanos, key IdempotencyKey, outcome UpdateOutcome) {
	entry := t.entries[key]
	if entry == nil || entry.ended != nil {
		return
	}
	if outcome == UpdateNeverRan {
		delete(t.entries, key)
		return
	}
	entry.mayHaveRun = outcome == UpdateMayHaveRun
	entry.expiresAt = now + t.window
	entry.ended = t.ended.PushBack(entry)
}

// expire drops the keys whose window is over.
func (t *KeyTable) expire(now choice.Nanos) {
	for {
		oldest := t.ended.Front()
		if oldest == nil || oldest.Value.(*keyEntry).expiresAt > now {
			return
		}
		delete(t.entries, oldest.Value.(*keyEntry).key)
		t.ended.Remove(oldest)
	}
}

// Len returns how many keys are held.
func (t *KeyTable) Len() int { return len(t.entries) }
