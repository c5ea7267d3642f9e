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

// readIdempotencyKey reads the Idempotency-Key of an update, a structured-field string, with or without quotes. Queries
// have no key.
func readIdempotencyKey(r *http.Request, tenant string, update bool) (decide.IdempotencyKey, error) {
	values := r.Header.Values(endpoint.HeaderIdempotencyKey)
	if !update || len(values) == 0 {
		return decide.IdempotencyKey{}, nil
	}
	value := strings.Trim(strings.TrimSpace(values[0]), `"`)
	if len(values) > 1 || value == "" || len(value) > maxKeyLength || strings.ContainsFunc(value, isForbiddenInKey) {
		return decide.IdempotencyKey{}, rejectf(http.StatusBadRequest, "%s is no key of up to %d signs",
			endpoint.HeaderIdempotencyKey, maxKeyLength)
	}
	return decide.IdempotencyKey{Tenant: tenant, Value: value}, nil
}

func isForbiddenInKey(c rune) bool { return c <= ' ' || c > '~' || c == '"' }

// now returns the monotonic time since the front was created, used for idempotency keys.
func (f *Front) now() choice.Nanos { return choice.Nanos(time.Since(f.started)) }

// beginKey registers the idempotency key of an update, if it has one. It returns true if the request is to be run;
// otherwise it has answered the request.
func (f *Front) beginKey(
	w http.ResponseWriter, r *http.Request, request request, key decide.IdempotencyKey,
) bool {
	if key.Value == "" {
		return true
	}
	f.mu.Lock()
	verdict := f.keys.Begin(f.now(), key, request.digest())
	f.mu.Unlock()
	switch verdict {
	case decide.KeyNew:
		return true
	case decide.KeyCompleted:
		w.WriteHeader(http.StatusNoContent)
	case decide.KeyInProgress:
		f.reject(w, r, rejectf(http.StatusConflict, "the first with this mark is in hand"))
	case decide.KeyMismatch:
		f.reject(w, r, rejectf(http.StatusUnprocessableEntity, "this mark was another update's"))
	case decide.KeyOutcomeUnknown:
		f.reject(w, r, rejectf(http.StatusBadGateway, "the first with this mark may have run"))
	case decide.KeyTableFull:
		w.Header().Set("Retry-After", "60")
		f.reject(w, r, rejectf(http.StatusServiceUnavailable, "no room for one more mark: nothing ran"))
	}
	return false
}

// endKey records how the update of an idempotency key ended.
func (f *Front) endKey(key decide.IdempotencyKey, answer *answer) {
	if key.Value == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys.End(f.now(), key, answer.updateOutcome)
}

// digest returns a hash of the text and the graphs, which a repeated request with the same key must match.
func (r request) digest() uint64 {
	digest := fnv.New64a()
	for _, part := range []string{r.text, "\x00", r.graphs.Encode()} {
		_, _ = digest.Write([]byte(part)) // never fails
	}
	return digest.Sum64()
}
