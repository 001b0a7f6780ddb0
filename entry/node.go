// Package entry is one node in front of backend servers whose state lies in the
// platform's store: it follows configuration and registrations, shares the
// ownership of the model engines with the other nodes, and gives orders while it
// is the owner.
package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/suspects"
)

// Feed follows what the operator and the backend servers write.
type Feed interface {
	Configuration(ctx context.Context, after domain.Offset, wait time.Duration) (*fleet.Configuration, domain.Offset, error)
	Servers(ctx context.Context, after domain.Offset) (changes []fleet.Change, whole bool, next domain.Offset, err error)
}

// Group shares the ownership among the nodes.
type Group interface {
	Join(ctx context.Context, g lease.Generation, ttl time.Duration) (lease.Grant, error)
	Leave(ctx context.Context) error
	Owners(ctx context.Context) (map[lease.Shard]domain.NodeID, error)
}

// Engines takes orders.
type Engines interface {
	QueryHoldings(ctx context.Context, s fleet.Server) (fleet.EngineState, error)
	Order(ctx context.Context, o placement.Order, f domain.Fence) (placement.Outcome, error)
}

// Uptime is a clock that also counts the time in which the VM was suspended.
type Uptime interface{ Now() time.Duration }

// Options are what a node works with.
type Options struct {
	// Name is this start of this node; it holds the address of its hub.
	Name    domain.NodeID
	Feed    Feed
	Group   Group
	Engines Engines
	Uptime  Uptime
	Dialer  *net.Dialer
	// HubAddress returns the address of a node's hub.
	HubAddress func(domain.NodeID) string
	Logger     zerolog.Logger
	// RegistrationsInterval is how often the registrations are read.
	RegistrationsInterval time.Duration
	// TimeToLive is how long a silent member keeps its shards.
	TimeToLive time.Duration
	// SettleTime is how long a new owner waits before its first order.
	SettleTime time.Duration
	// LoadWindow is the span over which the weight store's pace holds.
	LoadWindow time.Duration
	// FencesChecked tells that the engines refuse orders with an old fence.
	FencesChecked bool
}

// Node is one node. New makes one.
type Node struct {
	Options
	Views  dispatch.Views
	Demand dispatch.Demand
	Hub    hub.Hub
	// OnCrashReports takes in contents that crash servers, seen by other nodes.
	OnCrashReports func([]suspects.Report)

	mu        sync.Mutex
	directory fleet.Directory
	config    *fleet.Configuration
	listed    bool
	leaving   bool
	// overlay is what the owner says of the servers, newer than registrations.
	// After the link is lost it stands until the registrations are read again.
	overlay     map[domain.ServerID]fleet.EngineState
	overlayLost bool
	news        news
	// configurationEnd and registrationsEnd are up to where this node read the store
	// when it last saw a change there.
	configurationEnd, registrationsEnd domain.Offset
	planner                            placement.Planner
	lease                              lease.Lease
	// fence is the one under which this node is the owner; 0 while it is not.
	fence domain.Fence
	// ownedSince is when the present term as owner began.
	ownedSince time.Time
	told       map[domain.ServerID]signature
	// toldAt is when the nodes were last told.
	toldAt  time.Time
	crashes []suspects.Report
	// doubted are servers that lack what they are said to hold.
	doubted  []domain.ServerID
	nodes    int
	storeBad bool
	// storeBack is closed when the store answers again after a failure.
	storeBack chan struct{}
	// nudge wakes the owner's loop.
	nudge chan struct{}
}

// New returns a node that does nothing until Run.
func New(o Options) *Node {
	n := &Node{Options: o, nudge: make(chan struct{}, 1), storeBack: make(chan struct{})}
	n.news.changed = make(chan struct{})
	n.lease.Shard = ownedShard
	n.lease.TimeToLive, n.lease.SettleTime, n.lease.ServersCheckFence = o.TimeToLive, o.SettleTime, o.FencesChecked
	n.planner.LoadWindow = o.LoadWindow
	n.Hub.Reported = n.reported
	n.Hub.Joined = n.joined
	n.Hub.Accepts = n.accepts
	return n
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){n.followConfiguration, n.followServers, n.keepMembership, n.own, n.keepLink} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return g.Wait()
}

// Ready tells whether this node can serve requests.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config != nil && n.listed && !n.leaving
}

// Drain makes the node not ready.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// NodeCount is how many nodes there are, as far as this one knows; 0 if it does not.
func (n *Node) NodeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes
}

// ReportCrash passes on what this node saw of a content that crashed a server.
func (n *Node) ReportCrash(r suspects.Report) {
	n.mu.Lock()
	n.crashes = append(n.crashes, r)
	n.mu.Unlock()
}

// RefreshHoldings has the owner ask a server what it holds.
func (n *Node) RefreshHoldings(id domain.ServerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fence != 0 {
		n.planner.RequestPoll(time.Now(), id)
		return
	}
	if !slices.Contains(n.doubted, id) {
		n.doubted = append(n.doubted, id)
	}
}

// publish makes a new view of what the node knows. The caller holds mu.
func (n *Node) publish(now time.Time) { n.publishServers(n.directory.Usable(now)) }

func (n *Node) publishServers(usable []*fleet.Server) {
	v := &dispatch.View{Config: n.config, Servers: map[domain.ServiceName][]*fleet.Server{}}
	for _, s := range usable {
		s = n.withOverlay(s)
		v.Servers[s.Service] = append(v.Servers[s.Service], s)
	}
	n.Views.Publish(v)
}

// withOverlay returns the server with what the owner says of it, if that is about
// the same life of the server.
func (n *Node) withOverlay(s *fleet.Server) *fleet.Server {
	o, ok := n.overlay[s.ID]
	if !ok || o.StartedAtMs != s.EngineState.StartedAtMs {
		return s
	}
	c := *s
	c.EngineState = o
	if len(o.InMemory) == 0 && len(o.OnDisk) == 0 {
		c.EngineState.InMemory, c.EngineState.OnDisk = s.EngineState.InMemory, s.EngineState.OnDisk
	}
	return &c
}

// storeAnswered notes whether the store answered, with one line for each change.
// The caller holds mu.
func (n *Node) storeAnswered(now time.Time, call string, err error) {
	if err != nil {
		n.directory.RecordStoreFailure(now)
	}
	if (err != nil) == n.storeBad {
		return
	}
	n.storeBad = err != nil
	if n.storeBad {
		n.Logger.Warn().Str("Event", "StoreLost").Str("Call", call).Err(err).Msg("the platform's store does not answer")
		return
	}
	close(n.storeBack)
	n.storeBack = make(chan struct{})
	n.Logger.Info().Str("Event", "StoreRegained").Str("Call", call).Msg("the platform's store answers again")
}

// back returns a channel that is closed when the store next answers again.
func (n *Node) back() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeBack
}

// pauseUntilBack waits, but no longer than until the store answers again.
func (n *Node) pauseUntilBack(ctx context.Context, d time.Duration) {
	pause.For(ctx, d, n.back())
}

// untilBack returns a context that also ends when the store answers again after
// a failure: a call that was sent before may never be answered.
func (n *Node) untilBack(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	back := n.back()
	go func() {
		select {
		case <-ctx.Done():
		case <-back:
			cancel()
		}
	}()
	return ctx, cancel
}
