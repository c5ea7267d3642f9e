package engine

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/socketstate"
)

const (
	maxStrayAnswers = 256 // consecutive answers for ids that are not open
	maxRecentIDs    = 64  // ids remembered on a connection, of dispatches that ended without a result
)

var errStrayAnswers = errors.New("too many consecutive answers for unknown ids")

// conn is one connection to an engine. The pool's lock guards its fields unless noted otherwise; writeMu serializes
// writes to the socket.
type conn struct {
	pool             *Pool
	engine           backend.Host // name and address
	lane             backend.Lane
	socket           net.Conn      // nil until dialled
	reader           *answerReader // set together with socket
	isRemoved        bool          // removed from the pool; the socket is closed, or will be once it is dialled
	isClosedLocally  bool          // closed by this side with dispatches in flight; the engine notices a moment later
	isSuspect        bool          // a probe was lost or an abort not read in time, and nothing was received since
	open             map[string]*Dispatch
	queue            []*Dispatch       // waiting for the dial to complete, in order
	recentIDs        []string          // of ended dispatches that may be sent again while old answers still arrive
	pendingAborts    map[string]func() // by id; called once the engine is known to have read the abort
	strayAnswers     int               // consecutive answers for ids that are not open
	idleSince        time.Time
	idleBefore       time.Duration // idle time before the dispatches now open were sent; 0 once something is received
	lastReceived     time.Time
	connectedAt      time.Time     // zero until dialled
	dialTime         time.Duration // used by the connection's own goroutine only
	hasInvalidAnswer bool          // an answer was invalid, and reading stops; used by the reader only

	writeMu sync.Mutex // held while a message is written
}

// hasCarried reports whether an answer to an earlier use of the id may still arrive. The pool's lock is held.
func (c *conn) hasCarried(id string) bool {
	return c.open[id] != nil || slices.Contains(c.recentIDs, id)
}

// rememberID keeps an id off this connection until maxRecentIDs others have ended on it. The pool's lock is held.
func (c *conn) rememberID(id string) {
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// isIdle reports whether the connection is established and has no open dispatch. The pool's lock is held.
func (c *conn) isIdle() bool { return c.socket != nil && len(c.open) == 0 && !c.isRemoved }

// run dials the connection, sends the dispatches queued for it, and reads answers until the connection ends.
func (c *conn) run() {
	startedAt := time.Now()
	socket, err := c.pool.dial(c)
	if err != nil {
		c.handleDialFailure(err)
		return
	}
	c.dialTime = time.Since(startedAt)
	reader := newAnswerReader(socket, answerProgressTimeout(c.pool.limits), c.recordProgress)
	for _, d := range c.attachSocket(socket, reader) {
		go c.send(d) // a dispatch may wait for its client's input, which must not delay those of other clients
	}
	c.readAnswers(reader)
	c.handleEnd(socket)
}

func (c *conn) handleDialFailure(err error) {
	c.pool.mu.Lock()
	c.pool.remove(c, closedDialFailed)
	c.pool.mu.Unlock()
	c.endAll(outcomeOfDial(err))
}

// attachSocket stores the dialled socket and returns the queued dispatches, which the caller sends.
func (c *conn) attachSocket(socket net.Conn, reader *answerReader) []*Dispatch {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := time.Now()
	c.socket = socket
	c.reader = reader
	c.lastReceived = now
	c.connectedAt = now
	c.idleSince = now
	if c.isRemoved {
		_ = socket.Close() // nothing was written to it
	}
	queue := c.queue
	c.queue = nil
	for _, d := range queue {
		if d.state == stateQueued {
			d.state = stateSending
		}
	}
	return queue
}

// readAnswers reads answers until the connection ends or can no longer be used.
func (c *conn) readAnswers(reader *answerReader) {
	for !c.hasInvalidAnswer {
		a, err := reader.next()
		if errors.Is(err, errMalformed) || errors.Is(err, os.ErrDeadlineExceeded) {
			c.pool.logMalformedLine(c, err)
			c.pool.mu.Lock()
			c.isClosedLocally = true
			c.pool.mu.Unlock()
		}
		if err != nil {
			return
		}
		if !c.receive(a) {
			c.pool.logMalformedLine(c, errStrayAnswers)
			return
		}
	}
}

// handleEnd ends all dispatches open on a connection that can no longer be read.
func (c *conn) handleEnd(socket net.Conn) {
	p := c.pool
	p.mu.Lock()
	lostByPeer := !c.isRemoved && !c.isClosedLocally // by the engine or the network
	if now := time.Now(); lostByPeer && c.wasResetPromptly(now) {
		p.idleLimit.recordLoss(c.idleBefore, now)
	}
	p.remove(c, closedLost)
	isClosedLocally := c.isClosedLocally
	p.mu.Unlock()
	_ = socket.Close()   // an error is irrelevant: the connection is lost
	if isClosedLocally { // a dispatch sent again elsewhere must not overtake the close
		time.AfterFunc(p.limits.CancelDelay, func() { c.endAll(backend.Reset) })
	} else {
		c.endAll(backend.Reset)
	}
}

// wasResetPromptly reports whether the connection ended in response to the latest write. The pool's lock is held.
func (c *conn) wasResetPromptly(now time.Time) bool {
	for _, d := range c.open {
		if d.state != stateQueued && isPromptReset(now.Sub(d.writtenAt), c.dialTime) {
			return true
		}
	}
	return false
}

// endAll ends all dispatches open on a connection that has ended, and completes its pending aborts. A dispatch that is
// being written is ended by its writer.
func (c *conn) endAll(end backend.Outcome) {
	c.pool.mu.Lock()
	var ended []*Dispatch
	for id, d := range c.open {
		if d.state != stateSending {
			delete(c.open, id)
			d.markEnded(end)
			ended = append(ended, d)
		}
	}
	aborted := slices.Collect(maps.Values(c.pendingAborts))
	clear(c.pendingAborts)
	c.pool.mu.Unlock()
	for _, done := range aborted {
		done()
	}
	for _, d := range ended {
		d.notifyEnd(backend.Reply{Outcome: end})
	}
}

// recordProgress records that part of an answer was received: the engine is alive, although it answers slowly.
func (c *conn) recordProgress() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	c.isSuspect = false
}

