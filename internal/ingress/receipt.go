package ingress

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

// Receipt says when a call may have been received.
type Receipt struct {
	Earliest time.Time // lower bound, for the client's timeout
	IsLate   bool      // the call was read late, and the bounds are set
	After    time.Time // bounds, for the order of calls on different connections
	Before   time.Time
	last     socketstate.Interval // receipt of the last of the input
}

// newReceipt returns the receipt of all input read at a time from a socket, which may have lain unread since an earlier
// time. earliest is a lower bound of when it was sent, provided that it was read in time after all. The kernel tells
// when the last of it was received.
func newReceipt(socket syscall.Conn, earliest, bufferedSince, readAt time.Time) Receipt {
	last, err := socketstate.LastReceipt(socket)
	if err != nil {
		counters.Increment("receipt_times_unknown")
		last = socketstate.Interval{Earliest: earliest, Latest: readAt}
	}
	isInTime := readAt.Sub(earliest) < lateReadThreshold && readAt.Sub(last.Earliest) < maxReceiptAge
	if isInTime {
		return Receipt{Earliest: earliest}
	}
	last.Latest = earlierOf(last.Latest, readAt)
	return Receipt{Earliest: earlierOf(earliest, last.Earliest), IsLate: true, After: bufferedSince, Before: last.Latest,
		last: last}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// OfMessage returns the receipt of a message. If it is the last of all input, its end was received last. The bounds of
// other messages end where those of the last begin, unless these are too far apart to tell which came first.
func (r Receipt) OfMessage(isLast bool) Receipt {
	switch {
	case !r.last.Earliest.After(r.After):
	case isLast:
		r.After = r.last.Earliest
	case r.last.Latest.Sub(r.last.Earliest) < maxReceiptAge:
		r.Before = r.last.Earliest
	}
	return r
}
