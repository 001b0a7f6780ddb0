package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/admission"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
)

const (
	// reportingPeriod is how long after its latest load report a service counts as one whose
	// servers report their load.
	reportingPeriod = 30 * time.Second
	// observationInterval is how often the loads of all servers of a service are looked at.
	observationInterval = 250 * time.Millisecond
	// refusedContentLifetime is how long a node remembers that it has refused a content.
	refusedContentLifetime = 8 * time.Second
	// maximumRefusedContents bounds the refused contents that a node remembers.
	maximumRefusedContents = 1024
	// goallessShare is the latency goal of a route without one, as a share of the request's timeout.
	goallessShare = 0.25
)

// loadEstimator estimates the loads of servers.
type loadEstimator interface {
	estimateLoad(now time.Time, s *fleet.Server) serverLoad
}

// rooms holds the services whose servers report their load. The zero rooms is ready for use. It is
// safe for concurrent use.
type rooms struct {
	// mu may be locked while the mutex of a room is held, but not the other way round.
	mu       sync.Mutex
	services map[domain.ServiceName]*room
	// waiting is the number of requests of each rank that wait for room.
	waiting [admission.Ranks]int
	// refusedAt holds the contents that were refused for lack of room, with the time of the latest
	// refusal.
	refusedAt map[suspects.Content]time.Time
}

// room is the competition of the requests of this node for the servers of one service.
type room struct {
	mu         sync.Mutex
	contention admission.Contention
	loads      loadEstimator
	// reportedAt is when a server of the service last reported its load, observedAt when the loads
	// of all of them were last looked at, and grantedAt when the waiting requests last were.
	reportedAt, observedAt, grantedAt time.Time
	// waiters are the requests that wait for room.
	waiters map[*admission.Contender]*waiter
}

// recordReport records that a server of a service has reported its load.
func (r *rooms) recordReport(now time.Time, service domain.ServiceName, loads loadEstimator) {
	m := r.add(service, loads)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedAt = now
}

// add returns the room of a service, which it adds if needed.
func (r *rooms) add(service domain.ServiceName, loads loadEstimator) *room {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.services[service]
	if m == nil {
		if r.services == nil {
			r.services = map[domain.ServiceName]*room{}
		}
		m = &room{loads: loads, waiters: map[*admission.Contender]*waiter{}}
		r.services[service] = m
	}
	return m
}

// all returns the rooms of all services.
func (r *rooms) all() map[domain.ServiceName]*room {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.services)
}

// find returns the room of a service, or nil if its servers do not report their load.
func (r *rooms) find(now time.Time, service domain.ServiceName) *room {
	r.mu.Lock()
	m := r.services[service]
	r.mu.Unlock()
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.reportedAt) > reportingPeriod {
		return nil
	}
	return m
}

// recordRefusal remembers that a content was refused. The zero Content is none.
func (r *rooms) recordRefusal(now time.Time, c suspects.Content) {
	if c == (suspects.Content{}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refusedAt) >= maximumRefusedContents {
		maps.DeleteFunc(r.refusedAt, func(_ suspects.Content, at time.Time) bool { return now.Sub(at) >= refusedContentLifetime/2 })
	}
	if r.refusedAt == nil || len(r.refusedAt) >= maximumRefusedContents {
		r.refusedAt = map[suspects.Content]time.Time{}
	}
	r.refusedAt[c] = now
}

// wasRefused reports whether a content was refused within refusedContentLifetime.
func (r *rooms) wasRefused(now time.Time, c suspects.Content) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.refusedAt[c]
	return ok && now.Sub(at) < refusedContentLifetime
}

// newContender returns a request as package admission sees it.
func (r *rooms) newContender(now time.Time, q *Request) admission.Contender {
	goal := q.Route.LatencyGoal
	if goal <= 0 {
		goal = time.Duration(goallessShare * float64(q.Deadline.Sub(q.ArrivedAt)))
	}
	c := admission.Contender{
		Rank: q.Rank, Model: q.Model, ArrivedAt: q.ArrivedAt, GoalAt: q.ArrivedAt.Add(goal), Deadline: q.Deadline,
		IsRetried: r.wasRefused(now, q.Content),
	}
	if q.Workspace != nil {
		c.Workspace = q.Workspace.Name
	}
	return c
}

// load returns the load of a server as package admission sees it.
func (m *room) load(now time.Time, s *fleet.Server) admission.ServerLoad {
	l := m.loads.estimateLoad(now, s)
	return admission.ServerLoad{Server: s.ID, IsKnown: l.known, InUse: l.inUse, Slots: l.slots, Pace: l.pace, Wait: l.wait}
}

func (m *room) loadsOf(now time.Time, servers []*fleet.Server) []admission.ServerLoad {
	list := make([]admission.ServerLoad, 0, len(servers))
	for _, s := range servers {
		list = append(list, m.load(now, s))
	}
	return list
}

// observe looks at the loads of all servers of the service, at most each observationInterval. The
// caller holds mu.
func (m *room) observe(now time.Time, servers []*fleet.Server) {
	if now.Sub(m.observedAt) < observationInterval {
		return
	}
	m.observedAt = now
	for _, s := range servers {
		m.contention.Observe(now, m.load(now, s))
	}
}

// withRoom returns the servers that have room for a request. The caller holds mu.
func (m *room) withRoom(now time.Time, c *admission.Contender, servers []*fleet.Server) []*fleet.Server {
	var list []*fleet.Server
	for _, s := range servers {
		if m.contention.HasRoom(now, c, m.load(now, s)) {
			list = append(list, s)
		}
	}
	return list
}
