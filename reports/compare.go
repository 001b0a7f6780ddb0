package reports

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// Buckets is into how many parts the servers are divided for a comparison.
const Buckets = 16

// Digests sum up the versions of the reports in each bucket.
type Digests [Buckets]uint64

// BucketSet is a set of buckets, one a bit.
type BucketSet uint16

func bucket(s domain.ServerID) int { return int(xxhash.Sum64String(string(s)) % Buckets) }

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

// DifferingVersions returns the buckets in which another node's digests differ, and the
// versions that this table has in them, by server.
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

// Reconcile compares with all that another node has in some buckets. It returns the
// reports that the other lacks, and what this table has (a zero version where that
// is nothing) of the servers for which the other has newer reports.
func (t *Table) Reconcile(set BucketSet, theirs []Version) (give []Server, want []Version) {
	known := make(map[domain.ServerID]Version, len(theirs))
	for _, v := range theirs {
		known[v.Server] = v
		own := t.Version(v.Server)
		if v.Newer(own) {
			want = append(want, own)
		}
	}
	for s, e := range t.servers {
		if set.has(s) && e.report.Version().Newer(known[s]) {
			give = append(give, e.report)
		}
	}
	slices.SortFunc(give, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	sortVersions(want)
	return give, want
}

// NewerReports returns the reports that are newer than what the other has.
func (t *Table) NewerReports(theirs []Version) []Server {
	var out []Server
	for _, v := range theirs {
		if e := t.servers[v.Server]; e != nil && e.report.Version().Newer(v) {
			out = append(out, e.report)
		}
	}
	return out
}

// Version returns the version of a server's report; without one it has no fence.
func (t *Table) Version(s domain.ServerID) Version {
	if e := t.servers[s]; e != nil {
		return e.report.Version()
	}
	return Version{Server: s}
}
