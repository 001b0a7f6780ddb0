package node

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/peer"
)

// Deps is what a node is made of. It is passed down to the parts of the node.
type Deps struct {
	Self      peer.Member
	Agreement Agreement
	Mesh      Mesh
	Directory *Directory
	Reports   *Reports
	Engines   engine.Orderer
	// KeepAlive is how long an idle replica stays loaded.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	Scope     tally.Scope
	// Leaving tells whether this node is stopping.
	Leaving func() bool
	// Settled tells whether this node's view of the others has had time to form.
	// Until then it takes no lease and is not ready.
	Settled func() bool
}

// node is the id of this process.
func (d *Deps) node() domain.NodeID { return d.Self.Node }

// members are the live nodes that are not leaving; this node is among them
// unless it is leaving itself.
func (d *Deps) members() []domain.NodeID {
	all := d.Mesh.Members()
	out := make([]domain.NodeID, 0, len(all))
	for _, m := range all {
		if m.Leaving || (m.Node == d.node() && d.Leaving()) {
			continue
		}
		out = append(out, m.Node)
	}
	return out
}

// regionMembers are the members in a region, or all of them where it has none.
func (d *Deps) regionMembers(r domain.Region) []domain.NodeID {
	var out []domain.NodeID
	for _, m := range d.Mesh.Members() {
		if m.Region != r || m.Leaving || (m.Node == d.node() && d.Leaving()) {
			continue
		}
		out = append(out, m.Node)
	}
	if len(out) == 0 {
		return d.members()
	}
	return out
}
