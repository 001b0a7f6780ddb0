package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// OwnerlessLifetime is how long a report is believed after its owner was
	// lost. It is longer than a takeover of a lease, during which the server still
	// works.
	OwnerlessLifetime = 30 * time.Second
	// deniedFor is how long a replica that its server denied is left out where no
	// newer report comes.
	deniedFor = 2 * time.Second
	// loadsLifetime is how long loads are believed. An owner repeats them at each
	// renewal of a subscription.
	loadsLifetime = SubscriptionLifetime
	// silenceConfirms is after how long without a message counts hold anew.
	silenceConfirms = time.Second
)

// Table is the newest report of each backend server. The zero Table is empty. It is
// not safe for concurrent use.
type Table struct {
	servers map[domain.ServerID]*entry
	// replicas lists, per model, the servers whose report has it, loaded or
	// loading; it is derived from servers.
	replicas map[domain.ModelName][]domain.ServerID
}

type entry struct {
	report Server
	// at is when the owner last confirmed the report, as far as known here.
	at time.Time
	// since is when each model was first reported as ready.
	since map[domain.ModelName]time.Time
	// denied are models that the server itself denied after at.
	denied  map[domain.ModelName]time.Time
	loads   Loads
	loadsAt time.Time
	// ownerless is since when no owner keeps the server; zero while one does.
	ownerless time.Time
}

// Add takes a report that came at now and tells whether it is newer than what
// was known. The same report again only confirms it.
func (t *Table) Add(s Server, now time.Time) bool {
	if t.servers == nil {
		t.servers = make(map[domain.ServerID]*entry)
		t.replicas = make(map[domain.ModelName][]domain.ServerID)
	}
	old := t.servers[s.Server]
	if old != nil && !s.Version().Newer(old.report.Version()) {
		if s.Version() == old.report.Version() && now.After(old.at) {
			old.at = now
		}
		return false
	}
	e := &entry{report: s, at: now, since: make(map[domain.ModelName]time.Time, len(s.Models))}
	for _, m := range s.Models {
		if m.Loading {
			continue
		}
		e.since[m.Model] = now
		if old != nil && !old.since[m.Model].IsZero() {
			e.since[m.Model] = old.since[m.Model]
		}
	}
	if old != nil {
		e.loads, e.loadsAt = old.loads, old.loadsAt
	}
	t.unindex(old)
	t.servers[s.Server] = e
	for _, m := range s.Models {
		t.replicas[m.Model] = append(t.replicas[m.Model], s.Server)
	}
	return true
}

// AddLoads takes counts that came at now, unless newer ones are known.
func (t *Table) AddLoads(l Loads, now time.Time) {
	e := t.servers[l.Server]
	if e == nil || !l.Version().Newer(e.loads.Version()) || l.Fence < e.report.Fence {
		return
	}
	e.loads, e.loadsAt = l, now
}

func (t *Table) unindex(e *entry) {
	if e == nil {
		return
	}
	for _, m := range e.report.Models {
		rest := slices.DeleteFunc(t.replicas[m.Model], func(s domain.ServerID) bool { return s == e.report.Server })
		if len(rest) == 0 {
			delete(t.replicas, m.Model)
			continue
		}
		t.replicas[m.Model] = rest
	}
}

// MarkUnloaded leaves a replica out that its server denied at now.
func (t *Table) MarkUnloaded(s domain.ServerID, m domain.ModelName, now time.Time) {
	e := t.servers[s]
	if e == nil {
		return
	}
	if e.denied == nil {
		e.denied = make(map[domain.ModelName]time.Time)
	}
	e.denied[m] = now
}

// Remove removes a server that is gone.
func (t *Table) Remove(s domain.ServerID) {
	t.unindex(t.servers[s])
	delete(t.servers, s)
}

// Ownership is what the agreed state and the view of the nodes say of a server.
type Ownership int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Standing -output=standing_string.go

