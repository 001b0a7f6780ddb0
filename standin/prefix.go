package standin

import (
	"container/list"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the size of a cached block of a prompt.
	prefixBlockBytes = 256
	// prefixCacheBlocks is the capacity of the prefix cache of an engine.
	prefixCacheBlocks = 4096
	// prefillBlocksPerToken is the number of uncached blocks that prefill computes in one
	// token interval.
	prefillBlocksPerToken = 8
)

// prefixCache is an LRU cache of prompt blocks. It is guarded by the mutex of its engine.
type prefixCache struct {
	recency list.List
	blocks  map[uint64]*list.Element
}

type cachedBlock struct {
	hash  uint64
	model string
}

// blockHashes returns the chained hashes of the full blocks of a prompt: each hash
// identifies the prompt up to the end of its block.
func blockHashes(model, adapter, text string) []uint64 {
	hash := xxhash.Sum64String(model + ":" + adapter)
	hashes := make([]uint64, 0, len(text)/prefixBlockBytes)
	for len(text) >= prefixBlockBytes {
		hash = chainHash(hash, text[:prefixBlockBytes])
		hashes = append(hashes, hash)
		text = text[prefixBlockBytes:]
	}
	return hashes
}

func chainHash(previous uint64, block string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], previous)
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}

// touch marks blocks as most recently used and adds those that are missing. It returns the
// added and the evicted blocks.
func (c *prefixCache) touch(model string, hashes []uint64) (stored, evicted []uint64) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	for _, h := range hashes {
		if item, ok := c.blocks[h]; ok {
			c.recency.MoveToFront(item)
			continue
		}
		c.blocks[h] = c.recency.PushFront(cachedBlock{hash: h, model: model})
		stored = append(stored, h)
	}
	for c.recency.Len() > prefixCacheBlocks {
		evicted = append(evicted, c.evict(c.recency.Back()))
	}
	return stored, evicted
}

func (c *prefixCache) evict(item *list.Element) uint64 {
	block := c.recency.Remove(item).(cachedBlock)
	delete(c.blocks, block.hash)
	return block.hash
}

// evictModel removes the blocks of a model.
func (c *prefixCache) evictModel(model string) {
	for item := c.recency.Front(); item != nil; {
		next := item.Next()
		if item.Value.(cachedBlock).model == model {
			c.evict(item)
		}
		item = next
	}
}

func toHex(hashes []uint64) []string {
	out := make([]string, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, fmt.Sprintf("%016x", h))
	}
	return out
}
