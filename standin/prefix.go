package standin

import (
	"container/list"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlock is how many bytes of a prompt one cached block holds.
	prefixBlock = 256
	// prefixBlocks is how many blocks an engine keeps.
	prefixBlocks = 4096
	// prefillShare divides the token time: the time for one block that is not
	// cached.
	prefillShare = 8
)

// prefixCache keeps the blocks of prompts that were used last. It is guarded by
// its engine.
type prefixCache struct {
	used  list.List
	items map[uint64]*list.Element
}

// cachedBlock is one entry of a prefixCache.
type cachedBlock struct {
	hash  uint64
	model string
}

// blockHashes returns the chained hashes of a prompt's full blocks: each hash
// stands for the whole prompt up to the end of its block.
func blockHashes(model, adapter, text string) []uint64 {
	hash := xxhash.Sum64String(model + ":" + adapter)
	hashes := make([]uint64, 0, len(text)/prefixBlock)
	for len(text) >= prefixBlock {
		hash = chained(hash, text[:prefixBlock])
		hashes = append(hashes, hash)
		text = text[prefixBlock:]
	}
	return hashes
}

func chained(before uint64, block string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], before)
	_, _ = d.Write(prefix[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}

// use marks a prompt's blocks as used and keeps those that are new.
func (c *prefixCache) use(model string, hashes []uint64) (stored, evicted []uint64) {
	if c.items == nil {
		c.items = make(map[uint64]*list.Element)
	}
	for _, h := range hashes {
		if item, ok := c.items[h]; ok {
			c.used.MoveToFront(item)
			continue
		}
		c.items[h] = c.used.PushFront(cachedBlock{hash: h, model: model})
		stored = append(stored, h)
	}
	for c.used.Len() > prefixBlocks {
		evicted = append(evicted, c.evict(c.used.Back()))
	}
	return stored, evicted
}

func (c *prefixCache) evict(item *list.Element) uint64 {
	block := c.used.Remove(item).(cachedBlock)
	delete(c.items, block.hash)
	return block.hash
}

// clear drops the blocks of a model that is unloaded.
func (c *prefixCache) clear(model string) {
	for item := c.used.Front(); item != nil; {
		next := item.Next()
		if item.Value.(cachedBlock).model == model {
			c.evict(item)
		}
		item = next
	}
}

func hexadecimal(hashes []uint64) []string {
	out := make([]string, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, fmt.Sprintf("%016x", h))
	}
	return out
}
