package socketstate

import (
	"net"
	"testing"
	"time"
)

func TestReadableAndPeerClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener := l.(*net.TCPListener)
	if Readable(listener) {
		t.Error("listener readable without a connection")
	}
	for name, end := range map[string]func(*net.TCPConn){
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"close":      func(c *net.TCPConn) { c.Close() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		eventually(t, name+": waiting connection not detected", func() bool { return Readable(listener) })
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer here.Close()
		conn := here.(*net.TCPConn)
		if PeerClosed(conn) || Readable(conn) {
			t.Error(name + ": close or input reported before it was sent")
		}
		nc.Write([]byte("unread"))
		eventually(t, name+": unread input not detected", func() bool { return Readable(conn) })
		if PeerClosed(conn) {
			t.Error(name + ": reported closed although only input was sent")
		}
		end(nc.(*net.TCPConn))
		eventually(t, name+": close after unread input not detected", func() bool { return PeerClosed(conn) })
		conn.Close()
		if !PeerClosed(conn) {
			t.Error(name + ": local close not detected")
		}
	}
}

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for stop := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal(failure)
		}
	}
}
