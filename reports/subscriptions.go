package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// LoadsInterval is the minimum interval between two messages with the loads of one
	// server to one subscriber.
	LoadsInterval = 250 * time.Millisecond
	// intervalPerSubscriber, times the number of subscribers, is the interval for
	// servers with two or more subscribers, so that the loads of a server cause at most
	// 5 messages a second, however many nodes route to it.
	intervalPerSubscriber = 200 * time.Millisecond
	// RenewInterval is how often a subscription is renewed.
	RenewInterval = 10 * time.Second
	// SubscriptionLifetime is how long a subscription lasts without a renewal; it
	// allows for one lost renewal.
	SubscriptionLifetime = 25 * time.Second
)

// Subscriptions are the nodes that subscribe to the loads of the servers that this
// node owns. The zero Subscriptions has none. It is not safe for concurrent use.
type Subscriptions struct {
	servers map[domain.ServerID]*serverSubscribers
}

// serverSubscribers are the subscribers to the loads of one server.
type serverSubscribers struct {
	// sequence is the sequence number of the newest loads.
	sequence    uint64
	subscribers map[domain.NodeID]*subscriber
}

type subscriber struct {
	renewedAt  time.Time
	lastSentAt time.Time
	lastLoads  []Load
	// forceSend is set by a renewal until the next loads are sent, so that the
	// subscriber receives the loads again even if they did not change.
	forceSend bool
}

// Renew adds a node to the subscribers of a server's loads or renews its
// subscription.
func (s *Subscriptions) Renew(n domain.NodeID, server domain.ServerID, now time.Time) {
	v := s.subscribersOf(server)
	if v.subscribers[n] == nil {
		v.subscribers[n] = &subscriber{}
	}
	v.subscribers[n].renewedAt, v.subscribers[n].forceSend = now, true
}

func (s *Subscriptions) subscribersOf(id domain.ServerID) *serverSubscribers {
	if s.servers == nil {
		s.servers = make(map[domain.ServerID]*serverSubscribers)
	}
	if s.servers[id] == nil {
		s.servers[id] = &serverSubscribers{subscribers: make(map[domain.NodeID]*subscriber)}
	}
	return s.servers[id]
}

// AssignSequence returns loads with the next sequence number of their server.
func (s *Subscriptions) AssignSequence(l Loads) Loads {
	v := s.subscribersOf(l.Server)
	v.sequence++
	l.Sequence = v.sequence
	return l
}

// DueSubscribers returns the nodes to send the quantised loads l at now, and records l
// as sent to them. It omits nodes whose last message is too recent, and nodes that
// already have the same loads and did not renew their subscription since. It removes the
// subscriptions to the server that have expired.
func (s *Subscriptions) DueSubscribers(l Loads, now time.Time) []domain.NodeID {
	v := s.subscribersOf(l.Server)
	v.removeExpired(now)
	interval := max(LoadsInterval, time.Duration(len(v.subscribers))*intervalPerSubscriber)
	var out []domain.NodeID
	for n, u := range v.subscribers {
		if !u.forceSend && slices.Equal(u.lastLoads, l.Models) || now.Sub(u.lastSentAt) < interval {
			continue
		}
		u.lastLoads, u.lastSentAt, u.forceSend = l.Models, now, false
		out = append(out, n)
	}
	slices.SortFunc(out, cmp.Compare[domain.NodeID])
	return out
}

// RemoveExpired removes the subscriptions that have expired at now, including those
// to servers that this node no longer owns.
func (s *Subscriptions) RemoveExpired(now time.Time) {
	for _, v := range s.servers {
		v.removeExpired(now)
	}
}

func (v *serverSubscribers) removeExpired(now time.Time) {
	for n, u := range v.subscribers {
		if now.Sub(u.renewedAt) > SubscriptionLifetime {
			delete(v.subscribers, n)
		}
	}
}
