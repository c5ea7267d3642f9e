package engine

import (
	"errors"
	"net"
	"syscall"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

const (
	maxDials        = 3 // of a connection that is reset as soon as it is up
	minDialTimeout  = time.Millisecond
	minCompleteTime = 500 * time.Millisecond
)

// completeWithin is how long an answer that has begun may take to be complete.
func completeWithin(bounds backend.Limits) time.Duration {
	return max(2*bounds.DialTimeout, minCompleteTime)
}

// dial makes the connection of c. A connection that came up and was reset at once says nothing of the engine, unlike
// one that was refused, which makes the engine count as just started; so it is dialled again.
func (p *Pool) dial(c *conn) (net.Conn, error) {
	deadline := time.Now().Add(p.bounds.DialTimeout)
	for try := 1; ; try++ {
		socket, err := p.dialTimeout("tcp4", c.engine.Address, max(minDialTimeout, time.Until(deadline)))
		if err == nil {
			return socket, nil
		}
		if try == maxDials || !errors.Is(err, syscall.ECONNRESET) {
			counters.Increment("dials_failed")
			return nil, err
		}
		counters.Increment("dials_reset")
	}
}

// isOwnShortage reports whether a dial failed because this machine had no descriptor or port left.
func isOwnShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
