// Package entry runs one node of a deployment whose shared state is in the
// platform's store; the front command starts it. A node keeps its cached view of
// the configuration and of the registered backend servers current and publishes it
// to package dispatch. The store grants one node at a time the lease that makes it
// the owner of the model engines. The owner issues the load and unload orders that
// package placement plans; the other nodes link to the owner's hub, report their
// demand and receive what the servers have loaded. The package handles no requests
// of callers and never chooses where a model is loaded.
package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/quota"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/transfer"
)

// Feed reads the configuration, written by the operator, and the registrations of
// the backend servers from the platform's store. NewestConfiguration returns the newest
// configuration without those before it, even if it was written before the cursor.
type Feed interface {
	Configuration(ctx context.Context, after domain.Offset, wait time.Duration, p *transfer.Progress) (*fleet.Configuration, domain.Offset, error)
	NewestConfiguration(ctx context.Context, after domain.Offset, p *transfer.Progress) (*fleet.Configuration, domain.Offset, error)
	Servers(ctx context.Context, after domain.Offset) (changes []fleet.Change, complete bool, next domain.Offset, err error)
}

// Group is the membership group in the platform's store that assigns each shard of
// backend servers to one owner. Join also renews the membership.
type Group interface {
	Join(ctx context.Context, g lease.Generation, ttl time.Duration) (lease.Grant, error)
	Leave(ctx context.Context) error
	Owners(ctx context.Context) (map[lease.Shard]domain.NodeID, error)
}

// Engines queries the engine state of the backend servers and sends them orders.
type Engines interface {
	QueryEngineState(ctx context.Context, s fleet.Server) (fleet.EngineState, error)
	Order(ctx context.Context, o placement.Order, f domain.Fence) (placement.Outcome, error)
}

// Uptime is a monotonic clock that also advances while the VM is suspended.
type Uptime interface{ Now() time.Duration }

// Counters receives measurements of the configuration that a node holds.
type Counters interface {
	// SetConfiguration is called with the version in force and the store's cursor after
	// the read that returned it.
	SetConfiguration(v fleet.Version, offset domain.Offset)
	// SetConfigurationBehind is called with the time for which the owner has known a
	// newer configuration; 0 if it knows none.
	SetConfigurationBehind(d time.Duration)
	// CountStoreRestoration counts a return of the store from an older copy.
	CountStoreRestoration()
	// SetOwnerLinks is called with the number of nodes that are linked to this one as the owner;
	// 0 when it is no longer the owner.
	SetOwnerLinks(links int)
	// CountConfigurationRead counts a read that has ended by its result.
	CountConfigurationRead(result string)
	// CountQuotaDecision counts a decision on a request with a quota by what it is based on.
	CountQuotaDecision(basis string)
	// SetContendedWorkspaces is called at the owner with the number of workspaces for whose
	// requests the nodes have to ask.
	SetContendedWorkspaces(workspaces int)
}

// Traits holds what a node knows of traits of requests that crash servers.
type Traits interface {
	// ApplyTraitReport applies what another node reports. It returns what was new in it, and
	// what this node knows that contradicts it.
	ApplyTraitReport(r suspects.TraitReport) (news, answer suspects.TraitReport)
	// TraitSnapshot returns all that this node knows.
	TraitSnapshot() suspects.TraitReport
}

