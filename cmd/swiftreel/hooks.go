package main

import "net"

// testHooks lets builds with the tag fault misbehave (see hooks_fault.go). In all other builds every hook is nil.
var testHooks struct {
	beforeListen   func()
	afterStart     func()
	ignoreSnapshot func() bool // do not restore what an older process has learned
	listener       func(net.Listener) net.Listener
}
