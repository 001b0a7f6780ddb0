// Package membership decides which nodes are alive, from what a node hears. It
// is pure: it is given events and the time, and says whom to link with, whom to
// probe and what to pass on. A wrong view costs efficiency, never correctness:
// what must be exclusive is agreed in the platform's log.
package membership

import "github.com/parsleylug/parsleylug/domain"

// Member is what the nodes know of one node.
type Member struct {
	Node domain.NodeID
	// Address is the HOST:PORT of the peer listener, AdminAddress of the operator
	// listener.
	Address, AdminAddress string
	Region                domain.Region
	Zone                  domain.Zone
	// Leaving nodes still answer and are chosen for no role.
	Leaving bool
}

// Status is what a node thinks of another.
type Status int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Status -output=status_string.go

// The statuses, in the order in which a later one wins at the same incarnation.
const (
	// Listed nodes are only known from the platform's list.
	Listed Status = iota
	Alive
	// Suspect nodes did not answer; they count as alive until SuspicionTime is
	// over.
	Suspect
	// Gone nodes did not refute the suspicion, refused connections or left.
	Gone
)

// Update is one piece of news about a node. A larger Incarnation wins; at the
// same one the later Status wins. Only the node itself raises its incarnation.
type Update struct {
	// Member may hold the id alone where Status is Gone.
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
