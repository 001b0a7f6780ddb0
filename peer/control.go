package peer

import (
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

// Member is what the nodes know of one node.
type Member = membership.Member

// ProtocolVersion is raised when nodes of the version before cannot understand
// the frames any more. A node refuses a link of another version.
const ProtocolVersion = 1

// Hello opens a link. The answer is Welcome or Failed.
type Hello struct {
	Version int
	// Cluster keeps systems apart that reach each other's addresses.
	Cluster string
	// To is the node that the dialler expects at the address; the link is made
	// also where another one answers.
	To   domain.NodeID
	Self membership.Update
}

// Welcome accepts a link.
type Welcome struct {
	Self membership.Update
	// News is what the accepting node thought of the dialler, so that the dialler can
	// refute it.
	News []membership.Update
}

// Gossip passes membership news on; it has no answer.
type Gossip struct{ Updates []membership.Update }

// Compare holds the digests of the sender's view; a node whose view differs
// answers with Differs. Both have no answer of their own.
type Compare struct{ Digests membership.Digests }

// Differs holds what the sender knows of the nodes in the buckets that differ.
type Differs struct {
	Updates []membership.Update
	// Digests are the sender's, so that the receiver can return what the sender
	// lacks; they are zero in that return.
	Digests membership.Digests
}

func (Hello) message()   {}
func (Welcome) message() {}
func (Gossip) message()  {}
func (Compare) message() {}
func (Differs) message() {}
