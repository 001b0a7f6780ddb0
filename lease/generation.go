package lease

import "github.com/parsleylug/parsleylug/domain"

// generationsPerEra is how much a Generation rises with each era beyond the store's own number.
// The store gives out fewer numbers than this in the seconds that a restored copy lacks, and the
// generations of all eras stay below 2^53, up to which servers that count in float64 are exact.
const generationsPerEra = 1 << 32

// Generation numbers the versions of the membership group; every change of the group raises it.
// The store's own number may fall when the store is restored from an older copy. A Generation
// rises then too, because a higher era counts for more than any number.
type Generation uint64

// GenerationIn returns the generation for the store's own number in an era.
func GenerationIn(e domain.Era, number uint64) Generation {
	return Generation(uint64(e)*generationsPerEra + number)
}

// Number returns the store's own number of a generation of an era, or 0 if the generation is of an
// earlier era.
func (g Generation) Number(e domain.Era) uint64 {
	first := uint64(e) * generationsPerEra
	if uint64(g) < first {
		return 0
	}
	return uint64(g) - first
}
