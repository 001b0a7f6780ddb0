package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// BucketCount is the number of buckets that node ids are hashed into. Two nodes
// compare one digest per bucket to find where their views differ.
const BucketCount = 32

// Digests hold one digest per bucket, over the nodes that count as alive.
type Digests [BucketCount]uint64

// Digests returns the digests of this view. Equal views give equal digests.
func (t *Table) Digests() Digests {
	var d Digests
	d.mix(hash(t.self.Member.Node), t.self)
	for _, e := range t.entries {
		if e.countsAsAlive() {
			d.mix(e.ringPosition, e.Update)
		}
	}
	return d
}

// DifferingUpdates returns the updates in the buckets whose digests differ from other,
// including those of nodes that are Gone.
func (t *Table) DifferingUpdates(other Digests) []Update {
	digests := t.Digests()
	var result []Update
	if b := hash(t.self.Member.Node) % BucketCount; digests[b] != other[b] {
		result = append(result, t.self)
	}
	for _, e := range t.entries {
		b := e.ringPosition % BucketCount
		if digests[b] != other[b] && e.Status != Listed {
			result = append(result, e.Update)
		}
	}
	return result
}

func hash(n domain.NodeID) uint64 { return xxhash.Sum64String(string(n)) }

// mix adds an update of the node with hash h. The result does not depend on the order
// of the updates.
func (d *Digests) mix(h uint64, u Update) {
	x := h ^ (u.Incarnation<<2|uint64(u.Status))*0x9e3779b97f4a7c15
	x = (x ^ (x >> 31)) * 0x94d049bb133111eb
	d[h%BucketCount] += x ^ (x >> 29)
}
