package limits

import (
	"testing"

	"swiftreel/internal/config"
)

func TestBudgetStaysWithinTheLimits(t *testing.T) {
	var p Budget
	for _, sockets := range []int{64, 100, 256, 1024, 65536} {
		p.Apply(config.Limits{Cores: 0.5, MemoryMB: 192, Descriptors: sockets})
		clients, engines := p.ClientConns.Max(), p.EngineConns.Max()
		if clients < sockets/3 || engines < sockets/3 || clients+engines+reservedDescriptors(sockets) > sockets ||
			reservedDescriptors(sockets) < 14 {
			t.Errorf("%d sockets: %d for clients, %d for engines", sockets, clients, engines)
		}
	}
	var b Bytes
	b.SetCapacity(10)
	if !b.Reserve(6) || b.Reserve(5) || !b.Reserve(4) || b.Available() != 0 {
		t.Errorf("%d bytes left", b.Available())
	}
	if b.SetCapacity(5); b.Reserve(1) { // capacity lowered below what is reserved
		t.Errorf("%d bytes left", b.Available())
	}
	if b.Release(10); b.Available() != 5 {
		t.Errorf("%d bytes left", b.Available())
	}
}
