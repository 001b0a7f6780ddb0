package fold

import (
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// VersionOf returns the version of the object that a record is about, which the
// record's Expect is compared with.
func (s *State) VersionOf(r configuration.Record) domain.Offset {
	if check(r) != Accepted {
		return 0
	}
	return s.versionOf(r)
}
