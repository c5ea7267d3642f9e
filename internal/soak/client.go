package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/fake"
)

const (
	readTimeout   = 20 * time.Second // longer than any job timeout and any pause of a controller
	longTimeout   = 12 * time.Second // longer than killDelay
	longOneIn     = 4                // one in this many imports has longTimeout
	connectDelay  = 20 * time.Millisecond
	thinkTime     = 60 * time.Millisecond // mean time between two actions of a client
	idleTime      = 700 * time.Millisecond
	pieceInterval = 40 * time.Millisecond
	statement     = "SELECT 1 FROM a_1.b"
	badInputBytes = 64 << 10 // more than a controller reads of invalid input

	// crossingTime is the maximum time between sending a call and the close of its idle connection after which the
	// client resends the call.
	crossingTime = 50 * time.Millisecond
)

// Probabilities of the actions of a client, in percent. The rest are single calls.
const (
	percentPipeline = 20 // several calls at once
	percentPieces   = 10 // a call written in pieces
	percentLeave    = 12 // the client leaves before the answers
	percentBadInput = 6  // invalid input after open calls
	percentIdle     = 4  // the connection is idle for a time, then used again
)

// loadClient is one client. It repeatedly connects and performs actions on each connection. It is used by one goroutine
// only.
type loadClient struct {
	name       string
	controller *Controller
	records    *Records
	random     *rand.Rand
	isStopped  func() bool
	lastCall   *atomic.Uint64

	conn        *fake.Client
	connName    string
	connectedAt time.Time
	conns       int
	lastID      uint32
	open        map[uint32]*Call
	hasSent     bool // whether a call was sent on this connection
}

// run runs the client until it is stopped.
func (c *loadClient) run() {
	for !c.isStopped() {
		if !c.controller.acceptsConnections() || !c.connect() {
			time.Sleep(connectDelay)
			continue
		}
		c.useConnection()
		_ = c.conn.Conn.Close() // the connection may have been closed
	}
}

func (c *loadClient) connect() bool {
	conn, err := fake.Dial(c.controller.address)
	if err != nil {
		return false
	}
	c.conns++
	c.conn = conn
	c.connectedAt = time.Now()
	c.connName = fmt.Sprintf("%s-%d", c.name, c.conns)
	c.lastID = 0
	c.open = map[uint32]*Call{}
	c.hasSent = false
	return true
}

// useConnection performs actions on the connection until it closes or the controller is shutting down.
func (c *loadClient) useConnection() {
	for !c.isStopped() && c.controller.acceptsRequests() {
		if !c.act(c.random.IntN(100)) {
			return
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
	}
}

// act performs one action, drawn from 0 to 99, and reports whether the connection is still usable.
func (c *loadClient) act(draw int) bool {
	for _, action := range []struct {
		percent int
		run     func() bool
	}{
		{percentPipeline, func() bool { return c.send(2+c.random.IntN(6)) && c.readAll() }},
		{percentPieces, func() bool { return c.sendPieces(c.nextCall()) && c.readAll() }},
		{percentLeave, c.leave},
		{percentBadInput, c.sendBadInput},
		{percentIdle, func() bool { time.Sleep(idleTime); return c.send(1) && c.readAll() }},
	} {
		if draw -= action.percent; draw < 0 {
			return action.run()
		}
	}
	return c.send(1) && c.readAll()
}

// request is a call with its encoded message.
type request struct {
	call  *Call
	id    uint32
	bytes []byte
}

func (c *loadClient) nextCall() request {
	c.lastID++
	call := &Call{ID: fmt.Sprintf("%016x", c.lastCall.Add(1)), Controller: c.controller.index, Connection: c.connName,
		ConnectedAt: c.connectedAt}
	switch draw := c.random.IntN(10); {
	case draw < 3:
		call.Type = typeImport
		call.Key = c.name
		call.Timeout = 3 * time.Second
		if c.random.IntN(longOneIn) == 0 {
			call.Timeout = longTimeout
		}
	case draw < 5:
		call.Type = typeLocal
		call.Timeout = 2 * time.Second
	default:
		call.Type = typeLookup
		call.Timeout = time.Duration(200+c.random.IntN(1800)) * time.Millisecond
	}
	fields := []string{"call", call.ID, "ttl", fmt.Sprint(call.Timeout.Milliseconds()), "org", "one",
		"work", fmt.Sprint(workTime[call.Type].Milliseconds()), "est_mb", "8"}
	if call.Key != "" {
		fields = append(fields, "row", call.Key)
	}
	return request{call, c.lastID, client.AppendCall(nil, c.lastID, call.Type, fields, []byte(statement))}
}

// send sends calls in one write. It reports whether the connection is still usable.
func (c *loadClient) send(count int) bool {
	var requests []request
	var text []byte
	for range count {
		next := c.nextCall()
		requests = append(requests, next)
		text = append(text, next.bytes...)
	}
	if c.conn.IsClosed() {
		return false
	}
	begunAt := time.Now()
	if _, err := c.conn.Conn.Write(text); err != nil {
		return false // it is unknown whether all was sent, so the client resends the calls
	}
	c.recordCalls(begunAt, requests...)
	return true
}

// recordCalls records calls that have just been written. begunAt is when the write of their last bytes began.
func (c *loadClient) recordCalls(begunAt time.Time, requests ...request) {
	now := time.Now()
	for _, r := range requests {
		r.call.BegunAt = begunAt
		r.call.SentAt = now
		r.call.IsFirst = !c.hasSent
		r.call.BatchSize = len(requests)
		r.call.LocalAddress = c.conn.Conn.LocalAddr().String()
		c.open[r.id] = r.call
		c.records.addCall(r.call)
	}
	c.hasSent = true
}

// sendPieces sends a call in three writes. It reports whether the connection is still usable.
func (c *loadClient) sendPieces(r request) bool {
	var begunAt time.Time // of the last piece, before which the call is incomplete
	for i := range 3 {
		if i > 0 {
			time.Sleep(time.Duration(c.random.Int64N(int64(pieceInterval))))
		}
		if c.conn.IsClosed() {
			return false // the call is incomplete
		}
		begunAt = time.Now()
		if _, err := c.conn.Conn.Write(r.bytes[i*len(r.bytes)/3 : (i+1)*len(r.bytes)/3]); err != nil {
			return false
		}
	}
	c.recordCalls(begunAt, r)
	return true
}

// leave sends calls and then disconnects or revokes them, without waiting for answers.
func (c *loadClient) leave() bool {
	if !c.send(1 + c.random.IntN(3)) {
		return false
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(60 * time.Millisecond))))
	switch c.random.IntN(3) {
	case 0:
		c.endOpen(Left)
		_ = c.conn.Conn.Close() // the connection may have been closed
	case 1:
		c.endOpen(Left)
		reset(c.conn.Conn)
	default:
		return c.revokeAll()
	}
	return false
}

