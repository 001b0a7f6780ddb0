package standin

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
)

// randomSource draws random numbers that repeat with the seed.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newRandomSource(seed uint64, name string) *randomSource {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &randomSource{rand: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

// occurs is true with the given probability.
func (c *randomSource) occurs(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64() < probability
}

// seededFraction returns a number from 0 up to 1 that depends on the seed and a name
// alone.
func seededFraction(seed uint64, name string) float64 {
	return newRandomSource(seed, name).rand.Float64()
}
