package peer

import (
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

// Member describes one node to the others.
type Member = membership.Member

// ProtocolVersion increases when nodes of the previous version can no longer understand
// the frames. A node refuses links of other versions.
const ProtocolVersion = 1

// Hello opens a link. The response is Welcome or Failed.
type Hello struct {
	Version int
	// Cluster separates systems that can reach each other's addresses.
	Cluster string
	// To is the node that the dialler expects at the address. If another node is there,
	// it accepts the link too.
	To   domain.NodeID
	Self membership.Update
}

// Welcome accepts a link.
type Welcome struct {
	Self membership.Update
	// DiallerUpdates holds the update about the dialler in the view of the accepting
	// node if the dialler is suspect or gone there, so that the dialler can refute it.
	DiallerUpdates []membership.Update
}

// Gossip carries membership updates; it has no response.
type Gossip struct{ Updates []membership.Update }

// Compare holds the digests of the sender's view. A node whose view differs sends
// Differs. Both are one-way messages.
type Compare struct{ Digests membership.Digests }

// Differs holds the sender's updates for the buckets that differ.
type Differs struct {
	Updates []membership.Update
	// Digests are the digests of the sender. The receiver returns the updates that the
	// sender lacks in a second Differs, whose Digests are zero.
	Digests membership.Digests
}

func (Hello) message()   {}
func (Welcome) message() {}
func (Gossip) message()  {}
func (Compare) message() {}
func (Differs) message() {}
