package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// BucketCount is how many digests two nodes compare to find where their views
// differ.
const BucketCount = 32

// Digests hold one digest for each bucket of nodes that count as alive.
type Digests [BucketCount]uint64

// Digests returns the digests of this view. Equal views give equal digests.
func (t *Table) Digests() Digests {
	var d Digests
	d.mix(hash(t.self.Member.Node), t.self)
	for _, e := range t.entries {
		if e.present() {
			d.mix(e.ring, e.Update)
		}
	}
	return d
}

// Differing returns what this node knows of the nodes in the buckets whose
// digests differ, those that are gone too.
func (t *Table) Differing(other Digests) []Update {
	own := t.Digests()
	var result []Update
	if b := hash(t.self.Member.Node) % BucketCount; own[b] != other[b] {
		result = append(result, t.self)
	}
	for _, e := range t.entries {
		b := e.ring % BucketCount
		if own[b] != other[b] && e.Status != Listed {
			result = append(result, e.Update)
		}
	}
	return result
}

func hash(n domain.NodeID) uint64 { return xxhash.Sum64String(string(n)) }

// mix adds an update of the node with hash h in a way that does not depend on the order.
func (d *Digests) mix(h uint64, u Update) {
	x := h ^ (u.Incarnation<<2|uint64(u.Status))*0x9e3779b97f4a7c15
	x = (x ^ (x >> 31)) * 0x94d049bb133111eb
	d[h%BucketCount] += x ^ (x >> 29)
}
