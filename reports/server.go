// Package reports decides which reports about backend servers a node sends, and to
// which other nodes. A report, which holds the replicas of a server, is broadcast to
// every node when it changes, along the trees of package relay. A node that missed a
// report receives it by anti-entropy: two nodes compare digests of their reports
// (Table). The loads, which are the quantised counts of requests, go only to the nodes
// that subscribe to them, because they route to the server or coordinate a model on it
// (Subscriptions, Interests). Package node calls it and package peer encodes its types.
// It does no I/O, reads no clock and never chooses a replica for a request.
package reports

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// memoryChangeDivisor sets the smallest change of the free memory that is broadcast:
// 1/memoryChangeDivisor of the old or the new value, whichever is larger.
const memoryChangeDivisor = 16

// Server is an owner's report of one backend server.
type Server struct {
	Server domain.ServerID
	// Fence is the fencing token of the owner; a report with an older one is ignored.
	Fence domain.Fence
	// Sequence orders reports under one fencing token.
	Sequence uint64
	// Alive is false if the server does not respond to its owner.
	Alive bool
	// Leaving servers accept no new work.
	Leaving bool
	// FreeMemory is the memory that is neither used by a loaded model nor reserved.
	FreeMemory domain.Bytes
	Models     []Replica
}

// Replica is the state of one replica in a report.
type Replica struct {
	Model domain.ModelName
	// Running and Waiting are the numbers of requests that the engine runs and queues.
	// They are zero in broadcast reports.
	Running, Waiting int
	// Loading is set until the replica can serve requests; ReadyIn is the owner's
	// estimate of the time until then.
	Loading bool
	ReadyIn time.Duration
	// Adapters are loaded on the replica.
	Adapters []domain.AdapterName
}

// Version identifies one report, or one set of loads, of a server.
type Version struct {
	Server   domain.ServerID
	Fence    domain.Fence
	Sequence uint64
}

// Version returns the version of the report.
func (s Server) Version() Version {
	return Version{Server: s.Server, Fence: s.Fence, Sequence: s.Sequence}
}

// IsNewerThan reports whether v has a higher fencing token than w, or a higher
// sequence number under the same one.
func (v Version) IsNewerThan(w Version) bool {
	if v.Fence != w.Fence {
		return v.Fence > w.Fence
	}
	return v.Sequence > w.Sequence
}

// NeedsBroadcast reports whether a server's report must be sent to every node after it
// changed from s to t. Changes of the request counts and small changes of the free
// memory need no broadcast.
func NeedsBroadcast(s, t Server) bool {
	if s.Fence != t.Fence || s.Alive != t.Alive || s.Leaving != t.Leaving {
		return true
	}
	change := max(s.FreeMemory, t.FreeMemory) - min(s.FreeMemory, t.FreeMemory)
	if change > 0 && change >= max(s.FreeMemory, t.FreeMemory)/memoryChangeDivisor {
		return true
	}
	return !slices.EqualFunc(s.Models, t.Models, func(a, b Replica) bool {
		return a.Model == b.Model && a.Loading == b.Loading && slices.Equal(a.Adapters, b.Adapters)
	})
}

// WithoutLoads returns a copy of the report whose request counts are 0.
func (s Server) WithoutLoads() Server {
	s.Models = slices.Clone(s.Models)
	for i := range s.Models {
		s.Models[i].Running, s.Models[i].Waiting = 0, 0
	}
	return s
}
