// Package reports decides what the nodes tell each other about backend servers
// and to whom. The set of replicas of a server goes to every node when it changes,
// through trees (package relay), and two nodes compare what they know now and then
// (Table). The counts of requests go to the nodes that route to the server
// (Subscriptions, Interests), quantised. Nothing here has a clock or does input or
// output.
package reports

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// memoryStep is the part of the free memory whose change is news by itself.
const memoryStep = 16

// Server is what an owner knows of one backend server.
type Server struct {
	Server domain.ServerID
	// Fence is the owner's; a report with an older fence is ignored.
	Fence domain.Fence
	// Sequence orders reports under one fence.
	Sequence uint64
	// Alive is false where the server does not answer its owner.
	Alive bool
	// Leaving servers take no new work.
	Leaving bool
	// FreeMemory is what is neither loaded nor reserved.
	FreeMemory domain.Bytes
	Models     []Replica
}

// Replica is the state of one replica.
type Replica struct {
	Model domain.ModelName
	// Running and Waiting count requests in the engine. They are zero in what
	// reaches every node.
	Running, Waiting int
	// Loading replicas cannot be used yet; ReadyIn is the owner's estimate.
	Loading bool
	ReadyIn time.Duration
	// Adapters are loaded on the replica.
	Adapters []domain.AdapterName
}

// Version tells two reports of one server apart.
type Version struct {
	Server   domain.ServerID
	Fence    domain.Fence
	Sequence uint64
}

// Version returns the version of a report.
func (s Server) Version() Version {
	return Version{Server: s.Server, Fence: s.Fence, Sequence: s.Sequence}
}

// Newer tells whether v is of a later owner than w, or a later one of the same.
func (v Version) Newer(w Version) bool {
	if v.Fence != w.Fence {
		return v.Fence > w.Fence
	}
	return v.Sequence > w.Sequence
}

// NeedsBroadcast tells whether every node must know that a server's report s has become t.
// The counts of requests are no news, and little memory is none.
func NeedsBroadcast(s, t Server) bool {
	if s.Fence != t.Fence || s.Alive != t.Alive || s.Leaving != t.Leaving {
		return true
	}
	moved := max(s.FreeMemory, t.FreeMemory) - min(s.FreeMemory, t.FreeMemory)
	if moved > 0 && moved >= max(s.FreeMemory, t.FreeMemory)/memoryStep {
		return true
	}
	return !slices.EqualFunc(s.Models, t.Models, func(a, b Replica) bool {
		return a.Model == b.Model && a.Loading == b.Loading && slices.Equal(a.Adapters, b.Adapters)
	})
}

// WithoutLoads returns a copy of a report without the counts of requests.
func (s Server) WithoutLoads() Server {
	s.Models = slices.Clone(s.Models)
	for i := range s.Models {
		s.Models[i].Running, s.Models[i].Waiting = 0, 0
	}
	return s
}
