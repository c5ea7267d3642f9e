package discovery_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"swiftreel/internal/discovery"
)

// The feed sends one line so slowly that it takes longer than the silence timeout. The line is received on the first
// connection, as bytes keep arriving.
func TestALineThatComesSlowlyIsReceived(t *testing.T) {
	const (
		pieces   = 20
		interval = 200 * time.Millisecond // 4 s in all; the silence timeout is 2.5 s
	)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	line := fmt.Sprintf(`{"n":1,"members":{"whole":true,"hosts":%s}}`+"\n", hosts)
	connections := make(chan int, 100)
	go func() {
		for count := 1; ; count++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- count
			go writeSlowly(conn, line, pieces, interval)
		}
	}()
	events := make(chan discovery.Event, 1)
	watcher := discovery.Watch(listener.Addr().String(), 0, func(event discovery.Event) { events <- event })
	defer watcher.Close()
	select {
	case event := <-events:
		if event.Number != 1 || len(event.Change.Engines) != 1 {
			t.Errorf("received %+v", event)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no event received")
	}
	if n := len(connections); n != 1 {
		t.Errorf("received on connection %d", n)
	}
}

// writeSlowly writes a line in pieces after the subscription has arrived.
func writeSlowly(conn net.Conn, line string, pieces int, interval time.Duration) {
	defer conn.Close()
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	for i := range pieces {
		time.Sleep(interval)
		piece := line[i*len(line)/pieces : (i+1)*len(line)/pieces]
		if _, err := conn.Write([]byte(piece)); err != nil {
			return
		}
	}
	_, _ = bufio.NewReader(conn).ReadString('\n') // until the watcher closes it
}
