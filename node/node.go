package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/parsleylug/parsleylug/caller"
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/platformlog"
	"github.com/parsleylug/parsleylug/relay"
	"github.com/parsleylug/parsleylug/rendezvous"
	"github.com/parsleylug/parsleylug/service"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/vmlist"
	"github.com/parsleylug/parsleylug/waking"
)

const (
	// announceInterval is how often the node renews its entry in the platform's list of VMs.
	announceInterval = 2 * time.Second
	// importDelayPerRank is how much longer each node waits before it imports configuration
	// than the node before it in rendezvous order, which should import first.
	importDelayPerRank = 300 * time.Millisecond
	// importKey is the rendezvous hash key that ranks the nodes for the import of
	// configuration.
	importKey = "configuration/import"
	// selfListedTimeout bounds the wait until the platform's list shows this node. The list
	// may lag behind.
	selfListedTimeout = 6 * time.Second
	// linkTimeout bounds the wait for links to all listed nodes. The wait begins when the list
	// shows this node. The list also shows dead nodes for a while.
	linkTimeout = 1500 * time.Millisecond
	// relayAppendsPerSecond limits the appends of all relays together.
	// directAppendsPerSecond limits all appends that nodes make directly, without their
	// relay. The sum of both is below the capacity of the platform's log.
	relayAppendsPerSecond  = 200
	directAppendsPerSecond = 100
	// shutdownPollInterval is how often a node that shuts down checks whether the requests
	// have ended and the leases have moved.
	shutdownPollInterval = 20 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Node domain.NodeID
	// Version is the program's version.
	Version string
	Region  domain.Region
	Zone    domain.Zone
	// Caller, Peer and Admin are the open listeners for callers, other nodes and operators.
	// The node closes them.
	Caller, Peer, Admin net.Listener
	LogURL              string
	VMListURL           string
	// PeerTLS secures the links between nodes; nil means plain TCP.
	PeerTLS *tls.Config
	// Background functions run beside the node. Their context ends when the shutdown is
	// complete.
	Background []func(context.Context) error
	// KeepAlive is the longest time that an idle replica stays loaded; zero means without
	// limit.
	KeepAlive time.Duration
	// DrainGrace is how long a node accepts new requests after shutdown began. In this time
	// the balancer notices that the node is not ready.
	DrainGrace time.Duration
	// DrainLimit bounds the duration of the shutdown; zero means defaultDrainLimit.
	DrainLimit time.Duration
	Logger     zerolog.Logger
	Scope      tally.Scope
	// Metrics serves the metrics of Scope; nil disables the endpoint.
	Metrics http.Handler
}

// Node is one process of the cluster, with its listeners and its part in every role.
type Node struct {
	options        Options
	deps           *Deps
	replica        *platformlog.Replica
	mesh           *peer.Mesh
	list           *vmlist.Client
	leaseManager   *LeaseManager
	claims         *Claims
	coordinator    *Coordinator
	relay          *relay.Forwarder
	appends        *relay.BatchedLog
	log            *platformlog.Client
	recorder       *objective.Recorder
	journal        *decisions.Journal
	callers        *caller.API
	appliedOffsets appliedOffsets
	gossip         *ReportGossip
	startedAt      time.Time
	// viewCompleted is set when hasCompleteView first returns true.
	viewCompleted atomic.Bool
	// firstListedAt is when the platform's list first showed this node, in Unix nanoseconds,
	// or 0.
	firstListedAt atomic.Int64
	// shuttingDown is set when shutdown begins. refusingRequests is set DrainGrace later; the
	// node then refuses new requests.
	shuttingDown     atomic.Bool
	refusingRequests atomic.Bool
	// drainEnd is when shutdown cancels the requests that still run; nil before shutdown.
	drainEnd    atomic.Pointer[time.Time]
	connections connections
	// accepting is done once no further connection of a caller is accepted.
	accepting sync.WaitGroup
	// cancelRequests cancels the callers' requests in flight.
	cancelRequests context.CancelCauseFunc
}

