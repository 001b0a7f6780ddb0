package hub

import "github.com/parsleylug/parsleylug/domain"

// Era returns the newest era of the offsets.
func (u StoreUpdate) Era() domain.Era {
	return max(u.ConfigurationOffset, u.RegistrationsOffset, u.ReadOffset).Era()
}

// isOfOneEra reports whether all offsets are of the same era.
func (c RegistrationChanges) isOfOneEra() bool {
	e := c.Offset.Era()
	for _, change := range c.Changes {
		if change.Offset.Era() != e {
			return false
		}
	}
	return c.Previous.Era() == e
}

// positionIn returns the position of an offset in an era; 0 if the offset is of another era.
func positionIn(e domain.Era, o domain.Offset) uint64 {
	if o.Era() != e {
		return 0
	}
	return o.Position()
}

// offsetIn returns the offset of a position in an era; 0 if nothing was read there.
func offsetIn(e domain.Era, position uint64) domain.Offset {
	if position == 0 {
		return 0
	}
	return domain.OffsetIn(e, position)
}
