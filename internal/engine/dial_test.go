package engine

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/limits"
)

// On real sockets, 37 dials in a day were reset as soon as they were established. Reported as refused, each made a
// healthy engine count as just started, and four fifths of the fleet stayed idle.
func TestADialThatIsResetIsNoRefusal(t *testing.T) {
	p := NewPool(backend.Limits{
		DialTimeout:    time.Second,
		IdleTimeout:    time.Minute,
		StreamsPerConn: 1,
		Conns:          new(limits.Limit),
		ResultBytes:    new(limits.Bytes),
	})
	defer p.Close()
	for name, c := range map[string]struct {
		ends  []error
		tries int
		good  bool
	}{
		"reset twice":  {[]error{syscall.ECONNRESET, syscall.ECONNRESET, nil}, 3, true},
		"always reset": {[]error{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET, nil}, 3, false},
		"refused":      {[]error{syscall.ECONNREFUSED, nil}, 1, false},
	} {
		tries := 0
		p.dialTimeout = func(string, string, time.Duration) (net.Conn, error) {
			err := c.ends[tries]
			if tries++; err != nil {
				return nil, &net.OpError{Op: "dial", Err: err}
			}
			one, other := net.Pipe()
			other.Close()
			return one, nil
		}
		if nc, err := p.dial(&conn{pool: p}); tries != c.tries || (err == nil) != c.good || (nc != nil) != c.good {
			t.Errorf("%s: %d tries, %v", name, tries, err)
		}
	}
}

// After a stall of the process all timers fire at once, before it has read what arrived meanwhile.
func TestALateTimerLetsBufferedAnswersBeReadFirst(t *testing.T) {
	called := make(chan bool, 2)
	fireTimeout(time.Now().Add(-time.Second), func() { called <- true })
	if len(called) > 0 {
		t.Error("called at once although the timer was a second late")
	}
	<-called
	fireTimeout(time.Now(), func() { called <- true })
	if len(called) != 1 {
		t.Error("not called at once although the timer was on time")
	}
}

// A dial that fails for a local reason is retried within the dial timeout. Only a refusal proves that nothing listens
// at the engine: when other failures counted as refusals, a healthy engine was taken for one that had just started.
func TestOnlyARefusedDialIsARefusal(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		err   error
		ends  backend.Outcome
		again bool
	}{
		{syscall.ECONNREFUSED, backend.NotConnected, false},
		{syscall.ETIMEDOUT, backend.DialFailed, false},
		{syscall.EHOSTUNREACH, backend.DialFailed, false},
		{syscall.ECONNABORTED, backend.DialFailed, false},
		{timeout, backend.DialFailed, false},
		{syscall.EMFILE, backend.Full, true},
		{syscall.ENFILE, backend.Full, true},
		{syscall.ENOBUFS, backend.Full, true},
		{syscall.ENOMEM, backend.Full, true},
		{syscall.EAGAIN, backend.Full, true},
		{syscall.EADDRNOTAVAIL, backend.Full, true},
		{syscall.ENETUNREACH, backend.Full, true},
		{syscall.EACCES, backend.Full, true},
		{syscall.EPERM, backend.Full, true},
	} {
		for _, isFailingOnce := range []bool{false, true} {
			w := newHarness(t)
			dial := w.pool.dialTimeout
			failed := 0
			w.pool.limits.DialTimeout = 5 * dialRetryDelay
			w.pool.dialTimeout = func(network, address string, limit time.Duration) (net.Conn, error) {
				failed++
				if isFailingOnce && failed > 1 {
					return dial(network, address, limit)
				}
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.err)}
			}
			w.start("a", time.Time{})
			if isFailingOnce && c.again {
				w.peer.nextFetch(t).conn.Write(AppendAnswer(nil, "a", "full", "", nil))
			}
			w.expectOutcome(c.ends)
			if c.again != (failed > 1) {
				t.Errorf("%v: %d dials", c.err, failed)
			}
		}
	}
}
