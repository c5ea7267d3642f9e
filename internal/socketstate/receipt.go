package socketstate

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ReceiptPrecision bounds the error of LastReceiptAge: the kernel counts in ticks of at most 10 ms.
const ReceiptPrecision = 10 * time.Millisecond

// LastReceiptAge returns how long ago the machine received the last data on a TCP connection, read or not.
func LastReceiptAge(socket syscall.Conn) (time.Duration, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(controlErr, optionErr); err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}
