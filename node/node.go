package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
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
	"github.com/parsleylug/parsleylug/vmlist"
	"github.com/parsleylug/parsleylug/waking"
)

const (
	// announceInterval is how often the node tells the platform's list that it
	// is there.
	announceInterval = 2 * time.Second
	// importStep is how much longer each further node waits before it imports
	// configuration that the one before it should have imported.
	importStep = 300 * time.Millisecond
	// importKey is hashed to rank the nodes that import configuration.
	importKey = "configuration/import"
	// settleLimit is how long a node waits to be shown in the platform's list, and
	// linkLimit to link to every node of it, before it does without. The list shows
	// dead nodes for a while.
	settleLimit = 6 * time.Second
	linkLimit   = 1500 * time.Millisecond
	// appendsPerSecond is what all relays together may append, and directPerSecond
	// what nodes may without them, together below what the platform's log takes.
	appendsPerSecond = 200
	directPerSecond  = 100
	// stopPoll is how often a stopping node looks whether its work has ended.
	stopPoll = 20 * time.Millisecond
)

// Options are what a node is started with.
type Options struct {
	Node domain.NodeID
	// Version is of the program.
	Version string
	Region  domain.Region
	Zone    domain.Zone
	// Caller, Peer and Admin are open listeners; the node closes them.
	Caller, Peer, Admin net.Listener
	LogURL              string
	VMListURL           string
	// PeerTLS secures the links between nodes; nil means plain TCP.
	PeerTLS *tls.Config
	// Background runs beside the node, until it ends.
	Background []func(context.Context) error
	// KeepAlive is how long an idle replica stays loaded at most; zero means for good.
	KeepAlive time.Duration
	// DrainGrace is how long a stopping node takes new requests, until the
	// balancer has seen that it is not ready.
	DrainGrace time.Duration
	// DrainLimit ends a stop that does not come to its end.
	DrainLimit time.Duration
	Logger     zerolog.Logger
	Scope      tally.Scope
	// Metrics serves the metrics of Scope; nil serves none.
	Metrics http.Handler
}

// Node is one process of the system.
type Node struct {
	options   Options
	deps      *Deps
	replica   *platformlog.Replica
	mesh      *peer.Mesh
	list      *vmlist.VMList
	ownership *Ownership
	claims    *Claims
	home      *Home
	relay     *relay.Forwarder
	appends   *relay.BatchedLog
	log       *platformlog.Client
	recorder  *objective.Recorder
	journal   *decisions.Journal
	callers   *caller.API
	heard     heard
	news      *News
	started   time.Time
	isSettled atomic.Bool
	// listedAt is when the list first showed this node, in nanoseconds.
	listedAt atomic.Int64
	// stopping is set first in a stop; refusing after DrainGrace.
	stopping atomic.Bool
	refusing atomic.Bool
}

