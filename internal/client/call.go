package client

import (
	"net"
	"strconv"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/socketstate"
)

// call is one job asked for and not answered.
type call struct {
	conn *conn
	id   uint32
	held int    // bytes of the statement
	left func() // told once, if the client leaves before the answer
	gone bool
}

// newAsk copies what must outlive the buffer, in one piece.
func newAsk(from *call, m message, r request, at time.Time) gateway.Request {
	b := make([]byte, 0, len(m.method)+len(r.call)+len(r.tenant)+len(r.key)+len(r.idempotency)+len(r.body))
	keep := func(part []byte) []byte {
		from := len(b)
		b = append(b, part...)
		return b[from:len(b):len(b)]
	}
	return gateway.Request{Type: keep(m.method), ID: keep(r.call), Tenant: keep(r.tenant), Key: keep(r.key), IdempotencyKey: keep(r.idempotency),
		Statement: keep(r.body), Timeout: r.left, ArrivedAt: at, ClientRetry: r.repeat, EstimatedWork: r.work, EstimatedMemoryMB: r.memoryMB, Client: from}
}

// OnDisconnect sets what is told if the client leaves, at once if it has.
func (l *call) OnDisconnect(left func()) {
	l.conn.mu.Lock()
	l.left = left
	gone := l.gone
	l.conn.mu.Unlock()
	if gone {
		left()
	}
}

func (l *call) leave() {
	l.conn.mu.Lock()
	l.gone = true
	left := l.left
	l.conn.mu.Unlock()
	if left != nil {
		left()
	}
}

// Done answers with all rows of the result, in order.
func (l *call) Done(pages [][]byte) {
	rows := 0
	for _, p := range pages {
		rows += len(p)
	}
	parts := append(net.Buffers{appendDoneHead(nil, l.id, rows)}, pages...)
	l.answer(append(parts, appendDoneTail(nil)))
}

// Throttled answers that trying again is harmless, after the wait if there is one.
func (l *call) Throttled(wait time.Duration) {
	field, value := "", ""
	if wait > 0 {
		field, value = fieldWait, strconv.FormatInt(max(1, wait.Milliseconds()), 10)
	}
	l.refuse(appendError(nil, l.id, wordThrottle, field, value))
}

// Failed answers that the job is cancelled for good, which promises nothing.
func (l *call) Failed(reason string) {
	l.refuse(appendError(nil, l.id, wordFailed, "reason", reason))
}

// refuse answers without a result, and does not wait for the client to read it.
func (l *call) refuse(b []byte) {
	l.conn.pace.refused()
	if l.conn.settle(l, 0) {
		if l.conn.reply(b) != nil {
			l.conn.nc.Close()
		}
		l.conn.front.owed.Add(-1)
	}
}

// Connected looks whether the client is still there, as far as its connection shows: also where the reader has not come to
// its close, behind all that it sent before.
func (l *call) Connected() bool { return !socketstate.PeerClosed(l.conn.nc) }

// answer writes the one answer of a call, unless the client left before.
func (l *call) answer(parts net.Buffers) {
	if l.conn.settle(l, 1) {
		l.conn.writeResult(parts)
		l.conn.front.owed.Add(-1)
	}
}
