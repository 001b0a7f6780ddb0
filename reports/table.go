package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// OwnerlessLifetime is how long a report is used after the server lost its owner.
	// It is longer than the takeover of a lease, during which the server still works.
	OwnerlessLifetime = 30 * time.Second
	// unloadedExclusionTime is how long a replica is excluded after its server
	// responded that the model is not loaded, if no newer report arrives.
	unloadedExclusionTime = 2 * time.Second
	// loadsLifetime is how long loads are used. An owner repeats them at each renewal
	// of a subscription.
	loadsLifetime = SubscriptionLifetime
	// loadsConfirmInterval is how long without newer loads until the last ones count
	// as confirmed again.
	loadsConfirmInterval = time.Second
)

// Table holds the newest report of each backend server. The zero Table is empty. It
// is not safe for concurrent use.
type Table struct {
	servers map[domain.ServerID]*entry
	// serversByModel holds, per model, the servers whose report contains it, loaded
	// or loading; it is an index of servers.
	serversByModel map[domain.ModelName][]domain.ServerID
}

type entry struct {
	report Server
	// confirmedAt is when the owner last confirmed the report, as far as this node
	// knows.
	confirmedAt time.Time
	// readySince is when each model was first reported as ready.
	readySince map[domain.ModelName]time.Time
	// unloadedAt is when the server itself responded, after this report came, that a
	// model is not loaded.
	unloadedAt map[domain.ModelName]time.Time
	loads      Loads
	loadsAt    time.Time
	// ownerlessSince is when the server lost its owner; zero while it has one.
	ownerlessSince time.Time
}

// Add records a report as of now and reports whether it is newer than the known one.
// The same report again only confirms it.
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
		e.loads, e.loadsAt = old.loads, old.loadsAt
	}
	t.removeFromIndex(old)
	t.servers[s.Server] = e
	for _, m := range s.Models {
		t.serversByModel[m.Model] = append(t.serversByModel[m.Model], s.Server)
	}
	return true
}

// AddLoads records loads as of now, unless newer ones are known.
func (t *Table) AddLoads(l Loads, now time.Time) {
	e := t.servers[l.Server]
	if e == nil || !l.Version().IsNewerThan(e.loads.Version()) || l.Fence < e.report.Fence {
		return
	}
	e.loads, e.loadsAt = l, now
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

// MarkUnloaded excludes a replica for a while because its server responded at now
// that the model is not loaded.
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

// Ownership is the ownership of a server by the replicated state and this node's
// view of the members.
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

// ApplyOwnership records the ownership of each server at now and removes those that
// are Gone.
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

// IsEmpty reports whether no report is known.
func (t *Table) IsEmpty() bool { return len(t.servers) == 0 }

// Models returns the models in all reports, in no order.
func (t *Table) Models() []domain.ModelName {
	out := make([]domain.ModelName, 0, len(t.serversByModel))
	for m := range t.serversByModel {
		out = append(out, m)
	}
	return out
}

// ReadyReplica is a replica that its report shows as ready.
type ReadyReplica struct {
	Server  domain.ServerID
	Replica Replica
	// ReadySince is when the replica was first reported as ready, ConfirmedAt when
	// the owner last confirmed the report, LoadsConfirmedAt when the loads were last
	// confirmed.
	ReadySince, ConfirmedAt, LoadsConfirmedAt time.Time
}

// ReadyReplicas returns the replicas of a model that accept work at now, sorted by
// server.
func (t *Table) ReadyReplicas(m domain.ModelName, now time.Time) []ReadyReplica {
	var out []ReadyReplica
	for _, s := range t.serversByModel[m] {
		e := t.servers[s]
		if at, unloaded := e.unloadedAt[m]; !e.isUsable(now) || unloaded && now.Sub(at) < unloadedExclusionTime {
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

// loadsConfirmedAt returns when the loads were last confirmed. An owner sends them
// when they change, so that they stay confirmed while no newer ones arrive.
func (e *entry) loadsConfirmedAt(now time.Time) time.Time {
	age := now.Sub(e.loadsAt)
	if age > loadsLifetime {
		return e.confirmedAt
	}
	return e.loadsAt.Add(age.Truncate(loadsConfirmInterval))
}

// withLoads returns the report with the loads, unless these have expired.
func (e *entry) withLoads(now time.Time) Server {
	out := e.report.WithoutLoads()
	if now.Sub(e.loadsAt) > loadsLifetime {
		return out
	}
	for _, l := range e.loads.Models {
		if i := out.ReplicaIndex(l.Model); i >= 0 {
			out.Models[i].Running, out.Models[i].Waiting = l.Running, l.Waiting
		}
	}
	return out
}
