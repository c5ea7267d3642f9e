package decide

import (
	"container/list"
	"net/url"

	"swiftreel/choice"
)

// IdempotencyKey identifies an update that its client may send again (IETF draft-ietf-httpapi-idempotency-key-header).
// Keys are scoped to their tenant. An empty value means that there is no key.
type IdempotencyKey struct {
	Tenant string
	Value  string
}

// ForEngines returns the key under which engines recognize a repeated update: "TENANT:VALUE" with the tenant's name
// percent-encoded, and "" if there is no key. Keys of different tenants differ, although engines know no tenants.
func (k IdempotencyKey) ForEngines() string {
	if k.Value == "" {
		return ""
	}
	return url.QueryEscape(k.Tenant) + ":" + k.Value
}

// KeyVerdict is how an update with an idempotency key is handled.
type KeyVerdict uint8

// The verdicts.
const (
	KeyNew            KeyVerdict = iota // run it
	KeyInProgress                       // the first request has not ended: 409
	KeyCompleted                        // the first request succeeded: repeat its answer without running the update
	KeyOutcomeUnknown                   // the first request may have run: 502 again, without running the update
	KeyMismatch                         // the key was used with a different request: 422
	KeyTableFull                        // the key cannot be stored: 503, without running the update
)

// UpdateOutcome is how an update with an idempotency key ended.
type UpdateOutcome uint8

// The outcomes. A repeated update is run if the first never ran; if it may have run, the repeated one must not be run
// until the window of the key has ended.
const (
	UpdateDone UpdateOutcome = iota
	UpdateNeverRan
	UpdateMayHaveRun
)

// KeyTable stores the idempotency keys of updates while they are in progress, and for a window afterwards. It is
// bounded; a key is removed when its update ends without having run, or when its window has ended.
type KeyTable struct {
	capacity int
	window   choice.Nanos
	entries  map[IdempotencyKey]*keyEntry
	ended    *list.List // of *keyEntry, by expiresAt
}

type keyEntry struct {
	key        IdempotencyKey
	digest     uint64 // of the request
	mayHaveRun bool
	expiresAt  choice.Nanos
	ended      *list.Element // in KeyTable.ended; nil while in progress
}

// NewKeyTable returns a table of up to capacity keys, each kept for a window after its update ended.
func NewKeyTable(capacity int, window choice.Nanos) *KeyTable {
	return &KeyTable{
		capacity: max(1, capacity),
		window:   window,
		entries:  map[IdempotencyKey]*keyEntry{},
		ended:    list.New(),
	}
}

// Begin returns the verdict on an update with the given key and request digest. After KeyNew, End has to be called.
func (t *KeyTable) Begin(now choice.Nanos, key IdempotencyKey, digest uint64) KeyVerdict {
	t.expire(now)
	entry := t.entries[key]
	switch {
	case entry == nil && len(t.entries) >= t.capacity:
		return KeyTableFull // evicting a key could let its update run twice
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

// End records how the update of a key ended. It has no effect on a key that is not in progress.
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

// expire removes the keys whose window has ended.
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

// Len returns the number of stored keys.
func (t *KeyTable) Len() int { return len(t.entries) }
