package limits

import (
	"testing"

	"swiftreel/internal/config"
)

func TestThePartsStayWithinTheWhole(t *testing.T) {
	var p Parts
	for _, sockets := range []int{64, 100, 256, 1024, 65536} {
		p.Apply(config.Limits{Cores: 0.5, MemoryMB: 192, Sockets: sockets})
		clients, engines := p.ClientConns.Most(), p.EngineConns.Most()
		if clients < sockets/3 || engines < sockets/3 || clients+engines+reserve(sockets) > sockets || reserve(sockets) < 14 {
			t.Errorf("%d sockets: %d for clients, %d for engines", sockets, clients, engines)
		}
	}
	var b Bytes
	b.Allow(10)
	if !b.Take(6) || b.Take(5) || !b.Take(4) || b.Left() != 0 {
		t.Errorf("%d bytes left", b.Left())
	}
	if b.Allow(5); b.Take(1) { // shrunk under what is held
		t.Errorf("%d bytes left", b.Left())
	}
	if b.Give(10); b.Left() != 5 {
		t.Errorf("%d bytes left", b.Left())
	}
}
