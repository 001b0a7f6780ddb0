// Package membership decides which nodes are alive. It is a failure detector with
// gossip in the manner of SWIM. Package peer passes it the results of connections,
// the updates from other nodes and the time. It returns to package peer which nodes to
// keep links to, which nodes to probe and which updates to send. It does no I/O and
// reads no clock. A wrong view costs efficiency, never correctness: exclusive decisions
// are made through the platform's log.
package membership

import "github.com/parsleylug/parsleylug/domain"

// Member describes one node to the others.
type Member struct {
	Node domain.NodeID
	// Address is the HOST:PORT of the peer listener, AdminAddress that of the
	// operator listener.
	Address, AdminAddress string
	Region                domain.Region
	Zone                  domain.Zone
	// Leaving nodes are shutting down: they still respond but are chosen for no role.
	Leaving bool
}

// Status is the state of a node in the view of another.
type Status int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Status -output=status_string.go

// The statuses in order of precedence: of two updates with the same incarnation, the one
// with the later status in this list wins.
const (
	// Listed nodes are known from the platform's list only and do not count as alive.
	Listed Status = iota
	Alive
	// Suspect nodes did not respond to a new connection. They count as alive until
	// the suspicion times out.
	Suspect
	// Gone nodes did not refute a suspicion in time, never responded, refused
	// connections or left.
	Gone
)

// Update is the gossiped state of one node. The update with the larger Incarnation wins,
// and at equal incarnations the one with the later Status. Only the node itself raises
// its incarnation.
type Update struct {
	// Member may contain only the node id if Status is Gone.
	Member      Member
	Status      Status
	Incarnation uint64
}

func (u Update) supersedes(e *entry) bool {
	if u.Incarnation != e.Incarnation {
		return u.Incarnation > e.Incarnation
	}
	return u.Status > e.Status
}
