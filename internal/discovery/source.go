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
	dialTimeout = time.Second
	silence     = 2500 * time.Millisecond // the feed speaks every second
	restFirst   = 100 * time.Millisecond  // before the feed is called again; twice as long each time it says nothing
	restMost    = time.Second
	maxLine     = 4 << 20 // a whole list of many engines
)

// source is the feed at one address.
type source struct {
	f       *Follower
	address string
	over    chan struct{} // closed when the feed speaks elsewhere
	once    sync.Once
	spoke   bool // since it was last called
}

func (s *source) end() { s.once.Do(func() { close(s.over) }) }

// run calls the feed anew whenever it is out of reach, silent, unreadable or has a gap, from the last event on; not
// at a place that it has left.
func (s *source) run() {
	defer s.f.running.Done()
	rest, down := restFirst, false
	for {
		s.spoke = false
		err := s.call()
		select {
		case <-s.f.done:
			return
		case <-s.over:
			return
		default:
		}
		if s.spoke {
			rest, down = restFirst, false
		}
		s.f.lost(s, !down, err)
		if down = true; s.f.left(s) {
			return
		}
		select {
		case <-s.f.done:
			return
		case <-s.over:
			return
		case <-time.After(rest):
		}
		rest = min(2*rest, restMost)
	}
}

// call follows one connection to its end.
func (s *source) call() error {
	nc, err := net.DialTimeout("tcp4", s.address, dialTimeout)
	if err != nil {
		return err
	}
	defer nc.Close()
	read := make(chan struct{})
	defer close(read)
	go func() { // a read in progress ends with the source
		select {
		case <-s.f.done:
		case <-s.over:
		case <-read:
		}
		nc.Close()
	}()
	last, _ := s.f.Last()
	nc.SetDeadline(time.Now().Add(silence))
	if _, err := fmt.Fprintf(nc, "SUB %d\n", last); err != nil {
		return err
	}
	lines := bufio.NewScanner(nc)
	lines.Buffer(make([]byte, 4<<10), maxLine)
	for lines.Scan() {
		nc.SetDeadline(time.Now().Add(silence))
		if err := s.f.hear(s, lines.Bytes()); err != nil {
			return err
		}
		s.spoke = true
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	return errors.New("closed by the feed")
}
