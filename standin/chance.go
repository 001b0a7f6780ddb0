package standin

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
)

// chance draws random numbers that repeat with the seed.
type chance struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newChance(seed uint64, name string) *chance {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &chance{source: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

// hit is true with the given probability.
func (c *chance) hit(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.Float64() < probability
}

// shareOf returns a number from 0 up to 1 that depends on the seed and a name
// alone.
func shareOf(seed uint64, name string) float64 {
	return newChance(seed, name).source.Float64()
}