// New creates a Node. Nothing runs until Run.
func New(o Options) (*Node, error) {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	n := &Node{options: o, list: &vmlist.Client{URL: o.VMListURL}, startedAt: time.Now(),
		log: &platformlog.Client{URL: o.LogURL}, recorder: &objective.Recorder{}, journal: &decisions.Journal{},
	}
	self := peer.Member{
		Node: o.Node, Address: o.Peer.Addr().String(), AdminAddress: o.Admin.Addr().String(),
		Region: o.Region, Zone: o.Zone,
	}
	directory := &Directory{}
	handler := &Handler{}
	n.mesh = peer.NewMesh(peer.Options{
		Self: self, Listener: o.Peer, TLS: o.PeerTLS, Logger: o.Logger, Scope: o.Scope, Handler: handler.Handle,
		Seeds: func(context.Context) ([]peer.Member, error) { return directory.Seeds(), nil },
	})
	n.relay = relay.NewForwarder(relay.ForwarderOptions{
		Self: o.Node, Mesh: n.mesh, Replica: deliverer{n}, NextOffset: func() domain.Offset { return n.localOffsets().Decision + 1 },
		IsLogReadable: func() bool { return n.replica.IsLogReachable() },
	})
	n.appends = relay.NewBatchedLog(relay.BatchedLogOptions{
		Log: n.log, Mesh: n.mesh, Ranking: func() relay.ZoneRanking { return relay.NewZoneRanking(o.Node, n.mesh.Members()) },
		ZoneAppendsPerSecond: n.zoneAppendRate, NodeAppendsPerSecond: n.nodeAppendRate,
	})
	replica, err := platformlog.New(platformlog.Options{
		Log: n.appends, Records: operatorRecords(), Node: o.Node, Logger: o.Logger, Scope: o.Scope,
		RankDelay: n.importDelay, PeerSnapshot: n.fetchPeerSnapshot, ReadsLog: n.relay.IsReader, OnRecords: n.relay.OnRecords,
	})
	if err != nil {
		return nil, err
	}
	n.replica = replica
	n.recorder.Goals = n.goal
	n.deps = &Deps{
		Self: self, State: n.replica, Mesh: n.mesh, Directory: directory, Reports: &Reports{},
		Engines: &engine.Client{Region: o.Region}, KeepAlivePolicy: &waking.Policy{}, KeepAlive: o.KeepAlive, Logger: o.Logger, Scope: o.Scope,
		IsLeaving: n.shuttingDown.Load, HasCompleteView: n.hasCompleteView, IsLogDown: n.isLogDown, Journal: n.journal,
	}
	n.gossip = NewReportGossip(n.deps)
	n.deps.Gossip = n.gossip
	n.createRoles(handler)
	return n, nil
}

// operatorRecords returns the codec of operator records in the log.
func operatorRecords() platformlog.RecordCodec {
	return platformlog.RecordCodec{Encode: configuration.Encode, Decode: configuration.Decode}
}

// deliverer passes relayed records to the replica of its node. It reads the field at each
// call, because the replica is created after the relay.
type deliverer struct{ node *Node }

// Deliver implements relay.Replica.
func (d deliverer) Deliver(first domain.Offset, records [][]byte) {
	d.node.replica.Deliver(first, records)
}

// createRoles creates the node's part in each role and the callers' API, and sets the
// fields of the handler of peer messages.
func (n *Node) createRoles(h *Handler) {
	pacer := NewPacer(n.mesh.IsAlive)
	n.leaseManager = NewLeaseManager(n.deps, NewPaceClient(n.deps, pacer))
	n.coordinator = NewCoordinator(n.deps, n.leaseManager)
	placer := NewPlacer(n.deps, n.coordinator)
	n.claims = NewClaims(n.deps)
	n.callers = caller.New(caller.Deps{
		Observer:  observer{n},
		Catalogue: NewCatalogue(n.replica), Placer: placer, Commands: n.claims, Backends: placer,
		ChatClient: &engine.Client{Region: n.options.Region}, Services: &service.Client{},
		Region: n.options.Region, Zone: n.options.Zone, Node: n.options.Node,
		Logger: n.options.Logger, Scope: n.options.Scope,
		IsStopping: n.shuttingDown.Load, IsDraining: n.refusingRequests.Load, DrainEnd: func() time.Time { return *n.drainEnd.Load() }, IsReady: n.hasConfiguration, ActiveNodes: func() int { return len(n.deps.activeNodes()) },
		BroadcastSuspects: func(s []peer.Suspect) { n.mesh.Broadcast(peer.Suspects{Suspects: s}) },
		BroadcastTraits:   func(r suspects.TraitReport) { n.mesh.Broadcast(peer.Suspects{Traits: r}) },
	})
	*h = Handler{
		Gossip: n.gossip, Coordinator: n.coordinator, LeaseManager: n.leaseManager, Pacer: pacer, Claims: n.claims,
		Snapshot: n.replica.EncodedSnapshot, OffsetsAndLoads: n.localOffsetsAndLoads,
		ReceiveSuspects: func(m peer.Suspects) {
			n.callers.ApplySuspects(m.Suspects)
			n.callers.ApplyTraits(m.Traits)
		},
		ReceiveUsage: n.callers.ApplyUsage,
		Status:       n.statusPart,
		Deliver:      n.relay.Handle,
		Append:       n.appends.Handle,
	}
}

// IsReady reports whether the balancer may send callers to this node.
func (n *Node) IsReady() bool {
	return n.notReadyReason() == ""
}

// hasConfiguration reports whether the replica is ready and has imported configuration.
// Before the first import the node would respond to callers that no model exists.
func (n *Node) hasConfiguration() bool {
	hasRecords := false
	n.replica.View(func(s *fold.State) { hasRecords = s.ConfigurationOffset() > 0 })
	return hasRecords && n.replica.IsReady()
}

