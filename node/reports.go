package node

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

// reportLifetime is how long a report is believed without a newer one. It is
// longer than a takeover of a lease, during which the server still works.
const reportLifetime = 30 * time.Second

// Reports keeps the newest load report of each backend server. The zero Reports
// is empty. It is safe for concurrent use.
type Reports struct {
	mu      sync.RWMutex
	servers map[domain.ServerID]*reported
	// loaded lists, per model, the servers whose report has it, loaded or
	// loading; it is derived from servers.
	loaded map[domain.ModelName][]domain.ServerID
}

type reported struct {
	report peer.ServerReport
	at     time.Time
	// since is when each model was first reported as ready.
	since map[domain.ModelName]time.Time
	// dropped are models that the server itself denied after at.
	dropped map[domain.ModelName]bool
}

// Add takes a report that came at now, unless a newer one is known.
func (r *Reports) Add(s peer.ServerReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servers == nil {
		r.servers = make(map[domain.ServerID]*reported)
		r.loaded = make(map[domain.ModelName][]domain.ServerID)
	}
	old := r.servers[s.Server]
	if old != nil && !newer(s, old.report) {
		return
	}
	e := &reported{report: s, at: now, since: make(map[domain.ModelName]time.Time, len(s.Models))}
	for _, m := range s.Models {
		if m.Loading {
			continue
		}
		e.since[m.Model] = now
		if old != nil && !old.since[m.Model].IsZero() {
			e.since[m.Model] = old.since[m.Model]
		}
	}
	r.unindex(old)
	r.servers[s.Server] = e
	for _, m := range s.Models {
		r.loaded[m.Model] = append(r.loaded[m.Model], s.Server)
	}
}

func newer(a, b peer.ServerReport) bool {
	if a.Fence != b.Fence {
		return a.Fence > b.Fence
	}
	return a.Sequence > b.Sequence
}

func (r *Reports) unindex(e *reported) {
	if e == nil {
		return
	}
	for _, m := range e.report.Models {
		rest := slices.DeleteFunc(r.loaded[m.Model], func(s domain.ServerID) bool { return s == e.report.Server })
		if len(rest) == 0 {
			delete(r.loaded, m.Model)
			continue
		}
		r.loaded[m.Model] = rest
	}
}

// Drop forgets that a server has a model, because the server denied it.
func (r *Reports) Drop(s domain.ServerID, m domain.ModelName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[s]
	if e == nil {
		return
	}
	if e.dropped == nil {
		e.dropped = make(map[domain.ModelName]bool)
	}
	e.dropped[m] = true
}

// Forget removes a server that is gone.
func (r *Reports) Forget(s domain.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unindex(r.servers[s])
	delete(r.servers, s)
}

// Models returns the models that any report has, in no order.
func (r *Reports) Models() []domain.ModelName {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]domain.ModelName, 0, len(r.loaded))
	for m := range r.loaded {
		out = append(out, m)
	}
	return out
}

// Loaded is a replica that a report shows as ready.
type Loaded struct {
	Server domain.ServerID
	Model  peer.ModelReport
	// Since is when the replica was first reported, At when the last report came.
	Since, At time.Time
}

// Ready returns the replicas of a model that can take work at now, by ServerID.
func (r *Reports) Ready(m domain.ModelName, now time.Time) []Loaded {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Loaded
	for _, s := range r.loaded[m] {
		e := r.servers[s]
		if !usable(e, now) || e.dropped[m] {
			continue
		}
		if i := modelIndex(e.report, m); i >= 0 && !e.report.Models[i].Loading {
			out = append(out, Loaded{Server: s, Model: e.report.Models[i], Since: e.since[m], At: e.at})
		}
	}
	slices.SortFunc(out, func(a, b Loaded) int { return compare(a.Server, b.Server) })
	return out
}

func usable(e *reported, now time.Time) bool {
	return e.report.Alive && !e.report.Leaving && now.Sub(e.at) <= reportLifetime
}

func modelIndex(s peer.ServerReport, m domain.ModelName) int {
	return slices.IndexFunc(s.Models, func(r peer.ModelReport) bool { return r.Model == m })
}

func compare(a, b domain.ServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Answers returns the last report of a server that answers its owner at now,
// whether or not it takes new work.
func (r *Reports) Answers(s domain.ServerID, now time.Time) (peer.ServerReport, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.servers[s]
	if e == nil || !e.report.Alive || now.Sub(e.at) > reportLifetime {
		return peer.ServerReport{}, false
	}
	return e.report, true
}

// Server returns the last report of a server that is alive and believed at now.
func (r *Reports) Server(s domain.ServerID, now time.Time) (peer.ServerReport, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.servers[s]
	if e == nil || !usable(e, now) {
		return peer.ServerReport{}, false
	}
	return e.report, true
}
