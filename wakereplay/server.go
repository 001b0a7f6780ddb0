package wakereplay

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/domain"
)

// tier is the fastest storage from which a server can load a checkpoint.
type tier int

const (
	inStore tier = iota
	onDisk
	inMemory
)

// Throughput of a load, by tier.
const (
	storeBytesPerSecond  = domain.Gibibyte
	diskBytesPerSecond   = 4 * domain.Gibibyte
	memoryBytesPerSecond = 16 * domain.Gibibyte
)

// server is a simulated backend server: its free memory and its LRU caches of checkpoints, the
// least recently used first.
type server struct {
	freeMemory   domain.Bytes
	loadedModels int
	diskSlots    int
	memorySlots  int
	disk         []int
	memory       []int
}

func newServers(t *arrivals.Trace) []server {
	var out []server
	for _, s := range t.Servers {
		out = append(out, server{
			freeMemory: s.Memory, diskSlots: s.DiskSlots, memorySlots: s.MemorySlots,
			disk: slices.Clone(s.OnDisk),
		})
	}
	return out
}

func (s *server) tier(m int) tier {
	switch {
	case slices.Contains(s.memory, m):
		return inMemory
	case slices.Contains(s.disk, m):
		return onDisk
	}
	return inStore
}

func (s *server) cacheOnDisk(m int) { s.disk = addToLRU(s.disk, m, s.diskSlots) }

func (s *server) cacheInMemory(m int) { s.memory = addToLRU(s.memory, m, s.memorySlots) }

// addToLRU marks m as the most recently used checkpoint of a cache and drops the least recently
// used beyond the slots.
func addToLRU(cache []int, checkpoint, slots int) []int {
	if i := slices.Index(cache, checkpoint); i >= 0 {
		cache = slices.Delete(cache, i, i+1)
	}
	cache = append(cache, checkpoint)
	if len(cache) > slots {
		cache = slices.Delete(cache, 0, len(cache)-slots)
	}
	return cache
}

// transferTime returns the duration of a load from a tier.
func (r *replay) transferTime(m int, t tier) time.Duration {
	size := float64(r.size(m)) * float64(time.Second)
	switch t {
	case inMemory:
		return time.Duration(size / float64(memoryBytesPerSecond))
	case onDisk:
		return time.Duration(size / float64(diskBytesPerSecond))
	case inStore:
	}
	return time.Duration(size / float64(storeBytesPerSecond) * r.store.options.Slowdown)
}

// StoreOptions describes the throughput of the weight store. A zero field selects the value of the
// real store.
type StoreOptions struct {
	// Slots is the number of concurrent loads at full speed, Spacing the minimum time between
	// the starts of two loads.
	Slots   int
	Spacing time.Duration
	// Slowdown multiplies the duration of each transfer.
	Slowdown float64
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.Spacing == 0 {
		o.Spacing = 200 * time.Millisecond
	}
	if o.Slowdown == 0 {
		o.Slowdown = 1
	}
	return o
}

// store is a simulated weight store with one queue.
type store struct {
	options   StoreOptions
	queue     []int
	active    int
	lastStart time.Duration
	started   bool
}

func (s *store) start(now time.Duration) {
	s.active++
	s.lastStart, s.started = now, true
}
