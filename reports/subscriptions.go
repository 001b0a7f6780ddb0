package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// LoadsInterval is the least time between two loads of one server to one
	// subscriber.
	LoadsInterval = 250 * time.Millisecond
	// loadsSpacing is how much of that each subscriber adds, so that a server's
	// loads are at most 5 messages a second however many nodes route to it.
	loadsSpacing = 200 * time.Millisecond
	// RenewInterval is how often a subscription is renewed.
	RenewInterval = 10 * time.Second
	// SubscriptionLifetime is how long one lasts; one renewal may be lost.
	SubscriptionLifetime = 25 * time.Second
)

// Subscriptions are who is told the loads of the servers that a node owns. The zero
// Subscriptions has none. It is not safe for concurrent use.
type Subscriptions struct {
	servers map[domain.ServerID]*subscribed
}

type subscribed struct {
	sequence uint64
	nodes    map[domain.NodeID]*subscriber
}

type subscriber struct {
	renewedAt time.Time
	toldAt    time.Time
	told      []Load
	// owed is true until the first loads after a renewal are sent.
	owed bool
}

// Renew takes in that a node routes to a server.
func (s *Subscriptions) Renew(n domain.NodeID, server domain.ServerID, now time.Time) {
	v := s.server(server)
	if v.nodes[n] == nil {
		v.nodes[n] = &subscriber{}
	}
	v.nodes[n].renewedAt, v.nodes[n].owed = now, true
}

func (s *Subscriptions) server(id domain.ServerID) *subscribed {
	if s.servers == nil {
		s.servers = make(map[domain.ServerID]*subscribed)
	}
	if s.servers[id] == nil {
		s.servers[id] = &subscribed{nodes: make(map[domain.NodeID]*subscriber)}
	}
	return s.servers[id]
}

// AssignSequence gives loads the next sequence number of their server.
func (s *Subscriptions) AssignSequence(l Loads) Loads {
	v := s.server(l.Server)
	v.sequence++
	l.Sequence = v.sequence
	return l
}

// DueSubscribers returns the nodes to which the loads of a server, quantised, go at now, and
// counts them as told.
func (s *Subscriptions) DueSubscribers(l Loads, now time.Time) []domain.NodeID {
	v := s.server(l.Server)
	v.lapse(now)
	pause := max(LoadsInterval, time.Duration(len(v.nodes))*loadsSpacing)
	var out []domain.NodeID
	for n, u := range v.nodes {
		if !u.owed && slices.Equal(u.told, l.Models) || now.Sub(u.toldAt) < pause {
			continue
		}
		u.told, u.toldAt, u.owed = l.Models, now, false
		out = append(out, n)
	}
	slices.SortFunc(out, cmp.Compare[domain.NodeID])
	return out
}

// RemoveExpired forgets at now who did not renew, also of servers that this node no longer
// owns.
func (s *Subscriptions) RemoveExpired(now time.Time) {
	for _, v := range s.servers {
		v.lapse(now)
	}
}

func (v *subscribed) lapse(now time.Time) {
	for n, u := range v.nodes {
		if now.Sub(u.renewedAt) > SubscriptionLifetime {
			delete(v.nodes, n)
		}
	}
}
