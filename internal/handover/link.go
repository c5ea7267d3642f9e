package handover

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Link is a connection between two processes of a controller. It is safe for concurrent use, except that only one
// goroutine may call Receive.
type Link struct {
	conn  net.Conn
	lines *bufio.Reader // its buffer bounds the length of a message
	ready chan struct{} // has an element while messages may be queued
	done  chan struct{} // closed by Close

	mu     sync.Mutex
	queue  []Message // not yet written
	closed bool
}

// newLink returns a link over a connection that it owns. input holds what was already read from the connection.
func newLink(conn net.Conn, input *bufio.Reader) *Link {
	_ = conn.SetDeadline(time.Time{}) // fails only if the connection is closed, which the first read detects
	l := &Link{
		conn:  conn,
		lines: input,
		ready: make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	go l.write()
	return l
}

// Send queues a message without waiting. A request that is released before it was written is dropped together with its
// release, so that the queue does not grow while the peer does not read.
func (l *Link) Send(message Message) {
	l.mu.Lock()
	l.queue = enqueue(l.queue, message)
	l.mu.Unlock()
	select {
	case l.ready <- struct{}{}:
	default: // a wake-up is pending
	}
}

// enqueue appends a message to a queue, or removes the request that it makes superfluous.
func enqueue(queue []Message, message Message) []Message {
	if message.Kind == Release && message.PauseNS == 0 {
		isRequest := func(m Message) bool { return m.Kind == Request && m.Job == message.Job && m.Key == message.Key }
		if i := slices.IndexFunc(queue, isRequest); i >= 0 {
			return slices.Delete(queue, i, i+1)
		}
	}
	return append(queue, message)
}

// write writes queued messages until the link is closed or a write fails.
func (l *Link) write() {
	for {
		select {
		case <-l.done:
			return
		case <-l.ready:
		}
		if _, err := l.conn.Write(l.takeQueued()); err != nil {
			l.Close()
			return
		}
	}
}

// takeQueued empties the queue and returns its messages as lines.
func (l *Link) takeQueued() (text []byte) {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, message := range queue {
		line, err := json.Marshal(message)
		if err != nil {
			panic(err) // a Message has only values that JSON can represent
		}
		text = append(append(text, line...), '\n')
	}
	return text
}

// Receive waits for the next message. It returns an error once the connection has ended or carried something else.
func (l *Link) Receive() (Message, error) {
	line, err := l.lines.ReadSlice('\n')
	if err != nil {
		return Message{}, fmt.Errorf("handover: %w", err)
	}
	var message Message
	if err := json.Unmarshal(line, &message); err != nil {
		return Message{}, fmt.Errorf("handover: %w", err)
	}
	return message, nil
}

// Close ends the connection. Receive returns an error from then on.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	_ = l.conn.Close() // the peer only needs to see the end
}
