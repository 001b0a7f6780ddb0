package standin

import "slices"

const (
	memoryCacheModels = 2
	diskCacheModels   = 8
	// memoryCacheShare and diskCacheShare divide the load time.
	memoryCacheShare = 15
	diskCacheShare   = 4
)

// checkpoint is one version of a model's weights.
type checkpoint struct{ model, version string }

// checkpointCache keeps the checkpoints that were used last.
type checkpointCache struct {
	size int
	kept []checkpoint
}

func (c *checkpointCache) has(p checkpoint) bool { return slices.Contains(c.kept, p) }

func (c *checkpointCache) add(p checkpoint) {
	c.kept = slices.DeleteFunc(c.kept, func(k checkpoint) bool { return k == p })
	c.kept = append([]checkpoint{p}, c.kept...)
	c.kept = c.kept[:min(len(c.kept), c.size)]
}

func (c *checkpointCache) models() []string {
	names := []string{}
	for _, k := range c.kept {
		if !slices.Contains(names, k.model) {
			names = append(names, k.model)
		}
	}
	return names
}
