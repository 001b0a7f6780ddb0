// Package rendezvous assigns keys to nodes by rendezvous hashing, also called highest
// random weight hashing. Nodes with the same view of the live nodes compute the same
// assignment. If a node joins, only the keys that it gains move; if a node fails, only
// the keys that it had. Packages node and relay call it to choose the node that serves a
// model, a server or a zone. It keeps no state and does not know which nodes are alive.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// Rank returns the nodes ordered by their weight for key, the highest first. It does
// not change nodes.
func Rank(key string, nodes []domain.NodeID) []domain.NodeID {
	ranked := make([]candidate, len(nodes))
	seed := xxhash.Sum64String(key)
	for i, n := range nodes {
		ranked[i] = candidate{node: n, weight: weight(seed, n)}
	}
	slices.SortFunc(ranked, func(a, b candidate) int { return b.compare(a) })
	result := make([]domain.NodeID, len(ranked))
	for i, c := range ranked {
		result[i] = c.node
	}
	return result
}

// First returns the first node of Rank without an allocation. It returns false if nodes
// is empty.
func First(key string, nodes []domain.NodeID) (domain.NodeID, bool) {
	var best candidate
	seed := xxhash.Sum64String(key)
	for i, n := range nodes {
		c := candidate{node: n, weight: weight(seed, n)}
		if i == 0 || c.compare(best) > 0 {
			best = c
		}
	}
	return best.node, len(nodes) > 0
}

// candidate is a node with its weight for a key.
type candidate struct {
	node   domain.NodeID
	weight uint64
}

// compare returns a positive number if c ranks before d. Nodes with equal weights are
// ordered by id, so that all nodes compute the same order.
func (c candidate) compare(d candidate) int {
	if c.weight != d.weight {
		return cmp.Compare(c.weight, d.weight)
	}
	return cmp.Compare(d.node, c.node)
}

func weight(seed uint64, n domain.NodeID) uint64 {
	return mix(seed ^ mix(xxhash.Sum64String(string(n))))
}

// mix is the finalizer of SplitMix64: every input bit changes every output bit with a
// probability of about one half.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
