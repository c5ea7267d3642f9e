package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	dialTimeout       = 2 * time.Second         // a lost SYN is retransmitted after a second
	silenceTimeout    = 2500 * time.Millisecond // the feed sends something every second
	lineTimeout       = time.Minute             // for one line: a complete list may come over a slow or congested path
	minReconnectDelay = 100 * time.Millisecond  // doubles after each connection without data
	maxReconnectDelay = time.Second
	initialLineBuffer = 4 << 10 // bytes
	maxLineBytes      = 4 << 20 // holds a complete list of many engines
)

var (
	errClosedByFeed = errors.New("discovery feed closed the connection")
	errNotTCP       = errors.New("discovery feed connection is not TCP")
)

// source is the discovery feed at one address.
type source struct {
	watcher *Watcher
	address string
	stop    context.CancelFunc // called once the feed is watched at another address
}

// run reconnects whenever the connection ends, unless the feed has moved to another address. It ends with the context.
func (s *source) run(ctx context.Context) {
	defer s.watcher.running.Done()
	defer s.stop()
	delay := minReconnectDelay
	isDown := false
	for {
		hasReceived, err := s.watchConnection(ctx)
		if ctx.Err() != nil {
			return
		}
		if hasReceived {
			delay = minReconnectDelay
			isDown = false
		}
		s.watcher.recordLoss(s, !isDown, err)
		isDown = true
		if !s.watcher.isCurrent(s) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(delay)):
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// jittered shortens a delay by up to half at random: all controllers lose the feed at the same time and must not
// reconnect in step.
func jittered(delay time.Duration) time.Duration { return delay - rand.N(delay/2) }

// watchConnection receives events over one connection until that or the context ends, and reports whether a line was
// accepted.
func (s *source) watchConnection(ctx context.Context) (hasReceived bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", s.address)
	if err != nil {
		return false, err
	}
	defer socket.Close()
	stopClosing := context.AfterFunc(ctx, func() { _ = socket.Close() }) // unblocks a pending read
	defer stopClosing()
	reader, err := s.newReader(socket)
	if err != nil {
		return false, err
	}
	defer s.watcher.freshness.remove(reader)
	last, _ := s.watcher.Position()
	if err := socket.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return false, err
	}
	if _, err := fmt.Fprintf(socket, "SUB %d\n", last); err != nil {
		return false, err
	}
	lines := bufio.NewScanner(reader)
	lines.Buffer(make([]byte, initialLineBuffer), maxLineBytes)
	for lines.Scan() {
		reader.resetLineDeadline()
		if err := s.watcher.receive(s, lines.Bytes()); err != nil {
			return hasReceived, err
		}
		hasReceived = true
	}
	return hasReceived, lines.Err()
}

// newReader returns the reader of a connection and adds it to the freshness of the list.
func (s *source) newReader(socket net.Conn) (*feedReader, error) {
	tcp, isTCP := socket.(*net.TCPConn)
	if !isTCP {
		return nil, errNotTCP
	}
	reader, err := newFeedReader(tcp, s.watcher.freshness)
	if err == nil {
		s.watcher.freshness.add(reader)
	}
	return reader, err
}
