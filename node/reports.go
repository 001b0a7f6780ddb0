package node

import (
	"cmp"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// Reports keeps the newest report of each backend server. The zero Reports is
// empty. It is safe for concurrent use.
type Reports struct {
	mu    sync.RWMutex
	table reports.Table
}

// Loaded is a replica that a report shows as ready.
type Loaded = reports.ReadyReplica

// Add takes a report that came at now and tells whether it is newer than what was
// known.
func (r *Reports) Add(s peer.ServerReport, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Add(s, now)
}

// AddLoads takes counts of requests that came at now.
func (r *Reports) AddLoads(l reports.Loads, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.AddLoads(l, now)
}

// Drop leaves out a model of a server for a while, because the server denied it.
func (r *Reports) Drop(s domain.ServerID, m domain.ModelName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.MarkUnloaded(s, m, time.Now())
}

// Forget removes a server that is gone.
func (r *Reports) Forget(s domain.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Remove(s)
}

// Sweep takes in how the servers stand at now.
func (r *Reports) Sweep(now time.Time, standing func(domain.ServerID) reports.Ownership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.ApplyOwnership(now, standing)
}

// Empty tells whether no report is known.
func (r *Reports) Empty() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.IsEmpty()
}

// Models returns the models that any report has, in no order.
func (r *Reports) Models() []domain.ModelName {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.Models()
}

// Ready returns the replicas of a model that can take work at now, by ServerID.
func (r *Reports) Ready(m domain.ModelName, now time.Time) []Loaded {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.ReadyReplicas(m, now)
}

// Answers returns the last report of a server that answers its owner at now,
// whether or not it takes new work.
func (r *Reports) Answers(s domain.ServerID, now time.Time) (peer.ServerReport, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.AliveReport(s, now)
}

// Server returns the last report of a server that is alive and believed at now.
func (r *Reports) Server(s domain.ServerID, now time.Time) (peer.ServerReport, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.UsableReport(s, now)
}

// Confirmed returns when the owner of a server last confirmed its report.
func (r *Reports) Confirmed(s domain.ServerID) time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.ConfirmedAt(s)
}

// Version returns the version of a server's report; it is zero where there is none.
func (r *Reports) Version(s domain.ServerID) reports.Version {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table.Version(s)
}

// Comparison begins a comparison with another node.
func (r *Reports) Comparison() peer.CompareReports {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return peer.CompareReports{Digests: r.table.Digests()}
}

// Differs answers a comparison; it returns false where nothing differs.
func (r *Reports) Differs(c peer.CompareReports) (peer.ReportVersions, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	buckets, versions := r.table.DifferingVersions(c.Digests)
	return peer.ReportVersions{Buckets: buckets, Versions: versions}, buckets != 0
}

// Reconcile returns the reports that the sender of v lacks and what to ask it for.
func (r *Reports) Reconcile(v peer.ReportVersions) ([]peer.ServerReport, []reports.Version) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if v.Buckets == 0 {
		return r.table.NewerReports(v.Versions), nil
	}
	return r.table.Reconcile(v.Buckets, v.Versions)
}

func modelIndex(s peer.ServerReport, m domain.ModelName) int { return s.ReplicaIndex(m) }

func compare(a, b domain.ServerID) int { return cmp.Compare(a, b) }
