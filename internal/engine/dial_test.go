package engine

import (
	"net"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/limits"
)

// Seen on sockets: 37 dials of a day came up and were reset at once; told as refused, each had an engine that served
// well taken for just started, and four fifths of the fleet lay idle.
func TestADialThatIsResetIsNoRefusal(t *testing.T) {
	p := NewPool(backend.Limits{
		DialTimeout:    time.Second,
		IdleTimeout:    time.Minute,
		StreamsPerConn: 1,
		Conns:          new(limits.Count),
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

// The time-outs of a program that stood still all fire at once, before it has read what came meanwhile.
func TestALateTimerLetsBufferedAnswersBeReadFirst(t *testing.T) {
	called := make(chan bool, 2)
	callWhenRead(time.Now().Add(-time.Second), func() { called <- true })
	if len(called) > 0 {
		t.Error("called at once, a second late")
	}
	<-called
	callWhenRead(time.Now(), func() { called <- true })
	if len(called) != 1 {
		t.Error("not called in time")
	}
}
