//go:build fault

package main

import (
	"net"

	"swiftreel/internal/failpoint"
)

func init() {
	testHooks.beforeListen = failpoint.DelayStart
	testHooks.afterStart = failpoint.StartFaults
	testHooks.ignoreSnapshot = failpoint.IgnoreSnapshot
	testHooks.listener = func(l net.Listener) net.Listener { return failingListener{l.(*net.TCPListener)} }
}

// failingListener is a listener whose Accept fails while a fault is injected.
type failingListener struct{ *net.TCPListener }

// Accept accepts a connection, or returns the injected error.
func (l failingListener) Accept() (net.Conn, error) {
	if err := failpoint.SyscallError("accept"); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}