// New joins the parts of a node. Nothing runs until Run.
func New(o Options) (*Node, error) {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	n := &Node{options: o, list: &vmlist.VMList{URL: o.VMListURL}, started: time.Now(),
		log: &platformlog.Client{URL: o.LogURL}, recorder: &objective.Recorder{}, journal: &decisions.Journal{},
	}
	self := peer.Member{
		Node: o.Node, Address: o.Peer.Addr().String(), AdminAddress: o.Admin.Addr().String(),
		Region: o.Region, Zone: o.Zone,
	}
	directory := &Directory{}
	handler := &Handler{}
	n.mesh = peer.NewMesh(peer.Options{
		Self: self, Listener: o.Peer, TLS: o.PeerTLS, Logger: o.Logger, Scope: o.Scope, Handle: handler.Handle,
		Seeds: func(context.Context) ([]peer.Member, error) { return directory.Seeds(), nil },
	})
	n.relay = relay.NewForwarder(relay.ForwarderOptions{
		Self: o.Node, Mesh: n.mesh, Replica: deliverer{n}, Next: func() domain.Offset { return n.applied().Decision + 1 },
		Healthy: func() bool { return n.replica.IsLogReachable() },
	})
	n.appends = relay.NewBatchedLog(relay.BatchedLogOptions{
		Log: n.log, Mesh: n.mesh, Ranking: func() relay.ZoneRanking { return relay.NewZoneRanking(o.Node, n.mesh.Members()) },
		ZoneAppendsPerSecond: n.zoneShare, NodeAppendsPerSecond: n.appendShare,
	})
	replica, err := platformlog.New(platformlog.Options{
		Log: n.appends, Records: operatorRecords(), Node: o.Node, Logger: o.Logger, Scope: o.Scope,
		RankDelay: n.importDelay, PeerSnapshot: n.peerSnapshot, ReadsLog: n.relay.IsReader, OnRecords: n.relay.OnRecords,
	})
	if err != nil {
		return nil, err
	}
	n.replica = replica
	n.recorder.Goals = n.goal
	n.deps = &Deps{
		Self: self, Agreement: n.replica, Mesh: n.mesh, Directory: directory, Reports: &Reports{},
		Engines: &engine.Client{Region: o.Region}, Waking: &waking.Policy{}, KeepAlive: o.KeepAlive, Logger: o.Logger, Scope: o.Scope,
		Leaving: n.stopping.Load, Settled: n.settled, LogDown: n.logDown, Journal: n.journal,
	}
	n.news = NewNews(n.deps)
	n.deps.News = n.news
	n.join(handler)
	return n, nil
}

// operatorRecords is the codec of operator records in the log.
func operatorRecords() platformlog.RecordCodec {
	return platformlog.RecordCodec{Encode: configuration.Encode, Decode: configuration.Decode}
}

// deliverer hands relayed records to the replica, which is made after the relay.
type deliverer struct{ node *Node }

// Deliver implements relay.Replica.
func (d deliverer) Deliver(first domain.Offset, records [][]byte) {
	d.node.replica.Deliver(first, records)
}

// join makes the roles and fills the handler of peer messages.
func (n *Node) join(h *Handler) {
	pacer := NewPacer(n.mesh.Alive)
	n.ownership = NewOwnership(n.deps, NewPaceClient(n.deps, pacer))
	n.home = NewHome(n.deps, n.ownership)
	placer := NewPlacer(n.deps, n.home)
	n.claims = NewClaims(n.deps)
	n.callers = caller.New(caller.Deps{
		Observer:  observer{n},
		Catalogue: NewCatalogue(n.replica), Placer: placer, Claims: n.claims, Backends: placer,
		Chatter: &engine.Client{Region: n.options.Region}, Services: &service.Client{},
		Region: n.options.Region, Zone: n.options.Zone, Node: n.options.Node,
		Logger: n.options.Logger, Scope: n.options.Scope,
		Draining: n.refusing.Load, Ready: n.configured, Nodes: func() int { return len(n.deps.members()) },
		Spread: func(s []peer.Suspect) { n.mesh.Broadcast(peer.Suspects{Suspects: s}) },
	})
	*h = Handler{
		News: n.news, Home: n.home, Ownership: n.ownership, Pacer: pacer, Claims: n.claims,
		Snapshot: n.replica.EncodedSnapshot, Applied: n.answerApplied,
		Learn:   n.callers.Learn,
		Usage:   n.callers.LearnUsage,
		Status:  n.part,
		Deliver: n.relay.Handle,
		Append:  n.appends.Handle,
	}
}

// Ready tells whether the balancer may send callers here.
func (n *Node) Ready() bool {
	return n.notReady() == ""
}

// configured tells whether this node can show a configuration. Before the first
// import it would tell callers that no model exists.
func (n *Node) configured() bool {
	some := false
	n.replica.View(func(s *fold.State) { some = s.ConfigurationOffset() > 0 })
	return some && n.replica.IsReady()
}

