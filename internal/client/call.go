package client

import (
	"net"
	"strconv"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/socketstate"
)

// call is one job that was requested and not answered. It implements gateway.Client.
type call struct {
	conn          *conn
	id            uint32
	reservedBytes int // of the statement

	// Guarded by the connection's lock.
	onLeave func() // called once, if the client leaves before the answer
	hasLeft bool
}

// newJobRequest copies what must outlive the buffer, in one piece.
func newJobRequest(from *call, received message, r request, at time.Time) gateway.Request {
	size := len(received.method) + len(r.callID) + len(r.tenant) + len(r.key) + len(r.idempotencyKey) + len(r.statement)
	storage := make([]byte, 0, size)
	copyPart := func(part []byte) []byte {
		start := len(storage)
		storage = append(storage, part...)
		return storage[start:len(storage):len(storage)]
	}
	return gateway.Request{
		Type:              copyPart(received.method),
		ID:                copyPart(r.callID),
		Tenant:            copyPart(r.tenant),
		Key:               copyPart(r.key),
		IdempotencyKey:    copyPart(r.idempotencyKey),
		Statement:         copyPart(r.statement),
		Timeout:           r.timeout,
		ArrivedAt:         at,
		ClientRetry:       r.isRepeat,
		EstimatedWork:     r.work,
		EstimatedMemoryMB: r.memoryMB,
		Client:            from,
	}
}

// OnDisconnect sets what is called if the client leaves; it is called at once if the client has left.
func (l *call) OnDisconnect(onLeave func()) {
	l.conn.mu.Lock()
	l.onLeave = onLeave
	hasLeft := l.hasLeft
	l.conn.mu.Unlock()
	if hasLeft {
		onLeave()
	}
}

func (l *call) clientLeft() {
	l.conn.mu.Lock()
	l.hasLeft = true
	onLeave := l.onLeave
	l.conn.mu.Unlock()
	if onLeave != nil {
		onLeave()
	}
}

// Done answers with all rows of the result, in order.
func (l *call) Done(pages [][]byte) {
	rowBytes := 0
	for _, page := range pages {
		rowBytes += len(page)
	}
	parts := net.Buffers{appendDoneHead(nil, l.id, rowBytes)}
	parts = append(parts, pages...)
	parts = append(parts, appendDoneTail(nil))
	if l.conn.settle(l, 1) {
		l.conn.writeResult(parts)
		l.conn.server.owedAnswers.Add(-1)
	}
}

// Throttled answers that trying again is harmless, after a wait if it is above 0.
func (l *call) Throttled(wait time.Duration) {
	var field, value string
	if wait > 0 {
		field = fieldRetryAfter
		value = strconv.FormatInt(max(1, wait.Milliseconds()), 10)
	}
	l.refuse(encodeError(l.id, errorThrottled, field, value))
}

// Failed answers that the job is cancelled for good, which does not say whether it ran.
func (l *call) Failed(reason string) {
	l.refuse(encodeError(l.id, errorFailed, fieldReason, reason))
}

// refuse answers without a result, and does not wait for the client to read it.
func (l *call) refuse(text []byte) {
	l.conn.rate.countRefusal()
	if !l.conn.settle(l, 0) {
		return
	}
	if l.conn.reply(text) != nil {
		counters.Increment("client_conns_closed_unread")
		_ = l.conn.socket.Close() // the client does not read: its reader ends with an error
	}
	l.conn.server.owedAnswers.Add(-1)
}

// Connected reports whether the client is still there and waits for the answer, as far as its connection shows: also if
// the reader has not come to its close yet, behind all that was sent before.
func (l *call) Connected() bool {
	l.conn.mu.Lock()
	hasLeft := l.hasLeft
	l.conn.mu.Unlock()
	return !hasLeft && !socketstate.PeerClosed(l.conn.socket)
}

// inputPoll is the interval at which a connection is looked at that is being read.
const inputPoll = 500 * time.Microsecond

// AwaitInput waits until the client's revocations are read, as far as they have come, no longer than limit. After a
// stall of the process they may lie unread.
func (l *call) AwaitInput(limit time.Duration) {
	if l.conn.isInputRead() {
		return
	}
	counters.Increment("calls_awaited_input")
	for stop := time.Now().Add(limit); time.Now().Before(stop) && !l.conn.isInputRead(); {
		time.Sleep(inputPoll)
	}
}
