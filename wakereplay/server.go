package wakereplay

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/domain"
)

// tier is where a checkpoint is nearest.
type tier int

const (
	remote tier = iota
	onDisk
	inMemory
)

// Bytes that a load takes in a second, by tier.
const (
	remotePace = domain.Gibibyte
	diskPace   = 4 * domain.Gibibyte
	memoryPace = 16 * domain.Gibibyte
)

// server is a fake engine: its free memory and its caches, the latest use last.
type server struct {
	free        domain.Bytes
	loaded      int
	diskSlots   int
	memorySlots int
	disk        []int
	memory      []int
}

func newServers(t *arrivals.Trace) []server {
	var out []server
	for _, s := range t.Servers {
		out = append(out, server{
			free: s.Memory, diskSlots: s.DiskSlots, memorySlots: s.MemorySlots,
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
	return remote
}

func (s *server) keepOnDisk(m int) { s.disk = keep(s.disk, m, s.diskSlots) }

func (s *server) keepInMemory(m int) { s.memory = keep(s.memory, m, s.memorySlots) }

// keep moves m to the end of a cache and drops what was used longest ago.
func keep(cache []int, m, slots int) []int {
	if i := slices.Index(cache, m); i >= 0 {
		cache = slices.Delete(cache, i, i+1)
	}
	cache = append(cache, m)
	if len(cache) > slots {
		cache = slices.Delete(cache, 0, len(cache)-slots)
	}
	return cache
}

// transfer is how long a load takes from a tier.
func (r *replay) transfer(m int, t tier) time.Duration {
	size := float64(r.size(m)) * float64(time.Second)
	switch t {
	case inMemory:
		return time.Duration(size / float64(memoryPace))
	case onDisk:
		return time.Duration(size / float64(diskPace))
	case remote:
	}
	return time.Duration(size / float64(remotePace) * r.store.options.Slowdown)
}

// Store is the pace of the weight store; zero values stand for the real one's.
type Store struct {
	// Slots are loads at full speed, Spacing the least time between two starts.
	Slots   int
	Spacing time.Duration
	// Slowdown makes each transfer longer.
	Slowdown float64
}

func (o Store) orDefaults() Store {
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

// store is a fake weight store behind one queue.
type store struct {
	options Store
	queue   []int
	active  int
	last    time.Duration
	started bool
}

func (s *store) start(now time.Duration) {
	s.active++
	s.last, s.started = now, true
}
