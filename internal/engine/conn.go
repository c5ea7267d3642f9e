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
	maxStrayAnswers = 256 // answers in a row for ids that are not open
	maxRecentIDs    = 64  // ids that ended without a result and are remembered on a connection
)

var errStrayAnswers = errors.New("too many answers for unknown ids")

// conn is one connection to an engine. The pool's lock guards all but writeMu and what it guards.
type conn struct {
	pool          *Pool
	engine        backend.Host // name and address
	lane          backend.Lane
	socket        net.Conn      // nil until dialled
	reader        *answerReader // with socket
	isRemoved     bool          // from the pool; it is closed, or will be once it is dialled
	isCutByUs     bool          // with dispatches out: the engine learns of it a moment later
	isSuspect     bool          // a probe was lost, or an abort not read in time, and nothing received since
	open          map[string]*Dispatch
	queue         []*Dispatch       // wait for the dial, in order
	recentIDs     []string          // ended here but may be sent again, and their answers may still come
	pendingAborts map[string]func() // by id: called once the engine is known to have read the abort
	strayAnswers  int               // in a row
	idleSince     time.Time
	idleBefore    time.Duration // until what is open now was sent; 0 once something is received
	lastReceived  time.Time
	connectedAt   time.Time // zero until dialled
	dialTime      time.Duration
	isCutOff      bool // an answer made no sense: nothing more is read. Used by the reader only

	writeMu sync.Mutex // held while a message is written
}

// hasCarried reports whether an answer to an id could still come from before. The lock is held.
func (c *conn) hasCarried(id string) bool {
	return c.open[id] != nil || slices.Contains(c.recentIDs, id)
}

// rememberID keeps an id off this connection for a while. The lock is held.
func (c *conn) rememberID(id string) {
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// isIdle reports whether the connection is up with nothing open on it. The lock is held.
func (c *conn) isIdle() bool { return c.socket != nil && len(c.open) == 0 && !c.isRemoved }

// run dials the connection, sends what waited for that, and reads answers until the connection ends.
func (c *conn) run() {
	startedAt := time.Now()
	socket, err := c.pool.dial(c)
	if err != nil {
		c.dialFailed(err)
		return
	}
	c.dialTime = time.Since(startedAt) // read by this goroutine only
	reader := newAnswerReader(socket, completeWithin(c.pool.bounds))
	for _, d := range c.connected(socket, reader) {
		go c.send(d) // one may wait for its client's input, which must not hold up those of other clients
	}
	c.readAnswers(reader)
	c.ended(socket)
}

func (c *conn) dialFailed(err error) {
	c.pool.mu.Lock()
	c.pool.remove(c, closedUndialled)
	c.pool.mu.Unlock()
	c.endAll(outcomeOfDial(err))
}

// connected puts a dialled connection to use and returns the dispatches to send now.
func (c *conn) connected(socket net.Conn, reader *answerReader) []*Dispatch {
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

// readAnswers reads answers until the connection ends or is of no further use.
func (c *conn) readAnswers(reader *answerReader) {
	for !c.isCutOff {
		a, err := reader.next()
		if errors.Is(err, errMalformed) || errors.Is(err, os.ErrDeadlineExceeded) {
			c.pool.noteMalformed(c, err)
			c.pool.mu.Lock()
			c.isCutByUs = true
			c.pool.mu.Unlock()
		}
		if err != nil {
			return
		}
		if !c.receive(a) {
			c.pool.noteMalformed(c, errStrayAnswers)
			return
		}
	}
}

// ended ends what is open on a connection that can no longer be read.
func (c *conn) ended(socket net.Conn) {
	p := c.pool
	p.mu.Lock()
	lostByPeer := !c.isRemoved && !c.isCutByUs // the engine, or the network
	if now := time.Now(); lostByPeer && c.wasResetPromptly(now) {
		p.idleLimit.lost(c.idleBefore, now)
	}
	p.remove(c, closedLost)
	isCutByUs := c.isCutByUs
	p.mu.Unlock()
	_ = socket.Close() // it is lost already
	if isCutByUs {     // what is sent again must not overtake the close
		time.AfterFunc(p.bounds.CancelDelay, func() { c.endAll(backend.Reset) })
	} else {
		c.endAll(backend.Reset)
	}
}

// wasResetPromptly reports whether the connection has ended in answer to what was just written. The lock is held.
func (c *conn) wasResetPromptly(now time.Time) bool {
	for _, d := range c.open {
		if d.state != stateQueued && isPromptReset(now.Sub(d.writtenAt), c.dialTime) {
			return true
		}
	}
	return false
}

// endAll ends all that is open when the connection has ended. What is being written is ended by its writer.
func (c *conn) endAll(end backend.Outcome) {
	c.pool.mu.Lock()
	var ended []*Dispatch
	for id, d := range c.open {
		if d.state != stateSending {
			delete(c.open, id)
			d.close(end)
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

// recipient is what an answer is for. Without a dispatch or abort the answer is late.
type recipient struct {
	dispatch  *Dispatch
	abortDone func() // called because the answer proves that the abort was read
}

// receive hands an answer to its dispatch; a late one, whose id is no longer open, is dropped. It returns false if
// too many of those came in a row.
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
	return c.tolerateStray()
}

// recipientOf notes that something was received and finds what it is for.
func (c *conn) recipientOf(received answer) recipient {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	c.isSuspect = false
	c.idleBefore = 0
	id := string(received.id)
	if d := c.open[id]; d != nil {
		c.strayAnswers = 0
		if d.state == stateSending { // the answer overtook its writer
			d.markDispatched()
		}
		return recipient{dispatch: d}
	}
	done := c.pendingAborts[id]
	kind := string(received.kind)
	if done == nil || kind == answerNews || kind == answerPage { // not for the command behind the abort
		return recipient{}
	}
	delete(c.pendingAborts, id)
	return recipient{abortDone: done}
}

// tolerateStray counts a late answer and reports whether the connection may go on.
func (c *conn) tolerateStray() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.strayAnswers++
	if c.strayAnswers <= maxStrayAnswers {
		return true
	}
	c.isCutByUs = true
	return false
}

// release frees a dispatch's place. The lock is held.
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
