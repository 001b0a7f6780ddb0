package hub

import (
	"sync"

	"github.com/parsleylug/parsleylug/domain"
)

// maximumQueuedMessages bounds the messages that are queued for one node. They are joined into one
// beyond that, so that a slow node costs memory for the newest states only.
const maximumQueuedMessages = 16

// message is an update with its encoding, which the links that are sent the same update share.
type message struct {
	update Update
	data   []byte
}

// newMessage returns the message for an update.
func newMessage(u Update) (*message, error) {
	data, err := encodeUpdate(u)
	return &message{update: u, data: data}, err
}

// outbox holds the messages that one node has not been sent yet. The zero outbox is not ready for
// use: changed must have room for one value.
type outbox struct {
	mu    sync.Mutex
	queue []*message
	// changed gets a value when the outbox has a message.
	changed chan struct{}
}

// add queues a message.
func (o *outbox) add(m *message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue = append(o.queue, m)
	if len(o.queue) > maximumQueuedMessages {
		o.queue = []*message{{update: mergedUpdate(o.queue)}}
	}
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// take empties the outbox and returns the encoding of all that was queued as one message; nil if
// there was none.
func (o *outbox) take() ([]byte, error) {
	o.mu.Lock()
	queue := o.queue
	o.queue = nil
	o.mu.Unlock()
	switch {
	case len(queue) == 0:
		return nil, nil
	case len(queue) == 1 && queue[0].data != nil:
		return queue[0].data, nil
	}
	return encodeUpdate(mergedUpdate(queue))
}

// mergedUpdate returns one update with the effect of all in their order.
func mergedUpdate(queue []*message) Update {
	var u Update
	position := map[domain.ServerID]int{}
	for _, m := range queue {
		for _, s := range m.update.Servers {
			if i, ok := position[s.ID]; ok {
				u.Servers[i] = s
				continue
			}
			position[s.ID] = len(u.Servers)
			u.Servers = append(u.Servers, s)
		}
		u.CrashReports = append(u.CrashReports, m.update.CrashReports...)
		u.Traits.Append(m.update.Traits)
		u.Contents = append(u.Contents, m.update.Contents...)
		if m.update.NodeCount > 0 {
			u.NodeCount = m.update.NodeCount
		}
		if m.update.CandidateCount > 0 {
			u.CandidateCount = m.update.CandidateCount
		}
		u.Store = u.Store.followedBy(m.update.Store)
		u.Registrations = u.Registrations.followedBy(m.update.Registrations)
		u.Loads = mergedLoads(u.Loads, m.update.Loads)
		u.Prefixes = mergedPrefixes(u.Prefixes, m.update.Prefixes)
		u.Keys = u.Keys.followedBy(m.update.Keys)
		u.Grants = u.Grants.FollowedBy(m.update.Grants)
		if m.update.StoreFailure.Known {
			u.StoreFailure = m.update.StoreFailure
		}
	}
	return u
}

// followedBy returns the store update with the effect of u and then of next.
func (u StoreUpdate) followedBy(next StoreUpdate) StoreUpdate {
	if next == (StoreUpdate{}) {
		return u
	}
	if !next.RegistrationsRead && u.Era() == next.Era() {
		next.RegistrationsRead, next.ReadAge, next.ReadOffset = u.RegistrationsRead, u.ReadAge, u.ReadOffset
	}
	return next
}

// followedBy returns the changes with the effect of c and then of next.
func (c RegistrationChanges) followedBy(next RegistrationChanges) RegistrationChanges {
	if len(next.Changes) == 0 {
		return c
	}
	if len(c.Changes) == 0 || c.Offset.Era() != next.Offset.Era() {
		return next
	}
	merged := RegistrationChanges{Previous: c.Previous, Offset: next.Offset}
	if next.Previous > c.Offset {
		// There are changes between them that neither has.
		merged.Previous = next.Previous
	}
	merged.Changes = append(append(merged.Changes, c.Changes...), next.Changes...)
	return merged
}
