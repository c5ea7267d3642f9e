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
	dialTimeout     = 2 * time.Second         // a SYN that is lost is sent again after a second
	silenceTimeout  = 2500 * time.Millisecond // the feed sends something every second
	lineTimeout     = time.Minute             // of one line: a complete list may come over a slow or crowded way
	firstReconnect  = 100 * time.Millisecond  // delay; doubles each time the feed says nothing
	maxReconnect    = time.Second
	firstLineBuffer = 4 << 10
	maxLine         = 4 << 20 // bytes; a complete list of many engines
)

var (
	errClosedByFeed = errors.New("closed by the feed")
	errNotTCP       = errors.New("the feed's connection is not TCP")
)

// source is the feed at one address.
type source struct {
	watcher *Watcher
	address string
	stop    context.CancelFunc // called once the feed is watched elsewhere
}

// run connects again whenever the connection ends, unless the feed has moved away from here. It ends with the
// context.
func (s *source) run(ctx context.Context) {
	defer s.watcher.running.Done()
	defer s.stop()
	delay := firstReconnect
	isDown := false
	for {
		hasReceived, err := s.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if hasReceived {
			delay = firstReconnect
			isDown = false
		}
		s.watcher.noteLost(s, !isDown, err)
		isDown = true
		if !s.watcher.isCurrent(s) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(delay)):
		}
		delay = min(2*delay, maxReconnect)
	}
}

// jittered shortens a delay by up to half: all controllers lose the feed at once, and must not come back in step.
func jittered(delay time.Duration) time.Duration { return delay - rand.N(delay/2) }

// follow watches over one connection until that or the context ends, and reports whether an event was received on it.
func (s *source) follow(ctx context.Context) (hasReceived bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", s.address)
	if err != nil {
		return false, err
	}
	defer socket.Close()
	stopClosing := context.AfterFunc(ctx, func() { _ = socket.Close() }) // ends a read in progress
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
	lines.Buffer(make([]byte, firstLineBuffer), maxLine)
	for lines.Scan() {
		reader.lineComplete()
		if err := s.watcher.receive(s, lines.Bytes()); err != nil {
			return hasReceived, err
		}
		hasReceived = true
	}
	return hasReceived, lines.Err()
}

// newReader makes the reader of a connection, which counts from now on for how old the list is.
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
