package main

import (
	"net"
	"testing"
	"time"
)

// Startup waits for an address that an exiting process still uses.
func TestAStartWaitsForItsAddress(t *testing.T) {
	before, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := before.Addr().String()
	type result struct {
		listener net.Listener
		err      error
	}
	started := make(chan result, 1)
	go func() {
		listener, err := listen(address, false)
		started <- result{listener, err}
	}()
	select {
	case r := <-started:
		t.Fatalf("it did not wait: %v", r.err)
	case <-time.After(100 * time.Millisecond):
	}
	_ = before.Close()
	r := <-started
	if r.err != nil {
		t.Fatal(r.err)
	}
	_ = r.listener.Close()
}
