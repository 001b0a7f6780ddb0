package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/admission"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
)

// minimumGrantInterval is the shortest time between two looks at the waiting requests without an
// event that freed room. Each look is another try to use the same free places.
const minimumGrantInterval = admission.PollInterval * 9 / 10

// waiter is a request that needs room. The mutex of the room guards it.
type waiter struct {
	contender admission.Contender
	request   *Request
	// avoidedServers are those that have failed or refused the request.
	avoidedServers map[domain.ServerID]bool
	// granted gets the server at which the request has got room, with an attempt in flight there.
	granted chan grant
	// isQueued is true while the request waits, since queuedAt.
	isQueued bool
	queuedAt time.Time
	// isReviewed is true once the outlook was assessed again.
	isReviewed bool
}

// grant is the server for an attempt and the data behind its choice.
type grant struct {
	server *fleet.Server
	inputs choiceInputs
}

// choose returns the server for an attempt, at which it counts an attempt in flight.
func (d *Dispatcher) choose(now time.Time, r *Request, candidates []*fleet.Server, avoidedServers map[domain.ServerID]bool) (*fleet.Server, choiceInputs) {
	here := location{zone: d.Zone, regions: d.Regions}
	return d.chooser.choose(now, here, candidates, r, avoidedServers)
}

// takeRoom returns a server with room for a request, at which it counts an attempt in flight, or
// nil. freed is a server at which an attempt of this node has just ended: other nodes do not know
// of the place. The caller holds the mutex of the room.
func (d *Dispatcher) takeRoom(now time.Time, m *room, w *waiter, servers []*fleet.Server, freed domain.ServerID) *grant {
	servers = slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return w.avoidedServers[s.ID] })
	loads := m.loadsOf(now, servers)
	roominess := m.contention.Roominess(now, &w.contender, loads)
	var open []*fleet.Server
	for i, s := range servers {
		random := rand.Float64()
		if s.ID == freed {
			random = 0
		}
		if m.contention.MayTake(now, &w.contender, loads[i], roominess, random) {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return nil
	}
	server, inputs := d.choose(now, w.request, open, nil)
	m.contention.RecordSending(now, &w.contender)
	return &grant{server: server, inputs: inputs}
}

// grantRoom gives free places to the waiting requests in their order. A request for which there is
// none holds up those behind it that need the same model. The caller holds the mutex of the room.
func (d *Dispatcher) grantRoom(now time.Time, m *room, freed domain.ServerID) {
	if len(m.waiters) == 0 || freed == "" && now.Sub(m.grantedAt) < minimumGrantInterval {
		return
	}
	m.grantedAt = now
	view := d.Views.Get()
	heldUp := map[placement.ModelKey]bool{}
	for _, c := range m.contention.Order(now) {
		w := m.waiters[c]
		if heldUp[w.request.key()] {
			continue
		}
		servers := d.Notices.Select(now, w.request.ArrivedAt, d.capableServers(now, view, w.request)).Open
		g := d.takeRoom(now, m, w, servers, freed)
		if g == nil {
			heldUp[w.request.key()] = len(w.avoidedServers) == 0
			continue
		}
		d.dequeue(now, m, w)
		w.granted <- *g
	}
}

// dequeue ends the wait of a request for room. The caller holds the mutex of the room.
func (d *Dispatcher) dequeue(now time.Time, m *room, w *waiter) {
	if !w.isQueued {
		return
	}
	w.isQueued = false
	m.contention.Remove(&w.contender)
	delete(m.waiters, &w.contender)
	if d.RoomCounters != nil {
		d.RoomCounters.RecordRoomWait(w.contender.Rank, now.Sub(w.queuedAt))
	}
	d.countWaiting(w.contender.Rank, -1)
}

// enqueue begins the wait of a request for room. The caller holds the mutex of the room.
func (d *Dispatcher) enqueue(now time.Time, m *room, w *waiter) {
	w.isQueued, w.queuedAt = true, now
	m.contention.Add(&w.contender)
	m.waiters[&w.contender] = w
	d.countWaiting(w.contender.Rank, 1)
}

// countWaiting adds n to the number of requests of a rank that wait for room.
func (d *Dispatcher) countWaiting(rank, n int) {
	if d.RoomCounters == nil || rank < 0 || rank >= admission.Ranks {
		return
	}
	d.rooms.mu.Lock()
	defer d.rooms.mu.Unlock()
	d.rooms.waiting[rank] += n
	d.RoomCounters.SetWaitingForRoom(rank, d.rooms.waiting[rank])
}

// handleFreed gives the place of an attempt that has ended to a waiting request.
func (d *Dispatcher) handleFreed(now time.Time, service domain.ServiceName, server domain.ServerID) {
	m := d.rooms.find(now, service)
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	d.grantRoom(now, m, server)
}

// grantAll gives places that the latest loads of servers show as free to waiting requests.
func (d *Dispatcher) grantAll(now time.Time) {
	view := d.Views.Get()
	for service, m := range d.rooms.all() {
		m.mu.Lock()
		m.observe(now, view.Servers[service])
		d.grantRoom(now, m, "")
		m.mu.Unlock()
	}
}

// recordRoomResponse records what a response says of the load of its server. Requests compete for room
// only at services whose servers report their pace: the loads of others are not shared by the nodes,
// and one node alone does not know how full their servers are.
func (s *session) recordRoomResponse(now time.Time, server domain.ServerID, r *Response) {
	if r.Load.Known && r.Load.Pace > 0 {
		s.dispatcher.rooms.recordReport(now, s.request.Service, &s.dispatcher.chooser)
	}
	if r.Refusal != Full {
		return
	}
	if m := s.dispatcher.rooms.find(now, s.request.Service); m != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.contention.RecordRejection(now, admission.ServerLoad{Server: server})
	}
}

// recordRoomEnd records for how long a server ran the request.
func (s *session) recordRoomEnd(now time.Time, a *attempt, isComplete bool) {
	m := s.dispatcher.rooms.find(now, s.request.Service)
	if m == nil || !isComplete {
		return
	}
	firstEventAt := s.responseStartedAt
	if firstEventAt.Before(a.startedAt) {
		firstEventAt = now
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contention.RecordHoldTime(now.Sub(a.startedAt))
	m.contention.RecordFirstEvent(firstEventAt.Sub(a.startedAt))
}
