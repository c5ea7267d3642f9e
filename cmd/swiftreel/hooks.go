package main

import "net"

// testHooks injects faults in builds with the tag fault (see hooks_fault.go). In all other builds every hook is nil.
var testHooks struct {
	beforeListen   func()
	afterStart     func()
	ignoreSnapshot func() bool // reports whether to skip the restore of a predecessor's statistics
	listener       func(net.Listener) net.Listener
}
