package membership

import (
	"cmp"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// Each node keeps links to its successors on hash rings: of its availability
// zone, of the other zones of its region and of the other regions. What a
// narrow ring cannot fill goes to the next wider one, and back. Up to
// ZoneLinks+RegionLinks+WorldLinks other nodes this is a full mesh.
const (
	ZoneLinks   = 4
	RegionLinks = 2
	WorldLinks  = 2
)

// Neighbours returns the nodes that this node keeps a link to. The slice must
// not be changed.
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
	t.neighbours = t.choose(zone, region, world)
	return t.neighbours
}

func (t *Table) choose(zone, region, world []*entry) []domain.NodeID {
	own := hash(t.self.Member.Node)
	rings := [][]*entry{zone, region, world}
	shares := []int{ZoneLinks, RegionLinks, WorldLinks}
	var result []domain.NodeID
	spare := 0
	for i, ring := range rings {
		sortRing(ring, own)
		taken := min(shares[i]+spare, len(ring))
		spare += shares[i] - taken
		for _, e := range ring[:taken] {
			result = append(result, e.Member.Node)
		}
		rings[i] = ring[taken:]
	}
	for _, ring := range rings {
		taken := min(spare, len(ring))
		spare -= taken
		for _, e := range ring[:taken] {
			result = append(result, e.Member.Node)
		}
	}
	return result
}

// sortRing orders entries by their distance clockwise from own.
func sortRing(entries []*entry, own uint64) {
	slices.SortFunc(entries, func(a, b *entry) int {
		if a.ring != b.ring {
			return cmp.Compare(a.ring-own, b.ring-own)
		}
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
}
