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

// maxReceiptAge is lateReadThreshold plus the error of the kernel's time.
const maxReceiptAge = lateReadThreshold + 2*socketstate.ReceiptPrecision

// receipt says when a call may have been received.
type receipt struct {
	earliest time.Time // lower bound, for the client's timeout
	isLate   bool      // the call was read late, and the bounds are set
	after    time.Time // bounds, for the order of calls on different connections
	before   time.Time
	last     socketstate.Interval // receipt of the last of the input
}

// newReceipt returns the receipt of all input read at a time from a socket, which may have lain unread since an earlier
// time. earliest is a lower bound of when it was sent, provided that it was read in time after all. The kernel tells
// when the last of it was received.
func newReceipt(socket syscall.Conn, earliest, bufferedSince, readAt time.Time) receipt {
	last, err := socketstate.LastReceipt(socket)
	if err != nil {
		counters.Increment("receipt_times_unknown")
		last = socketstate.Interval{Earliest: earliest, Latest: readAt}
	}
	isInTime := readAt.Sub(earliest) < lateReadThreshold && readAt.Sub(last.Earliest) < maxReceiptAge
	if isInTime {
		return receipt{earliest: earliest}
	}
	last.Latest = earlierOf(last.Latest, readAt)
	return receipt{earliest: earlierOf(earliest, last.Earliest), isLate: true, after: bufferedSince, before: last.Latest,
		last: last}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ofMessage returns the receipt of a message. If it is the last of all input, its end was received last. The bounds of
// other messages end where those of the last begin, unless these are too far apart to tell which came first.
func (r receipt) ofMessage(isLast bool) receipt {
	switch {
	case !r.last.Earliest.After(r.after):
	case isLast:
		r.after = r.last.Earliest
	case r.last.Latest.Sub(r.last.Earliest) < maxReceiptAge:
		r.before = r.last.Earliest
	}
	return r
}
