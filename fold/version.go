package fold

import (
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// VersionOf returns the version of the object that r sets or removes. If r.Expect is set,
// r is accepted only if Expect equals this version. The version is 0 if there is no such
// object or r is malformed.
func (s *State) VersionOf(r configuration.Record) domain.Offset {
	if validateOperatorRecord(r) != Accepted {
		return 0
	}
	return s.versionOf(r)
}