// notReadyReason returns why the node is not ready, as text for operators, or "".
func (n *Node) notReadyReason() string {
	switch {
	case n.shuttingDown.Load():
		return "the node is stopping"
	case !n.replica.IsReady():
		return "the agreed state has not caught up with the platform's log"
	case !n.hasConfiguration():
		return "no configuration is in force yet"
	case !n.deps.Directory.WasRead():
		return "the platform's list of VMs was not read yet"
	case !n.hasCompleteView():
		return "the other nodes may not know this one yet"
	case !n.deps.undrainedFilter()(n.deps.Self):
		return "an operator drained the node or its availability zone"
	}
	return ""
}

// roles returns the roles that only one node has at a time, by the node to which rendezvous
// hashing assigns them.
func (n *Node) roles() map[domain.NodeID][]string {
	out := make(map[domain.NodeID][]string)
	for role, key := range map[string]string{"pacer": pacerKey, "importer": importKey} {
		if holder, ok := rendezvous.First(key, n.deps.activeNodes()); ok {
			out[holder] = append(out[holder], role)
		}
	}
	return out
}

// hasCompleteView reports whether this node and the others should know each other:
// isListedAndLinked has returned true once. Later losses of links do not make it false.
func (n *Node) hasCompleteView() bool {
	if n.viewCompleted.Load() {
		return true
	}
	if !n.isListedAndLinked() {
		return false
	}
	n.viewCompleted.Store(true)
	return true
}

// isListedAndLinked reports whether the platform's list shows this node and the node is
// linked to every listed node. Either wait ends with true at its timeout
// (selfListedTimeout, linkTimeout).
func (n *Node) isListedAndLinked() bool {
	now := time.Now()
	if !n.deps.Directory.ListsNode(n.options.Node) {
		return now.Sub(n.startedAt) >= selfListedTimeout
	}
	n.firstListedAt.CompareAndSwap(0, now.UnixNano())
	return n.isLinkedToListed() || now.Sub(time.Unix(0, n.firstListedAt.Load())) >= linkTimeout
}

// isLinkedToListed reports whether every node on the platform's list that is not leaving is
// a live member.
func (n *Node) isLinkedToListed() bool {
	members := n.mesh.Members()
	return !slices.ContainsFunc(n.deps.Directory.Seeds(), func(s peer.Member) bool {
		return !s.Leaving && !slices.ContainsFunc(members, func(m peer.Member) bool { return m.Node == s.Node })
	})
}

// Run serves until ctx ends and then shuts down gracefully: the node becomes not ready,
// completes running requests, hands over its leases and returns. When kill ends, Run aborts
// the remaining requests and returns.
func (n *Node) Run(ctx, kill context.Context) error {
	kill, cancel := context.WithCancel(kill)
	defer cancel()
	group, running := errgroup.WithContext(kill)
	n.deps.Directory.Refresh(running, n.list)
	loops := []func(context.Context) error{
		n.replica.Run,
		n.mesh.Run,
		n.relay.Run,
		n.appends.Run,
		func(ctx context.Context) error { n.deps.Directory.Run(ctx, n.list); return nil },
		func(ctx context.Context) error { n.announceLoop(ctx); return nil },
		func(ctx context.Context) error { n.leaseManager.Run(ctx); return nil },
		func(ctx context.Context) error { n.coordinator.Run(ctx); return nil },
		func(ctx context.Context) error { n.gossip.Run(ctx); return nil },
		func(ctx context.Context) error { n.broadcastUsageLoop(ctx); return nil },
	}
	for _, l := range append(loops, n.options.Background...) {
		group.Go(func() error { return ignoreIfCanceled(running, l(running)) })
	}
	requests, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	n.cancelRequests = cancelRequests
	servers := n.startServers(requests, group)
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		return n.shutdown(running, servers)
	})
	return group.Wait()
}

// ignoreIfCanceled returns err, or nil if ctx has ended.
func ignoreIfCanceled(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

// startServers starts the HTTP servers for callers and operators. Cancelling ctx cancels all
// requests of callers.
func (n *Node) startServers(ctx context.Context, group *errgroup.Group) []*http.Server {
	callers := &http.Server{
		Handler: n.withHealth(n.callers.Handler()), ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx }, ConnState: n.connections.track,
	}
	admin := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	n.accepting.Add(1)
	group.Go(func() error {
		defer n.accepting.Done()
		return n.serve(callers, n.options.Caller)
	})
	group.Go(func() error { return n.serve(admin, n.options.Admin) })
	return []*http.Server{callers, admin}
}

// serve serves a listener until the shutdown closes it or the server.
func (n *Node) serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && n.shuttingDown.Load() {
		return nil
	}
	return errors.Wrap(err, "serve "+l.Addr().String())
}

// announceLoop renews the node's entry in the platform's list.
func (n *Node) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		v := vmlist.VM{
			ID: string(n.options.Node), Kind: vmlist.Entry, Address: n.deps.Self.Address, AdminAddress: n.deps.Self.AdminAddress,
			Region: n.options.Region, Zone: n.options.Zone, Leaving: n.shuttingDown.Load(),
		}
		if err := n.list.Announce(ctx, v); err != nil && ctx.Err() == nil {
			n.options.Logger.Warn().Err(err).Str("Event", "AnnounceFailed").Msg("entry in the platform's list could not be renewed; retrying")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
