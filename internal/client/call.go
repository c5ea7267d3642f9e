package client

import (
	"net"
	"strconv"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ingress"
	"swiftreel/internal/socketstate"
)

// call is a requested job that has not been answered. It implements gateway.Client.
type call struct {
	conn          *conn
	id            uint32
	reservedBytes int // size of the statement, reserved from the memory budget

	// Guarded by conn.mu.
	onAbandon   func() // called once if the call is revoked or its client disconnects
	isAbandoned bool
}

// newJobRequest copies the parts that must outlive the read buffer into a single allocation.
func newJobRequest(client *call, m message, r request, received ingress.Receipt) gateway.Request {
	size := len(m.method) + len(r.jobID) + len(r.tenant) + len(r.key) + len(r.idempotencyKey) + len(r.statement)
	storage := make([]byte, 0, size)
	copyPart := func(part []byte) []byte {
		start := len(storage)
		storage = append(storage, part...)
		return storage[start:len(storage):len(storage)]
	}
	return gateway.Request{
		Type:              copyPart(m.method),
		ID:                copyPart(r.jobID),
		Tenant:            copyPart(r.tenant),
		Key:               copyPart(r.key),
		IdempotencyKey:    copyPart(r.idempotencyKey),
		Statement:         copyPart(r.statement),
		Timeout:           r.timeout,
		ArrivedAt:         received.Earliest,
		ReceivedAfter:     received.After,
		ReceivedBefore:    received.Before,
		ClientRetry:       r.isRetry,
		EstimatedWork:     r.work,
		EstimatedMemoryMB: r.memoryMB,
		Client:            client,
	}
}

// OnDisconnect sets a function to call if the client disconnects or revokes the call. If that has already happened, it
// is called at once.
func (c *call) OnDisconnect(onAbandon func()) {
	c.conn.mu.Lock()
	c.onAbandon = onAbandon
	isAbandoned := c.isAbandoned
	c.conn.mu.Unlock()
	if isAbandoned {
		onAbandon()
	}
}

func (c *call) notifyAbandoned() {
	c.conn.mu.Lock()
	c.isAbandoned = true
	onAbandon := c.onAbandon
	c.conn.mu.Unlock()
	if onAbandon != nil {
		onAbandon()
	}
}

// Done answers with the rows of the result, in order.
func (c *call) Done(pages [][]byte, _ time.Duration) {
	rowBytes := 0
	for _, page := range pages {
		rowBytes += len(page)
	}
	parts := net.Buffers{appendDoneHead(nil, c.id, rowBytes)}
	parts = append(parts, pages...)
	parts = append(parts, appendDoneTail(nil))
	if c.conn.settle(c, 1) {
		c.conn.writeResult(parts)
		c.conn.server.pendingAnswers.Add(-1)
	}
}

// Throttled answers that the call may safely be retried, after a delay if wait is positive.
func (c *call) Throttled(wait time.Duration) {
	var field, value string
	if wait > 0 {
		field = fieldRetryAfter
		value = strconv.FormatInt(max(1, wait.Milliseconds()), 10)
	}
	c.refuse(encodeError(c.id, errorThrottled, field, value))
}

// Failed answers that the job is cancelled permanently. The job may or may not have run.
func (c *call) Failed(reason string) {
	c.refuse(encodeError(c.id, errorFailed, fieldReason, reason))
}

// refuse answers without a result, and does not wait until the client reads the answer.
func (c *call) refuse(text []byte) {
	c.conn.rate.CountRefusal()
	if !c.conn.settle(c, 0) {
		return
	}
	if c.conn.reply(text) != nil {
		counters.Increment("client_conns_closed_unread")
		_ = c.conn.socket.Close() // the client does not read its answers; the reader returns with an error
	}
	c.conn.server.pendingAnswers.Add(-1)
}

// Connected reports whether the client still waits for the answer. It detects a close of the connection even if earlier
// input is unread.
func (c *call) Connected() bool {
	c.conn.mu.Lock()
	isAbandoned := c.isAbandoned
	c.conn.mu.Unlock()
	return !isAbandoned && !socketstate.PeerClosed(c.conn.socket)
}

// inputPollInterval is the interval at which AwaitInput checks whether the input has been handled.
const inputPollInterval = 500 * time.Microsecond

// AwaitInput waits until the input received so far is handled, at most for the limit, because it may contain a
// revocation of the call. After a stall of the process, revocations may still be unread.
func (c *call) AwaitInput(limit time.Duration) {
	if c.conn.isInputRead() {
		return
	}
	counters.Increment("calls_awaited_input")
	for stop := time.Now().Add(limit); time.Now().Before(stop) && !c.conn.isInputRead(); {
		time.Sleep(inputPollInterval)
	}
}
