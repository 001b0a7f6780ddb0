package membership

import (
	"cmp"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// The numbers of links that each node keeps to its successors on three hash rings: the
// nodes of its availability zone, of the other zones of its region, and of the other
// regions. If a ring has fewer nodes than links, the spare links go to the next wider
// ring. If links are still spare after the widest ring, they go to the remaining nodes
// of the narrower rings. With up to ZoneLinks+RegionLinks+WorldLinks other nodes, the
// links are a full mesh.
const (
	ZoneLinks   = 4
	RegionLinks = 2
	WorldLinks  = 2
)

// Neighbours returns the nodes that this node keeps a link to. The caller must not
// modify the slice.
func (t *Table) Neighbours() []domain.NodeID {
	if t.ringVersion == t.version {
		return t.neighbours
	}
	t.ringVersion = t.version
	var zone, region, world []*entry
	for _, e := range t.entries {
		switch {
		case e.Status == Gone:
		case e.Member.Region != t.self.Member.Region:
			world = append(world, e)
		case e.Member.Zone != t.self.Member.Zone:
			region = append(region, e)
		default:
			zone = append(zone, e)
		}
	}
	t.neighbours = t.chooseNeighbours(zone, region, world)
	return t.neighbours
}

// chooseNeighbours chooses the nodes to link to from the three rings.
func (t *Table) chooseNeighbours(zone, region, world []*entry) []domain.NodeID {
	origin := hash(t.self.Member.Node)
	rings := [][]*entry{zone, region, world}
	linksPerRing := []int{ZoneLinks, RegionLinks, WorldLinks}
	var result []domain.NodeID
	spareLinks := 0
	for i, ring := range rings {
		sortRing(ring, origin)
		count := min(linksPerRing[i]+spareLinks, len(ring))
		spareLinks += linksPerRing[i] - count
		for _, e := range ring[:count] {
			result = append(result, e.Member.Node)
		}
		rings[i] = ring[count:]
	}
	for _, ring := range rings {
		count := min(spareLinks, len(ring))
		spareLinks -= count
		for _, e := range ring[:count] {
			result = append(result, e.Member.Node)
		}
	}
	return result
}

// sortRing orders entries by the distance from origin to them along the ring, in the
// direction of increasing hashes.
func sortRing(entries []*entry, origin uint64) {
	slices.SortFunc(entries, func(a, b *entry) int {
		if a.ringPosition != b.ringPosition {
			return cmp.Compare(a.ringPosition-origin, b.ringPosition-origin)
		}
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
}
