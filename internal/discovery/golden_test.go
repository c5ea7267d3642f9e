package discovery_test

import (
	"io"
	"net"
	"testing"
	"time"

	"swiftreel/internal/discovery"
)

func TestTheSubscriptionMatchesItsWireFormat(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	f := discovery.Watch(listener.Addr().String(), 41, func(discovery.Event) {})
	defer f.Close()
	nc, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len("SUB 41\n"))
	if n, err := io.ReadFull(nc, got); err != nil || string(got) != "SUB 41\n" {
		t.Errorf("%q %v", got[:n], err)
	}
}
