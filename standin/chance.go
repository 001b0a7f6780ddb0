package standin

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
)

// randomSource is a random generator with a seed, safe for concurrent use.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// newRandomSource derives an independent sequence for name from the seed.
func newRandomSource(seed uint64, name string) *randomSource {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &randomSource{rand: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

// occurs returns true with the given probability.
func (r *randomSource) occurs(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Float64() < probability
}

// seededFraction returns a number in [0, 1) that depends only on the seed and the name.
func seededFraction(seed uint64, name string) float64 {
	return newRandomSource(seed, name).rand.Float64()
}
