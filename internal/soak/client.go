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
	readTimeout   = 20 * time.Second // over any job timeout and any pause of a controller
	longTimeout   = 12 * time.Second // longer than a controller is left after SIGTERM
	longOneIn     = 4                // imports
	connectDelay  = 20 * time.Millisecond
	thinkTime     = 60 * time.Millisecond // mean, between two turns of a client
	idleTime      = 700 * time.Millisecond
	pieceInterval = 40 * time.Millisecond
	statement     = "SELECT 1 FROM a_1.b"
	badInputBytes = 64 << 10 // more than a controller reads of what it cannot use

	// crossingTime is how shortly before the end of a resting connection a call may be sent that its client sends
	// again.
	crossingTime = 50 * time.Millisecond
)

// Parts of a turn, of a hundred.
const (
	partPipeline = 20 // several calls at once
	partPieces   = 10 // a call in pieces
	partLeave    = 12 // the client leaves early
	partBadInput = 6  // input that cannot be read, behind calls that are open
	partIdle     = 4  // the connection rests, and is used again
)

// loadClient is one client: it connects again and again, and takes turns on each connection. It belongs to one
// goroutine.
type loadClient struct {
	name       string
	controller *Controller
	records    *Records
	random     *rand.Rand
	isStopped  func() bool
	lastCall   *atomic.Uint64

	conn     *fake.Client
	connName string
	since    time.Time // of the connection
	conns    int
	lastID   uint32
	open     map[uint32]*Call
	hasSent  bool // on this connection
}

// run goes on until stopped.
func (c *loadClient) run() {
	for !c.isStopped() {
		if !c.controller.acceptsConnections() || !c.connect() {
			time.Sleep(connectDelay)
			continue
		}
		c.use()
		_ = c.conn.Conn.Close() // it may have ended
	}
}

func (c *loadClient) connect() bool {
	conn, err := fake.Dial(c.controller.address)
	if err != nil {
		return false
	}
	c.conns++
	c.conn = conn
	c.since = time.Now()
	c.connName = fmt.Sprintf("%s-%d", c.name, c.conns)
	c.lastID = 0
	c.open = map[uint32]*Call{}
	c.hasSent = false
	return true
}

// use takes turns on the connection until it ends, or the controller is about to.
func (c *loadClient) use() {
	for !c.isStopped() && c.controller.acceptsRequests() {
		if !c.turn(c.random.IntN(100)) {
			return
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
	}
}

// turn takes one turn, and reports whether the connection goes on.
func (c *loadClient) turn(draw int) bool {
	for _, kind := range []struct {
		part int
		take func() bool
	}{
		{partPipeline, func() bool { return c.send(2+c.random.IntN(6)) && c.readAll() }},
		{partPieces, func() bool { return c.sendPieces(c.nextCall()) && c.readAll() }},
		{partLeave, c.leave},
		{partBadInput, c.badInput},
		{partIdle, func() bool { time.Sleep(idleTime); return c.send(1) && c.readAll() }},
	} {
		if draw -= kind.part; draw < 0 {
			return kind.take()
		}
	}
	return c.send(1) && c.readAll()
}

// request is a call with its bytes.
type request struct {
	call  *Call
	id    uint32
	bytes []byte
}

func (c *loadClient) nextCall() request {
	c.lastID++
	call := &Call{ID: fmt.Sprintf("%016x", c.lastCall.Add(1)), Controller: c.controller.index, Connection: c.connName,
		ConnectedAt: c.since}
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

// send sends calls at once.
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
		return false // whether it went out whole is not known: the client sends it again
	}
	c.recordCalls(begunAt, requests...)
	return true
}

// recordCalls records calls whose last byte was just written.
func (c *loadClient) recordCalls(begunAt time.Time, requests ...request) {
	now := time.Now()
	for _, r := range requests {
		r.call.BegunAt = begunAt
		r.call.SentAt = now
		r.call.IsFirst = !c.hasSent
		r.call.SentWith = len(requests)
		r.call.LocalAddress = c.conn.Conn.LocalAddr().String()
		c.open[r.id] = r.call
		c.records.addCall(r.call)
	}
	c.hasSent = true
}

// sendPieces sends a call in three pieces.
func (c *loadClient) sendPieces(r request) bool {
	var begunAt time.Time // of the last piece: before it the call is not whole
	for i := range 3 {
		if i > 0 {
			time.Sleep(time.Duration(c.random.Int64N(int64(pieceInterval))))
		}
		if c.conn.IsClosed() {
			return false // it was not whole
		}
		begunAt = time.Now()
		if _, err := c.conn.Conn.Write(r.bytes[i*len(r.bytes)/3 : (i+1)*len(r.bytes)/3]); err != nil {
			return false
		}
	}
	c.recordCalls(begunAt, r)
	return true
}

// leave sends calls and leaves before they are answered, or revokes them.
func (c *loadClient) leave() bool {
	if !c.send(1 + c.random.IntN(3)) {
		return false
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(60 * time.Millisecond))))
	switch c.random.IntN(3) {
	case 0:
		c.endOpen(Left)
		_ = c.conn.Conn.Close() // it may have ended
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
		c.endOpen(Left) // it has gone in any case
		return false
	}
	c.endOpen(Left)
	return true
}

// unusableMessage is MessagePack, and no message of the protocol.
var unusableMessage = []byte{0x91, 0x01}

// badInput sends calls, and behind them what cannot be read. The calls are owed their answers, unless they are
// revoked behind it.
func (c *loadClient) badInput() bool {
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
		time.Sleep(idleTime) // until then it has not left
		return false
	}
	if _, err := c.conn.Conn.Write(bad); err != nil {
		c.noteBroken()
		return false
	}
	c.readAll()
	return false
}

// readAll reads until no call is open, and reports whether the connection goes on.
func (c *loadClient) readAll() bool {
	for len(c.open) > 0 {
		answer, err := c.conn.Read(readTimeout)
		switch {
		case err == nil:
			c.noteAnswer(answer)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.endOpen(Unanswered)
			return false
		case isBroken(err):
			c.noteBroken()
			return false
		default:
			c.endOpen(Unreadable)
			return false
		}
	}
	return true
}

func isBroken(err error) bool {
	var networkError *net.OpError
	return errors.Is(err, io.EOF) || errors.As(err, &networkError)
}

// noteAnswer records an answer. One to a call that the client has left, or to a message that could not be read, is
// none that it waits for.
func (c *loadClient) noteAnswer(answer client.Answer) {
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
			call.Outcome = Unreadable
		}
	case "Overloaded":
		call.Outcome = Refused
	default:
		call.Outcome = Failed
	}
}

// noteBroken records the end of the connection. Calls written at once on a resting connection just before are sent
// again; the check holds them against what the controller says of the connection.
func (c *loadClient) noteBroken() {
	for _, call := range c.open {
		if time.Since(call.SentAt) > crossingTime || call.SentWith < len(c.open) {
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