func (c *loadClient) revokeAll() bool {
	var text []byte
	for id := range c.open {
		text = client.AppendRevoke(text, id)
	}
	if _, err := c.conn.Conn.Write(text); err != nil {
		c.endOpen(Left) // the client has left in any case
		return false
	}
	c.endOpen(Left)
	return true
}

// unusableMessage is valid MessagePack, but not a message of the protocol.
var unusableMessage = []byte{0x91, 0x01}

// sendBadInput sends calls, followed by invalid input. The calls must still be answered, unless they are revoked after
// the invalid input.
func (c *loadClient) sendBadInput() bool {
	if !c.send(2) {
		return false
	}
	bad := append([]byte{0xc1}, make([]byte, badInputBytes)...)
	switch c.random.IntN(3) {
	case 0:
		next := c.nextCall()
		bad = next.bytes[:len(next.bytes)/2]
	case 1:
		_, _ = c.conn.Conn.Write(unusableMessage) // an error shows at the next write
		c.revokeAll()
		time.Sleep(idleTime) // the client stays connected meanwhile
		return false
	}
	if _, err := c.conn.Conn.Write(bad); err != nil {
		c.recordBroken()
		return false
	}
	c.readAll()
	return false
}

// readAll reads until no call is open, and reports whether the connection is still usable.
func (c *loadClient) readAll() bool {
	for len(c.open) > 0 {
		answer, err := c.conn.Read(readTimeout)
		switch {
		case err == nil:
			c.recordAnswer(answer)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.endOpen(Unanswered)
			return false
		case isBroken(err):
			c.recordBroken()
			return false
		default:
			c.endOpen(Malformed)
			return false
		}
	}
	return true
}

func isBroken(err error) bool {
	var networkError *net.OpError
	return errors.Is(err, io.EOF) || errors.As(err, &networkError)
}

// recordAnswer records an answer. It ignores answers to calls that the client has left, and to invalid messages.
func (c *loadClient) recordAnswer(answer client.Answer) {
	call := c.open[answer.ID]
	if call == nil {
		return
	}
	delete(c.open, answer.ID)
	call.Answers++
	call.EndedAt = time.Now()
	switch answer.Error {
	case "":
		call.Outcome = Served
		if string(answer.Body) != call.ID+"\tb\tc\n" {
			call.Outcome = Malformed
		}
	case "Overloaded":
		call.Outcome = Refused
	default:
		call.Outcome = Failed
	}
}

// recordBroken records that the connection broke. If all open calls were written at once just before, on an idle
// connection, their outcome is Crossed and the client resends them. The check compares them with the reason for the
// close that the controller logged.
func (c *loadClient) recordBroken() {
	for _, call := range c.open {
		if time.Since(call.SentAt) > crossingTime || call.BatchSize < len(c.open) {
			c.endOpen(Broken)
			return
		}
	}
	c.endOpen(Crossed)
}

func (c *loadClient) endOpen(outcome Outcome) {
	now := time.Now()
	for id, call := range c.open {
		call.Outcome = outcome
		call.EndedAt = now
		delete(c.open, id)
	}
}
