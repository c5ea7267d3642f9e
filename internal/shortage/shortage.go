// Package shortage recognizes transient system call errors that are caused by the local machine: a shortage of file
// descriptors, memory or ports, a network that is down, an interrupted call or a busy disk. Such errors say nothing
// about the remote peer or the file.
package shortage

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// transient lists the errors.
var transient = []error{
	syscall.EMFILE, syscall.ENFILE, // file descriptors
	syscall.ENOBUFS, syscall.ENOMEM, // memory
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, // addresses and ports
	syscall.ENETUNREACH, syscall.ENETDOWN, // local network
	syscall.EINTR,
	syscall.EIO, syscall.EBUSY, // disk
}

// IsTransient reports whether err is a transient error of the local machine.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transient, func(one error) bool { return errors.Is(err, one) })
}

const retryDelay = 20 * time.Millisecond

// Retry calls a function until it succeeds, fails with an error that is not transient, or the timeout has passed. It
// returns the last error.
func Retry(timeout time.Duration, call func() error) error {
	stop := time.Now().Add(timeout)
	for {
		err := call()
		if err == nil || !IsTransient(err) || time.Now().After(stop) {
			return err
		}
		time.Sleep(retryDelay)
	}
}
