package choice

// pcg is a permuted congruential generator (XSH RR 64/32).
type pcg uint64

func (p *pcg) next() uint32 {
	state := uint64(*p)
	*p = pcg(state*6364136223846793005 + 1442695040888963407)
	shifted := uint32(((state >> 18) ^ state) >> 27)
	rotation := uint32(state >> 59)
	return shifted>>rotation | shifted<<(-rotation&31)
}

// float64 returns a random number in [0, 1).
func (p *pcg) float64() float64 { return float64(p.next()) / (1 << 32) }