// Options configures a Node.
type Options struct {
	// Name identifies this run of the node. It contains the address of the node's
	// hub.
	Name    domain.NodeID
	Feed    Feed
	Group   Group
	Engines Engines
	Uptime  Uptime
	// TraitLog and ContentLog may be nil.
	TraitLog   TraitLog
	ContentLog ContentLog
	// Dialer opens the connections to the owner's hub.
	Dialer hub.Dialer
	// HubAddress extracts the address of a node's hub from the node's name.
	HubAddress func(domain.NodeID) string
	Logger     zerolog.Logger
	// Counters may be nil.
	Counters Counters
	// RegistrationsInterval is the interval between reads of the registrations.
	RegistrationsInterval time.Duration
	// DrainBound is the time after which a leaving backend server must get no more
	// requests that arrived later.
	DrainBound time.Duration
	// TimeToLive is how long the group keeps a member that does not renew.
	TimeToLive time.Duration
	// FirstOrderDelay is the delay between the grant of the lease and the first order.
	// It separates the first order in time from the last order of the previous
	// owner. With a LeaseBound, it is the longest time that an order is in flight.
	FirstOrderDelay time.Duration
	// LeaseBound is the least time between the orders of one owner in two terms if another node may
	// have issued orders between them (see lease.Lease). It is 0 if ServersCheckFences is set.
	LeaseBound time.Duration
	// HandOverDelay is how long a node that drains stays in the group. An owner that leaves
	// early hands over more often while nodes are stopped one after the other; one that leaves
	// late may be killed with orders in flight.
	HandOverDelay time.Duration
	// Standby is set on a VM that cannot carry the links of a large deployment. It becomes a
	// possible owner only where too few others are.
	Standby bool
	// IsStandby reports whether another node is a standby, from the node's name. It may be nil.
	IsStandby func(domain.NodeID) bool
	// UpdateBytesPerSecond bounds the rate of the updates that this node sends as the owner, to
	// all nodes together. It is unbounded if 0.
	UpdateBytesPerSecond int
	// LoadWindow is the period over which loads from the weight store are limited.
	LoadWindow time.Duration
	// ConfigurationBound is the longest time until a configuration that the store has acknowledged
	// must be in force, RevokeBound the same for API keys that it withdraws.
	ConfigurationBound, RevokeBound time.Duration
	// ServersCheckFences is set if the model engines reject orders with an old fencing token.
	ServersCheckFences bool
	// QuotaTerms say by how much workspaces may exceed their quotas.
	QuotaTerms quota.Terms
}

