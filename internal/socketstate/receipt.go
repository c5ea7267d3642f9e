package socketstate

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ReceiptPrecision is the error of the kernel's time of receipt: it counts in ticks of at most 10 ms.
const ReceiptPrecision = 10 * time.Millisecond

// Interval bounds a time.
type Interval struct{ Earliest, Latest time.Time }

// LastReceipt returns when the machine received the last data on a TCP connection, read or not. The interval is twice
// ReceiptPrecision wide, and wider if this process got no CPU time meanwhile.
func LastReceipt(socket syscall.Conn) (Interval, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return Interval{}, err
	}
	var info *unix.TCPInfo
	var optionErr error
	var before, after time.Time
	controlErr := raw.Control(func(fd uintptr) {
		before = time.Now()
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		after = time.Now()
	})
	if err := errors.Join(controlErr, optionErr); err != nil {
		return Interval{}, err
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	return Interval{Earliest: before.Add(-age - ReceiptPrecision), Latest: after.Add(ReceiptPrecision - age)}, nil
}
