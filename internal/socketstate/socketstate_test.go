package socketstate

import (
	"net"
	"testing"
	"time"
)

func TestWhatIsSeenOfASocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener := l.(*net.TCPListener)
	if Readable(listener) {
		t.Error("nobody waits to be accepted")
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
		eventually(t, name+": who waits is not seen", func() bool { return Readable(listener) })
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer here.Close()
		conn := here.(*net.TCPConn)
		if PeerClosed(conn) || Readable(conn) {
			t.Error(name + ": seen before it came")
		}
		nc.Write([]byte("unread"))
		eventually(t, name+": what is unread is not seen", func() bool { return Readable(conn) })
		if PeerClosed(conn) {
			t.Error(name + ": closed, with something unread")
		}
		end(nc.(*net.TCPConn))
		eventually(t, name+": not seen behind what is unread", func() bool { return PeerClosed(conn) })
		conn.Close()
		if !PeerClosed(conn) {
			t.Error(name + ": not closed, though we closed it")
		}
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for stop := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal(what)
		}
	}
}