// Node follows the platform's store and acts as the owner of the model engines
// while it holds the lease. Create it with New.
type Node struct {
	Options
	Views  dispatch.Views
	Demand dispatch.DemandCounter
	// Notices holds what the backend servers have said of themselves.
	Notices fleet.Notices
	Hub     hub.Hub
	// OnCrashReports is called with the crash reports that this node receives from
	// the owner or, as the owner, from another node. Those from the owner include
	// this node's own. Each identifies a request content that crashed a backend
	// server. OnCrashReports may be nil.
	OnCrashReports func([]suspects.Report)
	// Traits holds what this node knows of traits of requests that crash servers, Contents what
	// it knows of contents. They may be nil.
	Traits   Traits
	Contents Contents
	// Loads holds what this node knows of the load of servers. It may be nil.
	Loads  Loads
	quotas *quotas

	mu        sync.Mutex
	directory fleet.Directory
	config    *fleet.Configuration
	// serversSeen is set once a read of the registrations has returned a usable
	// server.
	serversSeen bool
	draining    bool
	// wasReady is set once the node has been ready.
	wasReady bool
	// handOverAt is when a node that drains leaves the group.
	handOverAt time.Time
	// overlay holds engine states that are newer than those in the registrations:
	// on the owner those of its planner, on other nodes those that the owner
	// sent. After the link to the owner is lost, overlayStale is set, and each state
	// stays in use until a newer registration of its server is read.
	overlay      map[domain.ServerID]fleet.EngineState
	overlayStale bool
	storeUpdates storeUpdates
	// configurationOffset is the store's cursor after the read that returned the
	// current configuration. registrationsOffset is the cursor after the last
	// read that changed the directory.
	configurationOffset, registrationsOffset domain.Offset
	// registrationsKnown is the offset before which this node knows all changes of
	// registrations, from its own reads or from the owner.
	registrationsKnown domain.Offset
	// registrationsReadAt is when this node last read the registrations.
	registrationsReadAt time.Time
	// linkedAt is when this node last linked to an owner; zero while it is not linked. While it
	// is, linkedOwner is that node, and endLink ends the link.
	linkedAt    time.Time
	linkedOwner domain.NodeID
	endLink     context.CancelFunc
	// configurationCursor is the offset up to which this node has read the
	// configurations.
	configurationCursor domain.Offset
	// configurationReads are the reads of the configuration whose results are not there yet.
	// configurationReadsMu guards them: each request looks at them, and mu may be held for long.
	configurationReads   map[*configurationRead]bool
	configurationReadsMu sync.Mutex
	// keys is what this node knows of API keys beyond its configuration. The keys that it must not
	// accept are in revoked, nil for none, which is replaced under mu.
	keys    keyState
	revoked atomic.Pointer[revokedKeys]
	// behindSince is since when the owner has announced a configuration that this node
	// has not read; zero if there is none. The next line about it is due behindLogGap
	// after that.
	behindSince  time.Time
	behindLogGap time.Duration
	// announcedOffset is the configuration that this node announced last as the owner.
	announcedOffset domain.Offset
	planner         placement.Planner
	lease           lease.Lease
	// leaseExpired is set while this node is the owner with an expired lease.
	leaseExpired bool
	// candidacy decides whether this node is a member of the group; wasCandidate is its last
	// decision.
	candidacy    lease.Candidacy
	wasCandidate bool
	// lastOwners is the last list of the owners that this node got from the store.
	lastOwners ownerList
	// fence is the fencing token under which this node is the owner; 0 while it is
	// not. orderFence is the one under which it last issued orders.
	fence, orderFence domain.Fence
	// ordersInFlight counts the orders without a response.
	ordersInFlight sync.WaitGroup
	// ownedSince is when this node last became the owner.
	ownedSince time.Time
	// sentDigests contains the digests of the engine states last broadcast to the
	// other nodes; broadcastAt is when broadcastEngineStates last ran. urgentDigests contains
	// those sent to waiting nodes since then.
	sentDigests   map[domain.ServerID]engineStateDigest
	urgentDigests map[domain.ServerID]engineStateDigest
	broadcastAt   time.Time
	// crashReports are the crash reports that have not been sent yet: by the
	// owner to the other nodes, by another node to the owner.
	crashReports []pendingReport
	// contentNews are the contents whose records have to be sent, likewise; at most
	// maximumContentNews.
	contentNews []suspects.Content
	// traitReport is what this node has to tell of traits, likewise. traitsReported gets a
	// value when something was added.
	traitReport    suspects.TraitReport
	traitsReported chan struct{}
	// traitsChanged gets a value when refused traits may have to be saved. traitsLoaded is set
	// after the first attempt to read them, or after maximumTraitLoad. traitsLost gets a value when
	// the store was restored, so that they must be read again.
	traitsChanged chan struct{}
	traitsLost    chan struct{}
	traitsLoaded  bool
	// storedTraits holds the refused traits that are in the store as far as this node knows,
	// with the number of their refusals there; 0 if it is unknown. At most
	// maximumStoredTraits.
	storedTraits map[suspects.Trait]int
	// stored is what this node knows of the contents in the store.
	stored storedContents
	// staleServers are the servers that lack a model or adapter listed in their
	// cached engine state. The next report passes them to the owner.
	staleServers []domain.ServerID
	// nodeCount is the largest node count that this node has received from an owner
	// or, as the owner, computed; 0 if there was none.
	nodeCount int
	// restoration is what this node knows of the store's era.
	restoration restoration
	// failedCalls holds the names of the calls to the store that failed the last time.
	failedCalls map[string]bool
	// storeFailureSentAt is when this node, as the owner, last told all nodes that the store was away.
	storeFailureSentAt time.Time
	// storeRecovered is closed, and replaced, when a call to the store succeeds
	// after it failed the last time, and when the store was restored.
	storeRecovered chan struct{}
	// planTrigger makes the owner plan before its interval has passed. renewTrigger makes a member
	// of the group renew its membership before its interval has passed.
	planTrigger, renewTrigger chan struct{}
	// loadsSentAt is when this node, as the owner, last sent loads of servers to all nodes.
	loadsSentAt time.Time
}

