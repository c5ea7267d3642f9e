// Package shortage tells errors of system calls by which this machine could not do for a moment what it was asked:
// descriptors, memory or ports were short, its network was down, a call was interrupted. They pass, and say nothing of
// whom the call was about.
package shortage

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// passing are the errors.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, // descriptors
	syscall.ENOBUFS, syscall.ENOMEM, // memory
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, // addresses and ports
	syscall.ENETUNREACH, syscall.ENETDOWN, // the machine's own network
	syscall.EINTR,
	syscall.EIO, syscall.EBUSY, // its disk
}

// Is reports whether an error is one that passes.
func Is(err error) bool {
	return slices.ContainsFunc(passing, func(one error) bool { return errors.Is(err, one) })
}

const retryDelay = 20 * time.Millisecond

// Retry calls a function again and again while its error is one that passes, until a timeout is over. It returns the
// last error.
func Retry(timeout time.Duration, call func() error) error {
	stop := time.Now().Add(timeout)
	for {
		err := call()
		if err == nil || !Is(err) || time.Now().After(stop) {
			return err
		}
		time.Sleep(retryDelay)
	}
}
