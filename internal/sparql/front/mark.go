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

// mostMark bounds a mark.
const mostMark = 200

// readMark reads an update's Idempotency-Key, a string of structured fields, quoted or not. Queries need none.
func readMark(r *http.Request, tenant string, update bool) (m decide.Mark, err error) {
	list := r.Header.Values(endpoint.HeaderMark)
	if !update || len(list) == 0 {
		return m, nil
	}
	text := strings.Trim(strings.TrimSpace(list[0]), `"`)
	if len(list) > 1 || text == "" || len(text) > mostMark || strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' || c == '"' }) {
		return m, refuse(http.StatusBadRequest, "%s is no key of up to %d signs", endpoint.HeaderMark, mostMark)
	}
	return decide.Mark{Tenant: tenant, Text: text}, nil
}

// now is the time of marks: it never goes back.
func (f *Front) now() choice.Nanos { return choice.Nanos(time.Since(f.start)) }

// remembered answers an update whose mark is known already; true: it is to be run.
func (f *Front) remembered(a *answer, q request, mark decide.Mark) bool {
	if mark.Text == "" {
		return true
	}
	h := fnv.New64a()
	h.Write([]byte(q.text))
	h.Write([]byte{0})
	h.Write([]byte(q.graphs.Encode()))
	f.mu.Lock()
	v := f.marks.Come(f.now(), mark, h.Sum64())
	f.mu.Unlock()
	switch v {
	case decide.New:
		return true
	case decide.Over:
		a.w.WriteHeader(http.StatusNoContent)
	case decide.InHand:
		f.refused(a.w, refuse(http.StatusConflict, "the first with this mark is in hand"))
	case decide.Differs:
		f.refused(a.w, refuse(http.StatusUnprocessableEntity, "this mark was another update's"))
	case decide.Unsure:
		f.refused(a.w, refuse(http.StatusBadGateway, "the first with this mark may have run"))
	case decide.NoRoom:
		a.w.Header().Set("Retry-After", "60")
		f.refused(a.w, refuse(http.StatusServiceUnavailable, "no room for one more mark: nothing ran"))
	}
	return false
}
