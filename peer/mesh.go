package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

// Options configure a Mesh. Listener is required, all other fields may be zero.
type Options struct {
	Self Member
	// Cluster separates systems that can reach each other's addresses: links between
	// different clusters are refused.
	Cluster  string
	Listener net.Listener
	// Seeds returns the entry VMs on the platform's list, which can be outdated.
	Seeds func(ctx context.Context) ([]Member, error)
	// Handler handles a message and returns the response to a request; for a one-way
	// message the response is ignored. It is called concurrently.
	Handler func(ctx context.Context, from domain.NodeID, m Message) (Message, error)
	// TLS secures the links in both directions; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means a net.Dialer.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Mesh is one node's links to all other nodes and its view of their membership.
type Mesh struct {
	options Options
	metrics metrics
	// loopback holds one-way messages that the node has sent to itself.
	loopback chan Message
	members  atomic.Pointer[[]Member]
	ctx      context.Context

	mu      sync.Mutex
	table   *membership.Table
	remotes map[domain.NodeID]*remote
	changed chan struct{}
	// publishedVersion is the version of the view that members contains.
	publishedVersion uint64
	departureSent    bool
	// nextAntiEntropyAt is when to compare views with a neighbour next.
	// antiEntropyVersion is the version of this node's view at the last comparison.
	nextAntiEntropyAt  time.Time
	antiEntropyVersion uint64
	antiEntropyRounds  int
	lastTickAt         time.Time
	// lastGossipAt is when membership updates were last sent to the neighbours.
	lastGossipAt time.Time
	// distrustTimeoutsUntil is the time until which timeouts are ignored because this
	// process lacked CPU time.
	distrustTimeoutsUntil time.Time
}

// remote is the connection state of another node.
type remote struct {
	links []*link
	// dialling is true while a dial is in progress; dialDone is closed when it ends.
	dialling bool
	dialDone chan struct{}
	// queued holds one-way frames until the first link is open.
	queued frameQueue
}

// newestLink returns the newest link, or nil.
func (r *remote) newestLink() *link {
	if len(r.links) == 0 {
		return nil
	}
	return r.links[len(r.links)-1]
}

// NewMesh returns a mesh that knows only its own node. Run starts it.
func NewMesh(o Options) *Mesh {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Self.Address == "" && o.Listener != nil {
		o.Self.Address = o.Listener.Addr().String()
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	m := &Mesh{
		options:  o,
		metrics:  newMetrics(o.Scope),
		loopback: make(chan Message, maximumInboxMessages),
		ctx:      context.Background(),
		table:    membership.NewTable(o.Self),
		remotes:  map[domain.NodeID]*remote{},
		changed:  make(chan struct{}),
	}
	m.publishMembers()
	return m
}

// Run accepts and dials links until ctx ends, and then returns nil.
func (m *Mesh) Run(ctx context.Context) error {
	if m.options.Listener == nil {
		return errors.New("peer: a mesh needs a listener")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.listen(ctx) })
	group.Go(func() error { m.pollSeeds(ctx); return nil })
	group.Go(func() error { m.runTicker(ctx); return nil })
	group.Go(func() error { m.handleInbox(ctx, m.options.Self.Node, m.loopback); return nil })
	err := group.Wait()
	m.closeLinks()
	return err
}

// Members returns the nodes that are considered alive, including this one, sorted by ID.
// The caller must not modify the slice.
func (m *Mesh) Members() []Member { return *m.members.Load() }

// IsAlive reports whether a node is considered alive.
func (m *Mesh) IsAlive(n domain.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	u, ok := m.table.Lookup(n)
	return ok && (u.Status == membership.Alive || u.Status == membership.Suspect)
}

// Changed returns a channel that is closed at the next change of Members.
func (m *Mesh) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// IsLeaving reports whether this node has announced its shutdown.
func (m *Mesh) IsLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self().Member.Leaving
}

// AnnounceLeaving announces the shutdown of this node, so that the other nodes choose it for no
// role. It returns when the announcement has been written to the neighbours or ctx ends.
// The node still responds until Run's context ends.
func (m *Mesh) AnnounceLeaving(ctx context.Context) error {
	m.mu.Lock()
	m.table.MarkLeaving()
	m.publishMembers()
	m.sendGossip()
	links := m.newestLinks()
	m.mu.Unlock()
	for _, l := range links {
		for !l.outbox.isEmpty() {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "announce shutdown to peers")
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

func (m *Mesh) handle(ctx context.Context, from domain.NodeID, message Message) (Message, error) {
	if m.options.Handler == nil {
		return nil, errors.New("peer: no handler")
	}
	return m.options.Handler(ctx, from, message)
}

// handleInbox handles one-way messages in the order of their arrival.
func (m *Mesh) handleInbox(ctx context.Context, from domain.NodeID, inbox <-chan Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case message, ok := <-inbox:
			if !ok {
				return
			}
			if _, err := m.handle(ctx, from, message); err != nil {
				m.options.Logger.Debug().Str("Event", "OneWayMessageFailed").Err(err).Str("Peer", string(from)).Msg("handler of a one-way message failed")
			}
		}
	}
}

// remote returns the connection state of a node, new if there is none. The caller holds
// mu.
func (m *Mesh) remote(n domain.NodeID) *remote {
	r, ok := m.remotes[n]
	if !ok {
		r = &remote{}
		m.remotes[n] = r
	}
	return r
}

// newestLinks returns the newest link to every node that has one. The caller holds mu.
func (m *Mesh) newestLinks() []*link {
	var result []*link
	for _, r := range m.remotes {
		if l := r.newestLink(); l != nil {
			result = append(result, l)
		}
	}
	return result
}

// publishMembers updates the result of Members if the view has changed, and notifies the
// receivers of Changed. The caller holds mu or is the constructor.
func (m *Mesh) publishMembers() {
	if m.publishedVersion == m.table.Version() {
		return
	}
	m.publishedVersion = m.table.Version()
	members := m.table.Members()
	m.members.Store(&members)
	m.metrics.members.Update(float64(len(members)))
	close(m.changed)
	m.changed = make(chan struct{})
}

// closeLinks sends the departure of a node that is leaving, waits briefly until the
// outboxes are written and closes all links.
func (m *Mesh) closeLinks() {
	m.mu.Lock()
	if m.table.Self().Member.Leaving && !m.departureSent {
		m.departureSent = true
		for _, l := range m.newestLinks() {
			l.sendUrgent(wireFrame{}, Gossip{Updates: []membership.Update{m.table.DepartureUpdate()}})
		}
	}
	var links []*link
	for _, r := range m.remotes {
		links = append(links, r.links...)
	}
	m.mu.Unlock()
	for _, l := range links {
		deadline := time.Now().Add(100 * time.Millisecond)
		for !l.outbox.isEmpty() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		l.close()
	}
}
