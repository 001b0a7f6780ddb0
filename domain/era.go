package domain

// Era counts how often the platform's store has been restored from an older copy. Each time, the
// store loses what it acknowledged after the copy, and assigns the offsets of it again. The era
// is 0 in a store that does not report it.
type Era uint64

const (
	// positionBits is the number of bits of an Offset that hold the position within its era.
	positionBits = 48
	// MaximumPosition is the largest position within an era.
	MaximumPosition = 1<<positionBits - 1
	// MaximumEra is the largest era.
	MaximumEra = 1<<15 - 1
)

// OffsetIn returns the offset of a position in an era. The position must not exceed
// MaximumPosition.
func OffsetIn(e Era, position uint64) Offset { return Offset(uint64(e)<<positionBits | position) }

// Era returns the era of the offset.
func (o Offset) Era() Era { return Era(o >> positionBits) }

// Position returns the position that the store knows the offset by, within its era.
func (o Offset) Position() uint64 { return uint64(o) & MaximumPosition }