// The standings.
const (
	// Owned servers have an owner that is alive.
	Owned Ownership = iota
	// Ownerless servers have none at the moment.
	Ownerless
	// Gone servers are in neither the agreed state nor the platform's list.
	Gone
)

// ApplyOwnership takes in how the servers stand at now and forgets those that are gone.
func (t *Table) ApplyOwnership(now time.Time, standing func(domain.ServerID) Ownership) {
	for s, e := range t.servers {
		switch standing(s) {
		case Owned:
			e.ownerless = time.Time{}
		case Ownerless:
			if e.ownerless.IsZero() {
				e.ownerless = now
			}
		case Gone:
			t.Remove(s)
		}
	}
}

// IsEmpty tells whether no report is known.
func (t *Table) IsEmpty() bool { return len(t.servers) == 0 }

// Models returns the models that any report has, in no order.
func (t *Table) Models() []domain.ModelName {
	out := make([]domain.ModelName, 0, len(t.replicas))
	for m := range t.replicas {
		out = append(out, m)
	}
	return out
}

// ReadyReplica is a replica that a report shows as ready.
type ReadyReplica struct {
	Server  domain.ServerID
	Replica Replica
	// ReadySince is when the replica was first reported, At when its owner last
	// confirmed it, CountedAt as of when the counts hold.
	ReadySince, ConfirmedAt, LoadsConfirmedAt time.Time
}

// ReadyReplicas returns the replicas of a model that can take work at now, by ServerID.
func (t *Table) ReadyReplicas(m domain.ModelName, now time.Time) []ReadyReplica {
	var out []ReadyReplica
	for _, s := range t.replicas[m] {
		e := t.servers[s]
		if d, denied := e.denied[m]; !e.usable(now) || denied && now.Sub(d) < deniedFor {
			continue
		}
		r := e.merged(now)
		if i := r.ReplicaIndex(m); i >= 0 && !r.Models[i].Loading {
			out = append(out, ReadyReplica{Server: s, Replica: r.Models[i], ReadySince: e.since[m], ConfirmedAt: e.at, LoadsConfirmedAt: e.countedAt(now)})
		}
	}
	slices.SortFunc(out, func(a, b ReadyReplica) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// UsableReport returns the last report of a server that is alive and believed at now,
// with the counts that are known.
func (t *Table) UsableReport(s domain.ServerID, now time.Time) (Server, bool) {
	e := t.servers[s]
	if e == nil || !e.usable(now) {
		return Server{}, false
	}
	return e.merged(now), true
}

// ConfirmedAt returns when the owner of a server last confirmed its report.
func (t *Table) ConfirmedAt(s domain.ServerID) time.Time {
	if e := t.servers[s]; e != nil {
		return e.at
	}
	return time.Time{}
}

// AliveReport returns the last report of a server that is alive and believed at now,
// also where it takes no new work.
func (t *Table) AliveReport(s domain.ServerID, now time.Time) (Server, bool) {
	e := t.servers[s]
	if e == nil || !e.report.Alive || !e.believed(now) {
		return Server{}, false
	}
	return e.merged(now), true
}

// ReplicaIndex returns the index of a model among the replicas, or -1.
func (s Server) ReplicaIndex(m domain.ModelName) int {
	return slices.IndexFunc(s.Models, func(r Replica) bool { return r.Model == m })
}

func (e *entry) usable(now time.Time) bool {
	return e.report.Alive && !e.report.Leaving && e.believed(now)
}

// believed tells whether the server has an owner, or had one a short while ago.
func (e *entry) believed(now time.Time) bool {
	return e.ownerless.IsZero() || now.Sub(e.ownerless) <= OwnerlessLifetime
}

// countedAt returns as of when the counts hold. An owner sends them when they change,
// so that its silence confirms them.
func (e *entry) countedAt(now time.Time) time.Time {
	age := now.Sub(e.loadsAt)
	if age > loadsLifetime {
		return e.at
	}
	return e.loadsAt.Add(age.Truncate(silenceConfirms))
}

// merged returns the report with the counts that are still believed.
func (e *entry) merged(now time.Time) Server {
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
