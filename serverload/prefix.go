package serverload

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumParts bounds the parts of a prompt that are looked at. Later ones count as not cached.
	MaximumParts = 8
	// maximumCachedParts bounds the parts that are known to be cached at one server.
	maximumCachedParts = 128
	// maximumCacheAge is how long a part is taken to be cached at most.
	maximumCacheAge = time.Minute
	// initialCacheTokens is the memory of a server whose memory is unknown.
	initialCacheTokens = 50_000
	// partRefreshInterval is the least time between two messages about the use of one part at one
	// server. It is short against the time for which a part in use stays cached.
	partRefreshInterval = 5 * time.Second
	// maximumUnsentParts bounds the uses of parts that wait to be sent. The oldest are dropped.
	maximumUnsentParts = 512
	// cacheUseLimit is the share of the slots up to which a server is chosen for its cache. The rest
	// is left for what other nodes send there for the same reason and this node does not know yet. With
	// 0.75, twice as many sendings were rejected at a mean use of 0.7, and no fewer tokens read.
	cacheUseLimit = 0.5
)

// PrefixHash identifies a model, an adapter and the leading parts of a prompt. A server has a few
// hundred of them cached, so that 32 bits suffice.
type PrefixHash uint32

// Prefix is the beginning of a prompt up to the end of one of its parts. Hash covers all parts up to
// there; Tokens is the size of that last part alone.
type Prefix struct {
	Hash   PrefixHash
	Tokens domain.Tokens
}

// Prefixes are the beginnings of one prompt, the shortest first. Count of them are set. If the
// prompt has more parts than MaximumParts, the last part, which no other prompt has, is not in it.
type Prefixes struct {
	list  [MaximumParts]Prefix
	count int
	// shared is the number of those that other prompts may begin with.
	shared int
	hash   uint64
}

// NewPrefixes returns the prefixes of a prompt without parts for a model and an adapter.
func NewPrefixes(m domain.ModelName, a domain.AdapterName) Prefixes {
	return Prefixes{hash: mix(xxhash.Sum64String(string(m)), xxhash.Sum64String(string(a)))}
}

// Add adds the next part. isLast is true for the last part of the prompt, which belongs to the
// request or its session alone.
func (p *Prefixes) Add(id uint64, tokens domain.Tokens, isLast bool) {
	if p.count == MaximumParts {
		return
	}
	p.hash = mix(p.hash, id)
	p.list[p.count] = Prefix{Hash: PrefixHash(p.hash ^ p.hash>>32), Tokens: max(0, tokens)}
	p.count++
	if !isLast {
		p.shared = p.count
	}
}

// HomeOrder returns the order of a server among those to which nodes send prompts that begin with
// the same part, or 0 if no other prompt begins so. All nodes have the same order without telling
// each other (rendezvous hashing).
func (p *Prefixes) HomeOrder(k Key) uint64 {
	if p.shared == 0 {
		return 0
	}
	return mix(uint64(p.list[0].Hash), uint64(k)) | 1
}

