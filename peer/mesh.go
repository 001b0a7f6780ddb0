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

// Options are what a Mesh needs. Listener is required; the rest works as zero.
type Options struct {
	Self Member
	// Cluster keeps systems apart that reach each other's addresses.
	Cluster  string
	Listener net.Listener
	// Seeds returns the entry VMs of the platform's lagging list.
	Seeds func(ctx context.Context) ([]Member, error)
	// Handler answers a request; its answer is ignored for one-way messages. It is
	// called from many goroutines.
	Handler func(ctx context.Context, from domain.NodeID, m Message) (Message, error)
	// TLS secures the links in both directions; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means a net.Dialer.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Mesh is this node's side of the links to all others.
type Mesh struct {
	options Options
	metrics metrics
	// loopback holds one-way messages that the node sent to itself.
	loopback chan Message
	members  atomic.Pointer[[]Member]
	ctx      context.Context

	mu       sync.Mutex
	table    *membership.Table
	remotes  map[domain.NodeID]*remote
	changed  chan struct{}
	version  uint64
	departed bool
	// nextSync is when to compare views next; syncVersion is the version of the
	// view at the last comparison.
	nextSync    time.Time
	syncVersion uint64
	syncs       int
	lastStep    time.Time
	// spreadAt is when news last went on.
	spreadAt time.Time
	// busyUntil is when this node trusts its own timeouts again.
	busyUntil time.Time
}

// remote is what the mesh keeps for another node.
type remote struct {
	links []*link
	// dialling is true while settled is open.
	dialling bool
	settled  chan struct{}
	// waiting are one-way frames until the first link is up.
	waiting frameQueue
}

// best returns the newest link, or nil.
func (r *remote) best() *link {
	if len(r.links) == 0 {
		return nil
	}
	return r.links[len(r.links)-1]
}

// NewMesh returns a mesh that knows only its own node. It does nothing until Run.
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
		loopback: make(chan Message, maximumInbox),
		ctx:      context.Background(),
		table:    membership.NewTable(o.Self),
		remotes:  map[domain.NodeID]*remote{},
		changed:  make(chan struct{}),
	}
	m.publish()
	return m
}

// Run serves and dials links until ctx ends. It returns nil then.
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
	group.Go(func() error { m.follow(ctx); return nil })
	group.Go(func() error { m.tick(ctx); return nil })
	group.Go(func() error { m.drain(ctx, m.options.Self.Node, m.loopback); return nil })
	err := group.Wait()
	m.closeLinks()
	return err
}

// Members returns the nodes that count as alive, with this one, sorted by id. The
// slice must not be changed.
func (m *Mesh) Members() []Member { return *m.members.Load() }

// IsAlive tells whether a node counts as alive.
func (m *Mesh) IsAlive(n domain.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	u, ok := m.table.Lookup(n)
	return ok && (u.Status == membership.Alive || u.Status == membership.Suspect)
}

// Changed returns a channel that is closed when Members changes next.
func (m *Mesh) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Left tells whether this node began to leave.
func (m *Mesh) Left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self().Member.Leaving
}

// AnnounceLeaving tells the others that this node is stopping, so that they choose it for no
// role, and returns when the neighbours were told or ctx is over. The node goes
// on answering until Run's context ends.
func (m *Mesh) AnnounceLeaving(ctx context.Context) error {
	m.mu.Lock()
	m.table.MarkLeaving()
	m.publish()
	m.spread()
	links := m.allLinks()
	m.mu.Unlock()
	for _, l := range links {
		for !l.out.empty() {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "tell peers that this node leaves")
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

// drain handles one-way messages in the order in which they came.
func (m *Mesh) drain(ctx context.Context, from domain.NodeID, inbox <-chan Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case message, ok := <-inbox:
			if !ok {
				return
			}
			if _, err := m.handle(ctx, from, message); err != nil {
				m.options.Logger.Debug().Str("Event", "OneWayMessageFailed").Err(err).Str("Peer", string(from)).Msg("one-way message failed")
			}
		}
	}
}

// remote returns what is kept for a node. The caller holds mu.
func (m *Mesh) remote(n domain.NodeID) *remote {
	r, ok := m.remotes[n]
	if !ok {
		r = &remote{}
		m.remotes[n] = r
	}
	return r
}

// allLinks returns the best link of every remote. The caller holds mu.
func (m *Mesh) allLinks() []*link {
	var result []*link
	for _, r := range m.remotes {
		if l := r.best(); l != nil {
			result = append(result, l)
		}
	}
	return result
}

// publish makes the table's members visible and tells who waits for a change.
// The caller holds mu or is the constructor.
func (m *Mesh) publish() {
	if m.version == m.table.Version() {
		return
	}
	m.version = m.table.Version()
	members := m.table.Members()
	m.members.Store(&members)
	m.metrics.members.Update(float64(len(members)))
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mesh) closeLinks() {
	m.mu.Lock()
	if m.table.Self().Member.Leaving && !m.departed {
		m.departed = true
		for _, l := range m.allLinks() {
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
		for !l.out.empty() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		l.close()
	}
}
