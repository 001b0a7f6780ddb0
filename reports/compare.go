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

// Digests hold one digest per bucket: a hash over the versions of the reports of the
// servers in it.
type Digests [BucketCount]uint64

// BucketSet is a bit set of bucket numbers.
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
// node, and the versions of this table's reports in these buckets, sorted by server.
func (t *Table) DifferingVersions(other Digests) (BucketSet, []Version) {
	localDigests := t.Digests()
	var set BucketSet
	for i := range localDigests {
		if localDigests[i] != other[i] {
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

// Reconcile compares the reports of this table in the buckets of set with the versions
// of all reports that another node has in them. In newer it returns the reports of this
// table that are newer than the other node's. In requested it returns this table's
// version of each report that is newer at the other node, so that the other node can
// send it; the fencing token is 0 if this table has no report of the server.
func (t *Table) Reconcile(set BucketSet, theirVersions []Version) (newer []Server, requested []Version) {
	theirVersionByServer := make(map[domain.ServerID]Version, len(theirVersions))
	for _, v := range theirVersions {
		theirVersionByServer[v.Server] = v
		localVersion := t.Version(v.Server)
		if v.IsNewerThan(localVersion) {
			requested = append(requested, localVersion)
		}
	}
	for s, e := range t.servers {
		if set.has(s) && e.report.Version().IsNewerThan(theirVersionByServer[s]) {
			newer = append(newer, e.report)
		}
	}
	slices.SortFunc(newer, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	sortVersions(requested)
	return newer, requested
}

// NewerReports returns the reports of this table that are newer than the given versions
// of another node.
func (t *Table) NewerReports(theirVersions []Version) []Server {
	var out []Server
	for _, v := range theirVersions {
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