// mix returns a hash of two numbers in their order.
func mix(a, b uint64) uint64 {
	h := a*0x9E3779B97F4A7C15 + b
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// cachedPart is a part of a prompt that a server has probably cached.
type cachedPart struct {
	usedAt time.Time
	// readAtUse is the server's count of tokens read at usedAt.
	readAtUse float64
	// sentUse is the last use that this node has sent or received; zero if there is none.
	sentUse time.Time
}

// prefixCache is what a node knows of the prompt parts that a server has cached. The server evicts
// the parts that were not used for the longest time when new tokens need the memory.
type prefixCache struct {
	parts map[PrefixHash]cachedPart
	// tokensRead is the estimated number of tokens that were added to the cache until countedAt,
	// tokensPerSecond the rate since then.
	tokensRead, tokensPerSecond float64
	countedAt                   time.Time
	// prunedAt is when the parts that are too old were last removed.
	prunedAt time.Time
}

// readUntil returns the estimated number of tokens that were added until now.
func (c *prefixCache) readUntil(now time.Time) float64 {
	return c.tokensRead + c.tokensPerSecond*max(0, now.Sub(c.countedAt).Seconds())
}

// setRate sets the rate from now on.
func (c *prefixCache) setRate(now time.Time, tokensPerSecond float64) {
	if !c.countedAt.IsZero() {
		c.tokensRead = c.readUntil(now)
	}
	c.countedAt, c.tokensPerSecond = now, tokensPerSecond
}

// use records the use of a part. It returns true if the other nodes should be told.
func (c *prefixCache) use(now, at time.Time, h PrefixHash, isOwnUse bool) bool {
	part, ok := c.parts[h]
	if ok && !at.After(part.usedAt) {
		return false
	}
	if c.parts == nil {
		c.parts = map[PrefixHash]cachedPart{}
	}
	if !ok {
		c.makeRoom(now)
	}
	part.usedAt, part.readAtUse = at, c.readUntil(now)-c.tokensPerSecond*now.Sub(at).Seconds()
	isNews := isOwnUse && (part.sentUse.IsZero() || at.Sub(part.sentUse) >= partRefreshInterval)
	if isNews || !isOwnUse {
		part.sentUse = at
	}
	c.parts[h] = part
	return isNews
}

// makeRoom makes room for one more part: once a minute it removes those that are too old, and if
// there are too many, the one that was not used for the longest time.
func (c *prefixCache) makeRoom(now time.Time) {
	if now.Sub(c.prunedAt) >= maximumCacheAge {
		c.prunedAt = now
		maps.DeleteFunc(c.parts, func(_ PrefixHash, part cachedPart) bool { return now.Sub(part.usedAt) > maximumCacheAge })
	}
	if len(c.parts) < maximumCachedParts {
		return
	}
	var oldest PrefixHash
	var usedAt time.Time
	for h, part := range c.parts {
		if usedAt.IsZero() || part.usedAt.Before(usedAt) {
			oldest, usedAt = h, part.usedAt
		}
	}
	delete(c.parts, oldest)
}

// cached returns the tokens of the longest beginning of a prompt all parts of which the server has
// probably cached, if the cache has room for a number of tokens.
func (c *prefixCache) cached(now time.Time, p *Prefixes, room float64) domain.Tokens {
	if len(c.parts) == 0 {
		return 0
	}
	var tokens domain.Tokens
	read := c.readUntil(now)
	for _, prefix := range p.list[:p.count] {
		part, ok := c.parts[prefix.Hash]
		if !ok || now.Sub(part.usedAt) > maximumCacheAge || read-part.readAtUse+float64(prefix.Tokens) > room {
			break
		}
		tokens += prefix.Tokens
	}
	return tokens
}

// MayPreferCache reports whether a request may be sent to a server because of its cache.
func (s State) MayPreferCache(r *Request) bool {
	return s.InUse(r.CacheTokens) < cacheUseLimit*float64(s.Slots)
}

// Cached returns the number of prompt tokens of a request that a server in a state has probably
// cached.
func (t *Table) Cached(now time.Time, k Key, s State, r *Request) domain.Tokens {
	server := t.servers[k]
	if server == nil || r.Prefixes.count == 0 {
		return 0
	}
	return server.cache.cached(now, &r.Prefixes, cacheRoom(s, r.CacheTokens))
}

// Saving returns the time to read the parts of a prompt that other prompts share.
func (t *Table) Saving(r *Request) time.Duration {
	var tokens domain.Tokens
	for _, prefix := range r.Prefixes.list[:r.Prefixes.shared] {
		tokens += prefix.Tokens
	}
	return time.Duration(float64(tokens) / t.service(r.Service).prefill.rate() * float64(time.Millisecond))
}

// cacheRoom returns the memory that requests leave for cached parts, in tokens.
func cacheRoom(s State, cacheTokens domain.Tokens) float64 {
	if cacheTokens <= 0 {
		cacheTokens = initialCacheTokens
	}
	return float64(cacheTokens) - s.Tokens
}

// RecordRead records that a server has read the prompt of a request of this node, so that its parts
// are cached there.
func (t *Table) RecordRead(now time.Time, k Key, slots int, r *Request) {
	if r.Prefixes.count == 0 {
		return
	}
	s := t.server(now, k)
	state := t.State(now, k, r.Service, slots)
	uncached := max(0, r.Size-s.cache.cached(now, &r.Prefixes, cacheRoom(state, r.CacheTokens)))
	service := t.service(r.Service)
	service.uncached.add(float64(uncached))
	// The requests of other nodes at the server add tokens at the mean rate.
	others := max(0, state.Requests-float64(s.own.count))
	s.cache.setRate(now, others*service.uncached.value/(service.meanServiceTime().Seconds()*state.Pace))
	s.cache.tokensRead += float64(uncached)
	for i, prefix := range r.Prefixes.list[:r.Prefixes.count] {
		isNews := s.cache.use(now, now, prefix.Hash, true)
		if isNews && i < r.Prefixes.shared {
			t.addUnsent(SharedPrefix{Server: k, Hash: prefix.Hash, usedAt: now})
		}
	}
}

// SharedPrefix says that a server has a prompt part cached, as nodes tell each other.
type SharedPrefix struct {
	Server Key
	Hash   PrefixHash
	// Age is the time since the last use of the part.
	Age    time.Duration
	usedAt time.Time
}

// addUnsent adds the use of a part to those that wait to be sent.
func (t *Table) addUnsent(p SharedPrefix) {
	if len(t.unsentParts) >= maximumUnsentParts {
		t.unsentParts = append(t.unsentParts[:0], t.unsentParts[maximumUnsentParts/2:]...)
	}
	t.unsentParts = append(t.unsentParts, p)
}

// TakePrefixes returns the parts of prompts that other nodes should be told of: on the owner those
// for all nodes, on another node those for the owner. It returns at most the given number, the
// newest ones, and drops the others: a part in use is used again. It returns none where no server
// reports its pace, since the choice does not use them there.
func (t *Table) TakePrefixes(now time.Time, maximum int) []SharedPrefix {
	if !t.isShared(now) {
		maximum = 0
	}
	list := make([]SharedPrefix, 0, min(maximum, len(t.unsentParts)))
	for i := len(t.unsentParts) - 1; i >= 0 && len(list) < maximum; i-- {
		p := t.unsentParts[i]
		if p.Age = max(0, now.Sub(p.usedAt)); p.Age < maximumCacheAge {
			list = append(list, p)
		}
	}
	t.unsentParts = t.unsentParts[:0]
	return list
}

// ApplyPrefixes applies what another node has told of cached parts. mustPassOn is true on the owner,
// which tells all nodes.
func (t *Table) ApplyPrefixes(now time.Time, list []SharedPrefix, mustPassOn bool) {
	for _, p := range list {
		if p.Age < 0 || p.Age >= maximumCacheAge {
			continue
		}
		at := now.Add(-p.Age)
		if t.server(now, p.Server).cache.use(now, at, p.Hash, mustPassOn) && mustPassOn {
			t.addUnsent(SharedPrefix{Server: p.Server, Hash: p.Hash, usedAt: at})
		}
	}
}
