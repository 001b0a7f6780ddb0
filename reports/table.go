package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// OwnerlessLifetime is how long the report of a server is used after the server
	// lost its owner. It is longer than the takeover of a lease, during which the
	// server still serves requests.
	OwnerlessLifetime = 30 * time.Second
	// unloadedExclusionTime is how long ReadyReplicas excludes a replica after its
	// server responded that the model is not loaded, unless a newer report arrives.
	unloadedExclusionTime = 2 * time.Second
	// loadsLifetime is how long loads are used after they were received. The owner
	// sends them again at each renewal of the subscription.
	loadsLifetime = SubscriptionLifetime
	// loadsConfirmInterval is the interval at which the last loads count as confirmed
	// again while no newer loads arrive, because an owner sends only changed loads.
	loadsConfirmInterval = time.Second
)

// Table holds the newest report of each backend server. The zero Table is empty. It
// is not safe for concurrent use.
type Table struct {
	servers map[domain.ServerID]*entry
	// serversByModel maps each model to the servers whose reports contain a replica of
	// it, which may still be loading.
	serversByModel map[domain.ModelName][]domain.ServerID
}

// entry is what a Table holds of one server.
type entry struct {
	report Server
	// confirmedAt is the latest time that was passed to Add with this version of the
	// report.
	confirmedAt time.Time
	// readySince is when each ready model was first reported as ready, without
	// interruption since.
	readySince map[domain.ModelName]time.Time
	// unloadedAt is when the server itself last responded that a model is not loaded.
	// A newer report clears it.
	unloadedAt map[domain.ModelName]time.Time
	loads      Loads
	// loadsReceivedAt is the time that was passed to AddLoads with the loads.
	loadsReceivedAt time.Time
	// ownerlessSince is when the server lost its owner; zero while it has one.
	ownerlessSince time.Time
}

// Add records a report as of now and returns true if it is newer than the stored report
// of the server. A report of the same version only advances the time at which the
// stored report was confirmed; an older report is ignored.
func (t *Table) Add(s Server, now time.Time) bool {
	if t.servers == nil {
		t.servers = make(map[domain.ServerID]*entry)
		t.serversByModel = make(map[domain.ModelName][]domain.ServerID)
	}
	old := t.servers[s.Server]
	if old != nil && !s.Version().IsNewerThan(old.report.Version()) {
		if s.Version() == old.report.Version() && now.After(old.confirmedAt) {
			old.confirmedAt = now
		}
		return false
	}
	e := &entry{report: s, confirmedAt: now, readySince: make(map[domain.ModelName]time.Time, len(s.Models))}
	for _, m := range s.Models {
		if m.Loading {
			continue
		}
		e.readySince[m.Model] = now
		if old != nil && !old.readySince[m.Model].IsZero() {
			e.readySince[m.Model] = old.readySince[m.Model]
		}
	}
	if old != nil {
		e.loads, e.loadsReceivedAt = old.loads, old.loadsReceivedAt
	}
	t.removeFromIndex(old)
	t.servers[s.Server] = e
	for _, m := range s.Models {
		t.serversByModel[m.Model] = append(t.serversByModel[m.Model], s.Server)
	}
	return true
}

// AddLoads records loads as of now. It ignores them if the stored loads are at least as
// new, if their fencing token is older than that of the server's report, or if there is
// no report of the server.
func (t *Table) AddLoads(l Loads, now time.Time) {
	e := t.servers[l.Server]
	if e == nil || !l.Version().IsNewerThan(e.loads.Version()) || l.Fence < e.report.Fence {
		return
	}
	e.loads, e.loadsReceivedAt = l, now
}

func (t *Table) removeFromIndex(e *entry) {
	if e == nil {
		return
	}
	for _, m := range e.report.Models {
		remaining := slices.DeleteFunc(t.serversByModel[m.Model], func(s domain.ServerID) bool { return s == e.report.Server })
		if len(remaining) == 0 {
			delete(t.serversByModel, m.Model)
			continue
		}
		t.serversByModel[m.Model] = remaining
	}
}

// MarkUnloaded records that a server responded at now that a model is not loaded.
// ReadyReplicas excludes the replica for unloadedExclusionTime.
func (t *Table) MarkUnloaded(s domain.ServerID, m domain.ModelName, now time.Time) {
	e := t.servers[s]
	if e == nil {
		return
	}
	if e.unloadedAt == nil {
		e.unloadedAt = make(map[domain.ModelName]time.Time)
	}
	e.unloadedAt[m] = now
}

// Remove removes the report of a server.
func (t *Table) Remove(s domain.ServerID) {
	t.removeFromIndex(t.servers[s])
	delete(t.servers, s)
}

// Ownership says whether a server has a live owner, according to the replicated state
// and this node's view of the live nodes.
type Ownership int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Ownership -output=ownership_string.go

// The states of ownership.
const (
	// Owned servers have an owner that is alive.
	Owned Ownership = iota
	// Ownerless servers have no live owner at the moment.
	Ownerless
	// Gone servers are in neither the replicated state nor the platform's list.
	Gone
)

