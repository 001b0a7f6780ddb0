package node

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/waking"
)

// Deps is what a node is made of. It is passed down to the parts of the node.
type Deps struct {
	Self      peer.Member
	Agreement Agreement
	Mesh      Mesh
	Directory *Directory
	Reports   *Reports
	// News passes reports and loads on.
	News    *News
	Engines engine.Orderer
	// Waking decides how long an idle replica stays loaded; without it that is KeepAlive.
	Waking *waking.Policy
	// KeepAlive is how long an idle replica stays loaded at most; zero means for good.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	Scope     tally.Scope
	// Leaving tells whether this node is stopping.
	Leaving func() bool
	// Journal keeps what was decided for requests; it may be nil.
	Journal *decisions.Journal
	// LogDown tells whether what needs the platform's log is refused at once.
	LogDown func() bool
	// Settled tells whether this node's view of the others has had time to form.
	// Until then it takes no lease and is not ready.
	Settled func() bool
}

// node is the id of this process.
func (d *Deps) node() domain.NodeID { return d.Self.Node }

// members are the live nodes that are not leaving; this node is among them
// unless it is leaving itself. Drained nodes are left out while there are others.
func (d *Deps) members() []domain.NodeID {
	if out := d.choose(d.undrained()); len(out) > 0 {
		return out
	}
	return d.choose(func(peer.Member) bool { return true })
}

// regionMembers are the members in a region that may own its servers. Where there
// are none, all members may, but only once the platform's list agrees that the
// region has none: regions that lose each other would take each other's leases,
// again and again, for as long as the cut lasts.
func (d *Deps) regionMembers(r domain.Region) []domain.NodeID {
	undrained := d.undrained()
	in := func(m peer.Member) bool { return m.Region == r && undrained(m) }
	if out := d.choose(in); len(out) > 0 {
		return out
	}
	leaving := d.leavingNow()
	listed := func(m peer.Member) bool { return !m.Leaving && !leaving[m.Node] && in(m) && m.Node != d.node() }
	if slices.ContainsFunc(d.Directory.Seeds(), listed) {
		return nil
	}
	return d.members()
}

// leavingNow holds the nodes that say themselves that they leave, which the
// platform's list shows later.
func (d *Deps) leavingNow() map[domain.NodeID]bool {
	out := make(map[domain.NodeID]bool)
	for _, m := range d.Mesh.Members() {
		if m.Leaving {
			out[m.Node] = true
		}
	}
	return out
}

// choose returns the live nodes that are not leaving and that keep accepts.
func (d *Deps) choose(keep func(peer.Member) bool) []domain.NodeID {
	var out []domain.NodeID
	for _, m := range d.Mesh.Members() {
		if m.Leaving || (m.Node == d.node() && d.Leaving()) || !keep(m) {
			continue
		}
		out = append(out, m.Node)
	}
	return out
}

// undrained tells which nodes the operators leave in use.
func (d *Deps) undrained() func(peer.Member) bool {
	var drains []configuration.Drain
	d.Agreement.View(func(s *fold.State) { drains = s.Drains() })
	return func(m peer.Member) bool {
		return !slices.ContainsFunc(drains, func(r configuration.Drain) bool {
			return r.Node != "" && r.Node == m.Node || r.Zone != "" && r.Zone == m.Zone
		})
	}
}

// serving holds the live nodes, and for each whether it keeps its leases: one that
// leaves does not, nor one that is drained while another node is not.
func (d *Deps) serving() map[domain.NodeID]bool {
	undrained := d.undrained()
	others := len(d.choose(undrained)) > 0
	out := make(map[domain.NodeID]bool)
	for _, m := range d.Mesh.Members() {
		out[m.Node] = !m.Leaving && (undrained(m) || !others)
	}
	return out
}

// serverDrained tells whether the operators took a backend server out of use.
func (d *Deps) serverDrained(n domain.ServerID, z domain.Zone) (drained bool) {
	d.Agreement.View(func(s *fold.State) { drained = s.ServerDrained(n, z) })
	return drained
}
