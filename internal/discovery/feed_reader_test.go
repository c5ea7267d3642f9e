package discovery

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// newReaderPair returns a reader and the feed's end of its connection.
func newReaderPair(t *testing.T) (*feedReader, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	socket, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	feed, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { feed.Close() })
	fresh := newFreshness(time.Now())
	reader, err := newFeedReader(socket.(*net.TCPConn), fresh)
	if err != nil {
		t.Fatal(err)
	}
	fresh.add(reader)
	return reader, feed
}

// The process is stalled for longer than the silence timeout, and an event arrives meanwhile. When the process resumes,
// the read deadline has passed and the event lies unread; it was dropped with the connection, and calls were sent to a
// draining engine. In a soak run (seed 10036), discovery_lost with an i/o timeout came in the same millisecond as
// process_stalled for 2.1 s, and 81 ms later a call reached an engine that had been listed as draining 981 ms before.
func TestDataReceivedDuringAStallIsReadAfterTheDeadline(t *testing.T) {
	reader, feed := newReaderPair(t)
	if _, err := feed.Write([]byte("41\n")); err != nil {
		t.Fatal(err)
	}
	for stop := time.Now().Add(20 * time.Second); !reader.hasBuffered(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal("no data arrived")
		}
	}
	reader.lineDeadline = time.Now().Add(-time.Second)
	buffer := make([]byte, 100)
	if n, err := reader.Read(buffer); err != nil || string(buffer[:n]) != "41\n" {
		t.Errorf("read %q, %v", buffer[:n], err)
	}
	if _, err := reader.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read with nothing unread: %v", err)
	}
}