// New returns a node that is idle until Run.
func New(o Options) *Node {
	n := &Node{Options: o, planTrigger: make(chan struct{}, 1), renewTrigger: make(chan struct{}, 1), traitsReported: make(chan struct{}, 1), traitsChanged: make(chan struct{}, 1), traitsLost: make(chan struct{}, 1), storeRecovered: make(chan struct{}), failedCalls: map[string]bool{}, configurationReads: map[*configurationRead]bool{}}
	n.Notices.DrainBound = o.DrainBound
	n.directory.DoubtWindow = max(0, o.DrainBound-n.storeUpdateLife()-doubtMargin)
	n.storeUpdates.changed, n.stored.changed = make(chan struct{}), make(chan struct{}, 1)
	n.lease.Shard = ownedShard
	n.lease.TimeToLive, n.lease.FirstOrderDelay, n.lease.LeaseBound, n.lease.ServersCheckFences = o.TimeToLive, o.FirstOrderDelay, o.LeaseBound, o.ServersCheckFences
	n.candidacy = lease.Candidacy{Standby: o.Standby, TimeToLive: o.TimeToLive, Spread: rand.Float64()}
	if n.IsStandby == nil {
		n.IsStandby = func(domain.NodeID) bool { return false }
	}
	n.planner.LoadWindow, n.planner.ServersCheckFences = o.LoadWindow, o.ServersCheckFences
	n.Hub.BytesPerSecond = o.UpdateBytesPerSecond
	n.Hub.OnReport = n.handleReport
	n.Hub.OnInvalidReport = n.logInvalidReport
	n.Hub.InitialUpdate = n.initialUpdate
	n.Hub.AcceptsLinks = n.acceptsLinks
	n.quotas = newQuotas(&n.Options)
	return n
}

// Run runs the node's loops until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){n.followConfiguration, n.followServers, n.renewMembership, n.watchGroup, n.runOwner, n.maintainLink, n.loadTraits, n.saveTraits, n.loadContents, n.saveContents} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return g.Wait()
}

// IsReady reports whether this node can serve requests.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isReady := n.config != nil && n.serversSeen && !n.draining && (n.traitsLoaded || n.TraitLog == nil) && (n.stored.isLoaded || n.ContentLog == nil)
	if isReady && !n.wasReady {
		n.wasReady = true
		n.Logger.Info().Str("Event", "Ready").Bool("HasReadContents", n.stored.isRead).Bool("IsLinked", !n.linkedAt.IsZero()).Msg("this node is ready for the first time")
	}
	return isReady
}

// IsConfigurationBehind reports whether the owner has announced a configuration that this
// node has not read.
func (n *Node) IsConfigurationBehind() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isBehind()
}

// Drain makes the node report that it is not ready, for the rest of its run, and leave the
// group of possible owners after HandOverDelay.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining {
		return
	}
	n.draining = true
	n.handOverAt = time.Now().Add(n.HandOverDelay)
}

// NodeCount returns the largest number of nodes that were linked at the same
// time, including the owner, or 0 if it is unknown.
func (n *Node) NodeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodeCount
}

// RefreshEngineState requests that the owner query a server's engine state again, because
// the server lacked a model or adapter that its cached state lists.
func (n *Node) RefreshEngineState(id domain.ServerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fence != 0 {
		n.planner.RequestPoll(time.Now(), id)
		return
	}
	if !slices.Contains(n.staleServers, id) {
		n.staleServers = append(n.staleServers, id)
	}
}

// publishView publishes a new view of the configuration and the usable servers.
// The caller holds mu.
func (n *Node) publishView(now time.Time) { n.publishUsable(n.directory.Usable(now)) }

func (n *Node) publishUsable(usable []*fleet.Server) {
	v := &dispatch.View{Config: n.config, Servers: map[domain.ServiceName][]*fleet.Server{}}
	for _, s := range usable {
		s = n.withOverlay(s)
		v.Servers[s.Service] = append(v.Servers[s.Service], s)
	}
	n.Views.Publish(v)
}

// withOverlay returns a copy of the server with the engine state of the overlay,
// or the server itself if the overlay has no state of the same run of the server
// process. States sent over a link list no checkpoints; the copy then has those
// of the registration.
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
