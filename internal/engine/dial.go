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
	maxDials           = 3 // attempts for a connection that is reset as soon as it is established
	minDialTimeout     = time.Millisecond
	dialRetryDelay     = 10 * time.Millisecond // after a dial that failed for a reason local to this machine
	minProgressTimeout = 500 * time.Millisecond
)

// answerProgressTimeout returns for how long an answer that has begun may bring nothing more.
func answerProgressTimeout(limits backend.Limits) time.Duration {
	return max(2*limits.DialTimeout, minProgressTimeout)
}

// dial connects within the dial timeout. It dials again if the connection is reset as soon as it is established, and if
// the dial failed for a reason local to this machine.
func (p *Pool) dial(c *conn) (net.Conn, error) {
	deadline := time.Now().Add(p.limits.DialTimeout)
	resets := 0
	for {
		socket, err := p.dialOnce(c.engine.Address, max(minDialTimeout, time.Until(deadline)))
		switch {
		case err == nil:
			return socket, nil
		case errors.Is(err, syscall.ECONNRESET) && resets+1 < maxDials:
			resets++
			counters.Increment("dials_reset")
		case isLocalDialError(err) && time.Until(deadline) > dialRetryDelay && !p.isConnRemoved(c):
			counters.Increment("dials_short")
			time.Sleep(dialRetryDelay)
		default:
			counters.Increment("dials_failed")
			p.dialFailureLog.Warn("dial_failed", "engine", c.engine.Name, "address", c.engine.Address, "reason", err)
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

// isConnRemoved reports whether a connection was removed from the pool, so that nothing waits for its dial.
func (p *Pool) isConnRemoved(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.isRemoved
}

// outcomeOfDial returns what a failed dial proves. The dispatch never ran in any case; only a refused connection proves
// that nothing listens at the address.
func outcomeOfDial(err error) backend.Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return backend.NotConnected
	case isLocalDialError(err):
		return backend.Full
	default:
		return backend.DialFailed
	}
}

// isLocalDialError reports whether a dial failed for a reason local to this machine, a shortage or a rule such as a
// firewall's, which says nothing about the engine.
func isLocalDialError(err error) bool {
	return shortage.IsTransient(err) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EPERM)
}
