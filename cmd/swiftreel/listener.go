package main

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/internal/shortage"
)

// listenTimeout is how long a start waits for its address, which a process that is just ending may still have, and for
// descriptors and memory.
const listenTimeout = 5 * time.Second

// listen listens for clients. A supervisor starts a new process of a controller beside the old one; then both share the
// address for a while, and the kernel gives each new connection to one of them.
func listen(address string, shared bool) (net.Listener, error) {
	var listenConfig net.ListenConfig
	if shared {
		listenConfig.Control = setReusePort
	}
	var listener net.Listener
	err := shortage.Retry(listenTimeout, func() (err error) {
		listener, err = listenConfig.Listen(context.Background(), "tcp4", address)
		return err
	})
	return listener, err
}

func setReusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr)
}
