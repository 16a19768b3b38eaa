package bramblelock

// Random numbers that are the same on every platform for the same seed.

// nextRand is splitmix64, a small generator with the same sequence on every platform.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix is the output function of splitmix64, also used to hash host IDs.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// randN is a random number from 0 to n-1.
func (b *Balancer) randN(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

// randFloat is a random number from 0 up to 1.
func (b *Balancer) randFloat() float64 { return float64(b.nextRand()>>11) / (1 << 53) }
