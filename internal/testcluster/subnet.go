package testcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Subnet is a loopback subnet that no other cluster or run on this machine uses, so that a restarted process finds its
// address free.
type Subnet struct {
	prefix string // first three octets
	lock   net.Listener
}

// LockSubnet picks a random unused subnet and locks it until Release.
func LockSubnet() *Subnet {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		lock, err := net.Listen("tcp4", prefix+".250:7000")
		if err == nil {
			return &Subnet{prefix: prefix, lock: lock}
		}
	}
}

// Address returns an address in the subnet. host must be below 250.
func (s *Subnet) Address(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.prefix, host, port) }

// Release unlocks the subnet.
func (s *Subnet) Release() { _ = s.lock.Close() } // the listener accepts no connections, so an error does not matter
