package main

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/internal/operator"
	"swiftreel/internal/shortage"
)

// listenTimeout is how long startup retries to listen when the address is still in use by an exiting process, or when
// descriptors or memory are short.
const listenTimeout = 5 * time.Second

// listen listens for clients. During an upgrade a supervisor runs a controller's new process beside the old one. Both
// then listen on the same address (shared), and the kernel distributes new connections between them.
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

// listenForClients listens on the address for clients, which is shared if there is a supervisor.
func listenForClients(address string, file operator.File) (net.Listener, error) {
	listener, err := listen(address, file.Stats != nil)
	if err == nil && testHooks.listener != nil {
		listener = testHooks.listener(listener)
	}
	return listener, err
}

func setReusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr)
}