// notReady tells a person why the node is not ready, or nothing.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return "the node is stopping"
	case !n.replica.IsReady():
		return "the agreed state has not caught up with the platform's log"
	case !n.configured():
		return "no configuration is in force yet"
	case !n.deps.Directory.Known():
		return "the platform's list of VMs was not read yet"
	case !n.settled():
		return "the other nodes may not know this one yet"
	case !n.deps.undrained()(n.deps.Self):
		return "an operator drained the node or its availability zone"
	}
	return ""
}

// roles lists which exclusive work falls to each node by hashing.
func (n *Node) roles() map[domain.NodeID][]string {
	out := make(map[domain.NodeID][]string)
	for role, key := range map[string]string{"pacer": pacerKey, "importer": importKey} {
		if first, ok := rendezvous.First(key, n.deps.members()); ok {
			out[first] = append(out[first], role)
		}
	}
	return out
}

// settled tells whether this node knows the others and they know it: the
// platform's list shows it, and it has linked to every node of the list. Neither is
// waited for without end, since the list lags and shows dead nodes too. Once
// settled, a node stays so.
func (n *Node) settled() bool {
	if n.isSettled.Load() {
		return true
	}
	if !n.listed() {
		return false
	}
	n.isSettled.Store(true)
	return true
}

// listed tells whether the list shows this node and it has linked to the others,
// or whether the wait for either has been long enough.
func (n *Node) listed() bool {
	now := time.Now()
	if !n.deps.Directory.ListsNode(n.options.Node) {
		return now.Sub(n.started) >= settleLimit
	}
	n.listedAt.CompareAndSwap(0, now.UnixNano())
	return n.linked() || now.Sub(time.Unix(0, n.listedAt.Load())) >= linkLimit
}

// linked tells whether every node of the platform's list is a live member.
func (n *Node) linked() bool {
	members := n.mesh.Members()
	return !slices.ContainsFunc(n.deps.Directory.Seeds(), func(s peer.Member) bool {
		return !s.Leaving && !slices.ContainsFunc(members, func(m peer.Member) bool { return m.Node == s.Node })
	})
}

// Run serves until ctx ends, then stops gracefully: it is not ready first, ends
// every running request whole, hands its roles over and returns. The second
// context ends at once what is left.
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
		func(ctx context.Context) error { n.announce(ctx); return nil },
		func(ctx context.Context) error { n.ownership.Run(ctx); return nil },
		func(ctx context.Context) error { n.home.Run(ctx); return nil },
		func(ctx context.Context) error { n.news.Run(ctx); return nil },
		func(ctx context.Context) error { n.tellUsage(ctx); return nil },
	}
	for _, l := range append(loops, n.options.Background...) {
		group.Go(func() error { return unlessEnded(running, l(running)) })
	}
	servers := n.serve(group)
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		return n.stop(running, servers)
	})
	return group.Wait()
}

// unlessEnded drops the error of a loop that ended because its context did.
func unlessEnded(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

// serve starts the listeners of callers and operators.
func (n *Node) serve(group *errgroup.Group) []*http.Server {
	callers := &http.Server{Handler: n.withHealth(n.callers.Handler()), ReadHeaderTimeout: readHeaderTimeout}
	admin := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	for s, l := range map[*http.Server]net.Listener{callers: n.options.Caller, admin: n.options.Admin} {
		group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve "+l.Addr().String())
			}
			return nil
		})
	}
	return []*http.Server{callers, admin}
}

// announce keeps the node on the platform's list.
func (n *Node) announce(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		v := vmlist.VM{
			ID: string(n.options.Node), Kind: vmlist.Entry, Address: n.deps.Self.Address, AdminAddress: n.deps.Self.AdminAddress,
			Region: n.options.Region, Zone: n.options.Zone, Leaving: n.stopping.Load(),
		}
		if err := n.list.Announce(ctx, v); err != nil && ctx.Err() == nil {
			n.options.Logger.Warn().Err(err).Str("Event", "AnnounceFailed").Msg("the platform's list cannot be told of this node")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
