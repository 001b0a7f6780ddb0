package node

import (
	"cmp"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// Reports is a concurrent table of the newest report of each backend server. The zero
// Reports is empty.
type Reports struct {
	mu    sync.RWMutex
	table reports.Table
}

// Loaded is a replica that a report shows as ready.
type Loaded = reports.ReadyReplica

// Add stores a report that was received at now and reports whether it is newer than the
// stored one.
func (r *Reports) Add(s peer.ServerReport, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Add(s, now)
}

// AddLoads stores load counts that were received at now.
func (r *Reports) AddLoads(l reports.Loads, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.AddLoads(l, now)
}

// Deny hides a model of a server for a while, after the server responded that it does not
// have the model.
func (r *Reports) Deny(s domain.ServerID, m domain.ModelName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.MarkUnloaded(s, m, time.Now())
}

// Remove removes a server.
func (r *Reports) Remove(s domain.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Remove(s)
}

// UpdateStandings updates each server's ownership standing as of now, which bounds how long
// its report is used.
func (r *Reports) UpdateStandings(now time.Time, standing func(domain.ServerID) reports.Ownership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.ApplyOwnership(now, standing)
}

// Empty reports whether there is no report.
func (r *Reports) Empty() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.IsEmpty()
}

// Models returns the models in all reports, in no order.
func (r *Reports) Models() []domain.ModelName {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.Models()
}

// Ready returns the replicas of a model that can accept requests at now, sorted by
// ServerID.
func (r *Reports) Ready(m domain.ModelName, now time.Time) []Loaded {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.ReadyReplicas(m, now)
}

// ResponsiveReport returns the last report of a server that responds to its owner at now,
// whether or not the server accepts new requests.
func (r *Reports) ResponsiveReport(s domain.ServerID, now time.Time) (peer.ServerReport, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.AliveReport(s, now)
}

// CurrentReport returns the last report of a server that is alive and whose report is
// recent enough to use at now.
func (r *Reports) CurrentReport(s domain.ServerID, now time.Time) (peer.ServerReport, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.UsableReport(s, now)
}

// ConfirmedAt returns when the owner of a server last confirmed its report.
func (r *Reports) ConfirmedAt(s domain.ServerID) time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.ConfirmedAt(s)
}

// Version returns the version of a server's report, or zero if there is none.
func (r *Reports) Version(s domain.ServerID) reports.Version {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.Version(s)
}

// Comparison returns the digests to send to another node for a comparison of the reports.
func (r *Reports) Comparison() peer.CompareReports {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return peer.CompareReports{Digests: r.table.Digests()}
}

// DiffVersions compares a peer's digests with this table and returns the versions of the
// buckets that differ. It returns false if none does.
func (r *Reports) DiffVersions(c peer.CompareReports) (peer.ReportVersions, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	buckets, versions := r.table.DifferingVersions(c.Digests)
	return peer.ReportVersions{Buckets: buckets, Versions: versions}, buckets != 0
}

// Reconcile returns the reports that the sender of v lacks and the versions to request from
// it.
func (r *Reports) Reconcile(v peer.ReportVersions) ([]peer.ServerReport, []reports.Version) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if v.Buckets == 0 {
		return r.table.NewerReports(v.Versions), nil
	}
	return r.table.Reconcile(v.Buckets, v.Versions)
}

func modelIndex(s peer.ServerReport, m domain.ModelName) int { return s.ReplicaIndex(m) }

func compareServerIDs(a, b domain.ServerID) int { return cmp.Compare(a, b) }
