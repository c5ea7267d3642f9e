package client

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
)

// Connections that the end of a process finds idle are closed, and the log says so of each. What their clients send
// on them a moment later crosses the close, and must not be told as unread input that was found. The short soak in CI
// showed it: seven calls of one client "crossed a close that its controller does not name idle", as the log looked at
// the connection after it was closed.
func TestTheLogOfACloseSaysWhatWasFoundBeforeIt(t *testing.T) {
	const clients = 200
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	s := newTestServer(t, clients)
	close(s.door.open)
	var wrote sync.WaitGroup
	for range clients {
		c := s.dial()
		if !answersHeartbeat(c) {
			t.Fatal("no answer")
		}
		wrote.Go(func() {
			_, _ = io.Copy(io.Discard, c)
			_, _ = c.Write(callOf(1, "SELECT 1 FROM a_1.b")) // it may be closed for good meanwhile
		})
	}
	s.until("a connection is not closed", s.server.CloseIdle)
	wrote.Wait()
	const nothing = "open_calls=0 unread=false mid_message=false"
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "client_conn_closed") && !strings.Contains(line, nothing) {
			t.Error(line)
		}
	}
}
