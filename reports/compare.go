package reports

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// BucketCount is the number of buckets that servers are hashed into for a comparison.
const BucketCount = 16

// Digests hold one digest per bucket, over the versions of its reports.
type Digests [BucketCount]uint64

// BucketSet is a bit set of buckets.
type BucketSet uint16

func bucket(s domain.ServerID) int { return int(xxhash.Sum64String(string(s)) % BucketCount) }

func (v Version) hash() uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(v.Fence))
	binary.BigEndian.PutUint64(b[8:], v.Sequence)
	d := xxhash.New()
	_, _ = d.WriteString(string(v.Server))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Digests returns the digests of the table.
func (t *Table) Digests() Digests {
	var d Digests
	for s, e := range t.servers {
		d[bucket(s)] ^= e.report.Version().hash()
	}
	return d
}

// DifferingVersions returns the buckets whose digests differ from those of another
// node, and the versions that this table has in them, by server.
func (t *Table) DifferingVersions(other Digests) (BucketSet, []Version) {
	own := t.Digests()
	var set BucketSet
	for i := range own {
		if own[i] != other[i] {
			set |= 1 << i
		}
	}
	if set == 0 {
		return 0, nil
	}
	var out []Version
	for s, e := range t.servers {
		if set.has(s) {
			out = append(out, e.report.Version())
		}
	}
	sortVersions(out)
	return set, out
}

func (b BucketSet) has(s domain.ServerID) bool { return b&(1<<bucket(s)) != 0 }

func sortVersions(v []Version) {
	slices.SortFunc(v, func(a, b Version) int { return cmp.Compare(a.Server, b.Server) })
}

// Reconcile compares the table with all versions that another node has in some
// buckets. It returns the reports that are newer here, and for each server of which
// the other node has a newer report the version that this table has, with fencing
// token 0 if it has none.
func (t *Table) Reconcile(set BucketSet, theirs []Version) (newer []Server, requested []Version) {
	known := make(map[domain.ServerID]Version, len(theirs))
	for _, v := range theirs {
		known[v.Server] = v
		own := t.Version(v.Server)
		if v.IsNewerThan(own) {
			requested = append(requested, own)
		}
	}
	for s, e := range t.servers {
		if set.has(s) && e.report.Version().IsNewerThan(known[s]) {
			newer = append(newer, e.report)
		}
	}
	slices.SortFunc(newer, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	sortVersions(requested)
	return newer, requested
}

// NewerReports returns the reports that are newer than the versions of another node.
func (t *Table) NewerReports(theirs []Version) []Server {
	var out []Server
	for _, v := range theirs {
		if e := t.servers[v.Server]; e != nil && e.report.Version().IsNewerThan(v) {
			out = append(out, e.report)
		}
	}
	return out
}

// Version returns the version of a server's report, with fencing token 0 if there is
// none.
func (t *Table) Version(s domain.ServerID) Version {
	if e := t.servers[s]; e != nil {
		return e.report.Version()
	}
	return Version{Server: s}
}
