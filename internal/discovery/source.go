package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout     = time.Second
	silenceTimeout  = 2500 * time.Millisecond // the feed sends something every second
	firstReconnect  = 100 * time.Millisecond  // delay; doubles each time the feed says nothing
	maxReconnect    = time.Second
	firstLineBuffer = 4 << 10
	maxLine         = 4 << 20 // bytes; a complete list of many engines
)

var errClosedByFeed = errors.New("closed by the feed")

// source is the feed at one address.
type source struct {
	watcher *Watcher
	address string
	ended   chan struct{} // closed once the feed is watched elsewhere
	endOnce sync.Once
}

func (s *source) end() { s.endOnce.Do(func() { close(s.ended) }) }

// isStopped reports whether the source or the watcher has ended.
func (s *source) isStopped() bool {
	select {
	case <-s.watcher.done:
		return true
	case <-s.ended:
		return true
	default:
		return false
	}
}

// run connects again whenever the connection ends, unless the feed has moved away from here.
func (s *source) run() {
	defer s.watcher.running.Done()
	delay := firstReconnect
	isDown := false
	for {
		hasReceived, err := s.follow()
		if s.isStopped() {
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
		case <-s.watcher.done:
			return
		case <-s.ended:
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxReconnect)
	}
}

// follow watches over one connection until that ends, and reports whether an event was received on it.
func (s *source) follow() (hasReceived bool, err error) {
	socket, err := net.DialTimeout("tcp4", s.address, dialTimeout)
	if err != nil {
		return false, err
	}
	stopClosing := s.closeWhenStopped(socket)
	defer stopClosing()
	last, _ := s.watcher.Position()
	extendDeadline(socket)
	if _, err := fmt.Fprintf(socket, "SUB %d\n", last); err != nil {
		return false, err
	}
	lines := bufio.NewScanner(socket)
	lines.Buffer(make([]byte, firstLineBuffer), maxLine)
	for lines.Scan() {
		extendDeadline(socket)
		if err := s.watcher.receive(s, lines.Bytes()); err != nil {
			return hasReceived, err
		}
		hasReceived = true
	}
	if err := lines.Err(); err != nil {
		return hasReceived, err
	}
	return hasReceived, errClosedByFeed
}

// closeWhenStopped closes a connection when the source ends, which ends a read in progress, or the returned function
// is called.
func (s *source) closeWhenStopped(socket net.Conn) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-s.watcher.done:
		case <-s.ended:
		case <-stopped:
		}
		_ = socket.Close() // nothing is written but the subscription
	}()
	return func() {
		close(stopped)
		_ = socket.Close()
	}
}

func extendDeadline(socket net.Conn) {
	_ = socket.SetDeadline(time.Now().Add(silenceTimeout)) // an error shows at the next read
}
