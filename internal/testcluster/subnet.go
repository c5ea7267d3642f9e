package testcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Subnet is a loopback network that no other cluster or run on this machine has, so that a process that starts again
// finds its address free.
type Subnet struct {
	prefix string // first three parts of its addresses
	lock   net.Listener
}

// LockSubnet chooses one. Release gives it back.
func LockSubnet() *Subnet {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		lock, err := net.Listen("tcp4", prefix+".250:7000")
		if err == nil {
			return &Subnet{prefix: prefix, lock: lock}
		}
	}
}

// Address is an address in it, of a host below 250.
func (s *Subnet) Address(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.prefix, host, port) }

// Release gives the network back.
func (s *Subnet) Release() { _ = s.lock.Close() } // nothing was ever accepted
