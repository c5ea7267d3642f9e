package ingress

import (
	"syscall"
	"time"
)

// InputClock determines when the input of one connection was received. Only the connection's reader uses it.
type InputClock struct {
	Stalls *StallDetector
	Socket syscall.Conn

	// BufferedSince is the earliest time at which the next input may have been sent, if that precedes the time of the
	// read: input can wait while accepts fail, while there is no capacity, or while reads are delayed. Zero means that
	// input is read as it arrives.
	BufferedSince time.Time
}

// Receipt returns when the input just read may have been received. It clears BufferedSince.
func (c *InputClock) Receipt() Receipt {
	readAt := time.Now()
	earliest := c.Stalls.EarliestSendTime(readAt)
	if !c.BufferedSince.IsZero() && c.BufferedSince.Before(earliest) {
		earliest = c.BufferedSince
	}
	c.BufferedSince = time.Time{}
	bufferedSince := earliest
	if start, stalled := c.Stalls.StalledSince(readAt); stalled && start.Before(earliest) {
		bufferedSince = start
	}
	if readAt.Sub(bufferedSince) < lateReadThreshold {
		return Receipt{Earliest: earliest}
	}
	return newReceipt(c.Socket, earliest, bufferedSince, readAt)
}
