package engine

import (
	"errors"
	"net"
	"syscall"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/shortage"
)

const (
	maxDials        = 3 // of a connection that is reset as soon as it is up
	minDialTimeout  = time.Millisecond
	dialRetryDelay  = 10 * time.Millisecond // after a dial that this machine could not make
	minCompleteTime = 500 * time.Millisecond
)

// completeWithin is how long an answer that has begun may take to be complete.
func completeWithin(bounds backend.Limits) time.Duration {
	return max(2*bounds.DialTimeout, minCompleteTime)
}

// dial makes the connection of c within the dial timeout. It dials again where a connection came up and was reset at
// once, and where this machine could not make the dial.
func (p *Pool) dial(c *conn) (net.Conn, error) {
	deadline := time.Now().Add(p.bounds.DialTimeout)
	resets := 0
	for {
		socket, err := p.dialOnce(c.engine.Address, max(minDialTimeout, time.Until(deadline)))
		switch {
		case err == nil:
			return socket, nil
		case errors.Is(err, syscall.ECONNRESET) && resets+1 < maxDials:
			resets++
			counters.Increment("dials_reset")
		case isOwnShortage(err) && time.Until(deadline) > dialRetryDelay && !p.hasRemoved(c):
			counters.Increment("dials_short")
			time.Sleep(dialRetryDelay)
		default:
			counters.Increment("dials_failed")
			p.dialsFailed.Warn("dial_failed", "engine", c.engine.Name, "address", c.engine.Address, "reason", err)
			return nil, err
		}
	}
}

func (p *Pool) dialOnce(address string, timeout time.Duration) (net.Conn, error) {
	if testHooks.dialError != nil {
		if err := testHooks.dialError(); err != nil {
			return nil, err
		}
	}
	return p.dialTimeout("tcp4", address, timeout)
}

// hasRemoved reports whether a connection was removed: nobody waits for it any more.
func (p *Pool) hasRemoved(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.isRemoved
}

// outcomeOfDial tells what a failed dial proves. In each case nothing ran; only a refusal shows that nobody listens.
func outcomeOfDial(err error) backend.Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return backend.NotConnected
	case isOwnShortage(err):
		return backend.Full
	default:
		return backend.DialFailed
	}
}

// isOwnShortage reports whether this machine could not make a dial, also by rules of its own: that says nothing of the
// engine.
func isOwnShortage(err error) bool {
	return shortage.Is(err) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EPERM)
}
