package gateway

import "time"

const (
	ranCallsLifetime = time.Minute // longer than any client waits and any engine works on
	maxRanCalls      = 1 << 14     // beyond this, the oldest are forgotten
)

// ranCalls remembers the IDs of run-once calls that have run or may have run, so that a call whose ID comes again is
// not run again. An entry is removed after ranCallsLifetime, or when there are more than maxRanCalls. It is not safe
// for concurrent use.
type ranCalls struct {
	ids   map[string]struct{}
	order []ranCall // oldest first
}

// ranCall is the ID of a call and when it ended.
type ranCall struct {
	id      string
	endedAt time.Time
}

func newRanCalls() *ranCalls { return &ranCalls{ids: map[string]struct{}{}} }

// add remembers a call that has ended.
func (r *ranCalls) add(id string, now time.Time) {
	r.expire(now)
	if len(r.order) >= maxRanCalls {
		r.removeOldest()
	}
	r.ids[id] = struct{}{}
	r.order = append(r.order, ranCall{id, now})
}

// contains reports whether a call with the ID has run or may have run.
func (r *ranCalls) contains(id string, now time.Time) bool {
	r.expire(now)
	_, found := r.ids[id]
	return found
}

func (r *ranCalls) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].endedAt) >= ranCallsLifetime {
		r.removeOldest()
	}
}

func (r *ranCalls) removeOldest() {
	delete(r.ids, r.order[0].id)
	r.order = r.order[1:]
}