// ApplyOwnership records since when each server has been Ownerless, clears this time
// for Owned servers and removes Gone servers.
func (t *Table) ApplyOwnership(now time.Time, ownership func(domain.ServerID) Ownership) {
	for s, e := range t.servers {
		switch ownership(s) {
		case Owned:
			e.ownerlessSince = time.Time{}
		case Ownerless:
			if e.ownerlessSince.IsZero() {
				e.ownerlessSince = now
			}
		case Gone:
			t.Remove(s)
		}
	}
}

// IsEmpty reports whether the table has no reports.
func (t *Table) IsEmpty() bool { return len(t.servers) == 0 }

// Models returns the models in all reports, in no order.
func (t *Table) Models() []domain.ModelName {
	out := make([]domain.ModelName, 0, len(t.serversByModel))
	for m := range t.serversByModel {
		out = append(out, m)
	}
	return out
}

// ReadyReplica is a replica that the report of its server shows as ready.
type ReadyReplica struct {
	Server  domain.ServerID
	Replica Replica
	// ReadySince is when the replica was first reported as ready. ConfirmedAt is when
	// the owner last confirmed the report. LoadsConfirmedAt is when the request counts
	// were last confirmed.
	ReadySince, ConfirmedAt, LoadsConfirmedAt time.Time
}

// ReadyReplicas returns the replicas of a model that can serve requests at now, sorted
// by server.
func (t *Table) ReadyReplicas(m domain.ModelName, now time.Time) []ReadyReplica {
	var out []ReadyReplica
	for _, s := range t.serversByModel[m] {
		e := t.servers[s]
		if unloadedAt, isUnloaded := e.unloadedAt[m]; !e.isUsable(now) || isUnloaded && now.Sub(unloadedAt) < unloadedExclusionTime {
			continue
		}
		r := e.withLoads(now)
		if i := r.ReplicaIndex(m); i >= 0 && !r.Models[i].Loading {
			out = append(out, ReadyReplica{Server: s, Replica: r.Models[i], ReadySince: e.readySince[m], ConfirmedAt: e.confirmedAt, LoadsConfirmedAt: e.loadsConfirmedAt(now)})
		}
	}
	slices.SortFunc(out, func(a, b ReadyReplica) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// UsableReport returns the last report of a server, with its loads, if the server is
// alive, accepts new work and has an owner or lost it recently.
func (t *Table) UsableReport(s domain.ServerID, now time.Time) (Server, bool) {
	e := t.servers[s]
	if e == nil || !e.isUsable(now) {
		return Server{}, false
	}
	return e.withLoads(now), true
}

// ConfirmedAt returns when the owner of a server last confirmed its report.
func (t *Table) ConfirmedAt(s domain.ServerID) time.Time {
	if e := t.servers[s]; e != nil {
		return e.confirmedAt
	}
	return time.Time{}
}

// AliveReport returns the last report of a server, with its loads, if the server is
// alive and has an owner or lost it recently, whether or not it accepts new work.
func (t *Table) AliveReport(s domain.ServerID, now time.Time) (Server, bool) {
	e := t.servers[s]
	if e == nil || !e.report.Alive || !e.isTrusted(now) {
		return Server{}, false
	}
	return e.withLoads(now), true
}

// ReplicaIndex returns the index of a model's replica in Models, or -1.
func (s Server) ReplicaIndex(m domain.ModelName) int {
	return slices.IndexFunc(s.Models, func(r Replica) bool { return r.Model == m })
}

func (e *entry) isUsable(now time.Time) bool {
	return e.report.Alive && !e.report.Leaving && e.isTrusted(now)
}

// isTrusted reports whether the server has an owner, or lost it at most
// OwnerlessLifetime ago.
func (e *entry) isTrusted(now time.Time) bool {
	return e.ownerlessSince.IsZero() || now.Sub(e.ownerlessSince) <= OwnerlessLifetime
}

// loadsConfirmedAt returns when the loads were last confirmed. An owner sends loads when
// they change, so that unchanged loads count as confirmed again at each
// loadsConfirmInterval. Expired loads, which count as 0, are as old as the report.
func (e *entry) loadsConfirmedAt(now time.Time) time.Time {
	age := now.Sub(e.loadsReceivedAt)
	if age > loadsLifetime {
		return e.confirmedAt
	}
	return e.loadsReceivedAt.Add(age.Truncate(loadsConfirmInterval))
}

// withLoads returns the report with the request counts of the loads, or with counts of 0
// if the loads have expired.
func (e *entry) withLoads(now time.Time) Server {
	out := e.report.WithoutLoads()
	if now.Sub(e.loadsReceivedAt) > loadsLifetime {
		return out
	}
	for _, l := range e.loads.Models {
		if i := out.ReplicaIndex(l.Model); i >= 0 {
			out.Models[i].Running, out.Models[i].Waiting = l.Running, l.Waiting
		}
	}
	return out
}
