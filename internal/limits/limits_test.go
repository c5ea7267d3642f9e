package limits

import (
	"testing"

	"swiftreel/internal/config"
)

func TestThePartsStayWithinTheWhole(t *testing.T) {
	for _, sockets := range []int{64, 100, 1024, 65536} {
		p := Apply(config.Limits{Cores: 0.5, MemoryMB: 192, Sockets: sockets})
		if p.ClientConns < sockets/3 || p.EngineConns < sockets/3 || p.ClientConns+p.EngineConns+reserve(sockets) > sockets || reserve(sockets) < 14 {
			t.Errorf("%d sockets: %+v", sockets, p)
		}
	}
	b := NewBytes(10)
	if !b.Take(6) || b.Take(5) || !b.Take(4) || b.Left() != 0 {
		t.Errorf("%d bytes left", b.Left())
	}
	if b.Give(10); b.Left() != 10 {
		t.Errorf("%d bytes left", b.Left())
	}
}
