package front

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/endpoint"
)

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 200

// readIdempotencyKey reads an update's Idempotency-Key, a string of structured fields, quoted or not. Queries need none.
func readIdempotencyKey(r *http.Request, tenant string, update bool) (key decide.IdempotencyKey, err error) {
	list := r.Header.Values(endpoint.HeaderIdempotencyKey)
	if !update || len(list) == 0 {
		return key, nil
	}
	text := strings.Trim(strings.TrimSpace(list[0]), `"`)
	if len(list) > 1 || text == "" || len(text) > maxKeyLength || strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' || c == '"' }) {
		return key, refuse(http.StatusBadRequest, "%s is no key of up to %d signs", endpoint.HeaderIdempotencyKey, maxKeyLength)
	}
	return decide.IdempotencyKey{Tenant: tenant, Value: text}, nil
}

// now is the time of idempotency keys: it never goes back.
func (f *Front) now() choice.Nanos { return choice.Nanos(time.Since(f.start)) }

// admitKey answers an update whose idempotency key is known already. It returns true if the update is to be run.
func (f *Front) admitKey(a *answer, q request, key decide.IdempotencyKey) bool {
	if key.Value == "" {
		return true
	}
	h := fnv.New64a()
	h.Write([]byte(q.text))
	h.Write([]byte{0})
	h.Write([]byte(q.graphs.Encode()))
	f.mu.Lock()
	v := f.keys.Begin(f.now(), key, h.Sum64())
	f.mu.Unlock()
	switch v {
	case decide.KeyNew:
		return true
	case decide.KeyCompleted:
		a.w.WriteHeader(http.StatusNoContent)
	case decide.KeyInProgress:
		f.refused(a.w, refuse(http.StatusConflict, "the first with this mark is in hand"))
	case decide.KeyMismatch:
		f.refused(a.w, refuse(http.StatusUnprocessableEntity, "this mark was another update's"))
	case decide.KeyOutcomeUnknown:
		f.refused(a.w, refuse(http.StatusBadGateway, "the first with this mark may have run"))
	case decide.KeyTableFull:
		a.w.Header().Set("Retry-After", "60")
		f.refused(a.w, refuse(http.StatusServiceUnavailable, "no room for one more mark: nothing ran"))
	}
	return false
}
