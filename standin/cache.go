package standin

import "slices"

const (
	memoryCacheModels = 2
	diskCacheModels   = 8
	// memoryCacheSpeedup and diskCacheSpeedup divide the load time from the weight store.
	memoryCacheSpeedup = 15
	diskCacheSpeedup   = 4
)

// checkpoint is one version of the weights of a model.
type checkpoint struct{ model, version string }

// checkpointCache is an LRU cache, most recently used first.
type checkpointCache struct {
	capacity    int
	checkpoints []checkpoint
}

func (c *checkpointCache) has(p checkpoint) bool { return slices.Contains(c.checkpoints, p) }

func (c *checkpointCache) add(p checkpoint) {
	c.checkpoints = slices.DeleteFunc(c.checkpoints, func(k checkpoint) bool { return k == p })
	c.checkpoints = append([]checkpoint{p}, c.checkpoints...)
	c.checkpoints = c.checkpoints[:min(len(c.checkpoints), c.capacity)]
}

func (c *checkpointCache) models() []string {
	names := []string{}
	for _, k := range c.checkpoints {
		if !slices.Contains(names, k.model) {
			names = append(names, k.model)
		}
	}
	return names
}
