package client

import (
	"syscall"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/socketstate"
)

// lateReadThreshold is the delay from which on input counts as read late. Clients keep a greater distance between calls
// that depend on their order.
const lateReadThreshold = 20 * time.Millisecond

// receipt says when a call may have been received.
type receipt struct {
	earliest time.Time // lower bound, for the client's timeout
	isLate   bool      // the call was read late, and the bounds are set
	after    time.Time // bounds, for the order of calls on different connections
	before   time.Time
}

// newReceipt returns the receipt of all input read at a time from a socket, which may have lain unread since an earlier
// time. earliest is a lower bound of when it was sent, provided that it was read in time after all. The kernel tells
// when the last of it was received.
func newReceipt(socket syscall.Conn, earliest, bufferedSince, readAt time.Time) receipt {
	late := receipt{earliest: earliest, isLate: true, after: bufferedSince, before: readAt}
	age, err := socketstate.LastReceiptAge(socket)
	if err != nil {
		counters.Increment("receipt_times_unknown")
	}
	isInTime := readAt.Sub(earliest) < lateReadThreshold && age < lateReadThreshold
	if isInTime {
		return receipt{earliest: earliest}
	}
	if received := readAt.Add(socketstate.ReceiptPrecision - age); err == nil && received.Before(readAt) {
		late.before = received
	}
	if lower := late.lastReceivedAfter(); lower.Before(late.earliest) {
		late.earliest = lower
	}
	return late
}

// lastReceivedAfter returns a lower bound of when the last input was received.
func (r receipt) lastReceivedAfter() time.Time {
	return r.before.Add(-2 * socketstate.ReceiptPrecision)
}

// ofMessage returns the receipt of a message. If it is the last of all input, its end was received last. The bounds of
// other messages end where those of the last begin.
func (r receipt) ofMessage(isLast bool) receipt {
	boundary := r.lastReceivedAfter()
	switch {
	case !boundary.After(r.after):
	case isLast:
		r.after = boundary
	default:
		r.before = boundary
	}
	return r
}