// recipient is what an answer is for: a dispatch or a pending abort. If neither is set, the answer is late.
type recipient struct {
	dispatch  *Dispatch
	abortDone func() // called because the answer proves that the engine has read the abort
}

// receive passes an answer to its dispatch and drops a late one, whose id is no longer open. It returns false after too
// many consecutive late answers.
func (c *conn) receive(a answer) bool {
	to := c.recipientOf(a)
	switch {
	case to.dispatch != nil:
		to.dispatch.receive(a)
		return true
	case to.abortDone != nil:
		to.abortDone()
		return true
	}
	counters.Increment("answers_late")
	return c.countStrayAnswer()
}

// recipientOf records that something was received and returns what it is for.
func (c *conn) recipientOf(received answer) recipient {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	c.isSuspect = false
	c.idleBefore = 0
	id := string(received.id)
	if d := c.open[id]; d != nil {
		c.strayAnswers = 0
		if d.state == stateSending { // the answer arrived before the writer recorded the write
			d.markDispatched()
		}
		return recipient{dispatch: d}
	}
	done := c.pendingAborts[id]
	kind := string(received.kind)
	if done == nil || kind == answerNotice || kind == answerPage { // not for the command after the abort
		return recipient{}
	}
	delete(c.pendingAborts, id)
	return recipient{abortDone: done}
}

// countStrayAnswer counts a late answer and reports whether the connection may stay open.
func (c *conn) countStrayAnswer() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.strayAnswers++
	if c.strayAnswers <= maxStrayAnswers {
		return true
	}
	c.isClosedLocally = true
	return false
}

// release removes a dispatch from the open ones. The pool's lock is held.
func (c *conn) release(d *Dispatch) {
	delete(c.open, d.id)
	if len(c.open) == 0 {
		c.idleSince = time.Now()
	}
}

func isClosedByPeer(socket net.Conn) bool {
	c, ok := socket.(syscall.Conn)
	return ok && socketstate.PeerClosed(c)
}
