package choice

// pcg is a permuted congruential generator (XSH RR 64/32).
type pcg uint64

func (p *pcg) next() uint32 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x, rot := uint32(((s>>18)^s)>>27), uint32(s>>59)
	return x>>rot | x<<(-rot&31)
}

func (p *pcg) unit() float64 { return float64(p.next()) / (1 << 32) }
