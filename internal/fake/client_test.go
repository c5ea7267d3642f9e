package fake

import (
	"net"
	"testing"
	"time"
)

// IsClosed detects that the peer has shut down its side of the connection.
func TestAClientSeesThatItsConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Conn.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if c.IsClosed() {
		t.Error("IsClosed reports an open connection as closed")
	}
	if err := server.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for stop := time.Now().Add(20 * time.Second); !c.IsClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal("IsClosed does not report the closed connection")
		}
	}
}
