package engine_test

import (
	"io"
	"net"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/engine"
	"swiftreel/internal/limits"
)

// wirePeer is an engine that compares the bytes it receives with those expected.
type wirePeer struct {
	t  *testing.T
	nc net.Conn
}

func (p *wirePeer) expect(want string) {
	p.t.Helper()
	if err := p.nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		p.t.Fatal(err)
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(p.nc, got); err != nil || string(got) != want {
		p.t.Fatalf("received %q, %v, want %q", got[:n], err, want)
	}
}

func (p *wirePeer) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.nc, text); err != nil {
		p.t.Fatal(err)
	}
}

func TestCommandsMatchTheirWireFormat(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	bounds := backend.Limits{
		DialTimeout:    5 * time.Second,
		IdleTimeout:    time.Minute,
		StreamsPerConn: 100,
		Conns:          new(limits.Limit),
		ResultBytes:    new(limits.Bytes),
	}
	bounds.Conns.Store(1)
	bounds.ResultBytes.SetCapacity(resultMemory)
	pool := engine.NewPool(bounds)
	defer pool.Close()
	host := backend.Host{Name: "e1", Address: listener.Addr().String()}
	replies := make(chan backend.Reply, 10)
	reply := func(r backend.Reply) { replies <- r }
	expectOutcome := func(end backend.Outcome) backend.Reply {
		t.Helper()
		select {
		case r := <-replies:
			if r.Outcome != end {
				t.Fatalf("%+v instead of %d", r, end)
			}
			return r
		case <-time.After(20 * time.Second):
			t.Fatalf("no outcome %d", end)
		}
		return backend.Reply{}
	}

	pool.Probe(host, true, time.Minute, reply)
	nc, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	peer := &wirePeer{t, nc}
	peer.expect("stats t1\r\n")
	peer.send("t1 well load=inflight:7;util:0.61 0\r\n\r\n")
	if r := expectOutcome(backend.Done); r.Load != "inflight:7;util:0.61" {
		t.Errorf("%+v", r)
	}
	pool.Probe(host, false, time.Minute, reply)
	peer.expect("alive t2\r\n")
	peer.send("t2 well - 0\r\n\r\n")
	expectOutcome(backend.Done)

	first := pool.Start(host, backend.Request{
		ID:        []byte("9b1f03aa5c7e2d41"),
		Type:      []byte("report"),
		Statement: []byte("SELECT 1"),
		Priority:  2,
		DecidedAt: time.Now(),
		Gate:      openGate(1500),
	}, reply)
	peer.expect("fetch 9b1f03aa5c7e2d41 c=report,w=1500,urgency=2 8\r\nSELECT 1\r\n")
	peer.send("9b1f03aa5c7e2d41 news note=frac,val=0.5 0\r\n\r\n")
	expectOutcome(backend.Running)
	first.SetPriority(4)
	peer.expect("renice 9b1f03aa5c7e2d41 4\r\n")
	peer.send("9b1f03aa5c7e2d41 data sheets=3,toil=35,room=76 6\r\na\tb\tc\n\r\n")
	peer.expect("more 9b1f03aa5c7e2d41 1\r\nmore 9b1f03aa5c7e2d41 2\r\n")
	peer.send("9b1f03aa5c7e2d41 page sheet=2 6\r\ng\th\ti\n\r\n9b1f03aa5c7e2d41 page sheet=1 6\r\nd\te\tf\n\r\n")
	peer.expect("done 9b1f03aa5c7e2d41\r\n")
	pool.Release(expectOutcome(backend.Done).Pages)

	second := pool.Start(host, backend.Request{
		ID:             []byte("00000000000000ff"),
		Type:           []byte("import"),
		IdempotencyKey: []byte("key-7"),
		GrantMB:        12.5,
		DecidedAt:      time.Now(),
		Gate:           openGate(0),
	}, reply)
	peer.expect("fetch 00000000000000ff c=import,w=0,allot=13,urgency=0,i=key-7 0\r\n\r\n")
	cancelled := make(chan struct{})
	if !second.Cancel(func() { close(cancelled) }) {
		t.Fatal("the dispatch had already ended")
	}
	peer.expect("abort 00000000000000ff\r\nmore 00000000000000ff 1\r\n")
	peer.send("00000000000000ff failed - 0\r\n\r\n")
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the cancellation was not confirmed")
	}
}

func TestAnswersMatchTheirWireFormat(t *testing.T) {
	data := engine.AppendAnswer(nil, "a1", "data", "sheets=1,toil=3", []byte("a\tb\tc\n"))
	full := engine.AppendAnswer(nil, "a1", "full", "", nil)
	for want, got := range map[string][]byte{
		"a1 data sheets=1,toil=3 6\r\na\tb\tc\n\r\n": data,
		"a1 full - 0\r\n\r\n":                        full,
	} {
		if string(got) != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
