package peer

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

const (
	// dialTimeout bounds a connection attempt with its handshake. It is shorter than the
	// retransmission timeout of a lost SYN, so that the next attempt opens a new
	// connection instead.
	dialTimeout = 400 * time.Millisecond
	// dialAttempts is the number of connection attempts that must fail before the dial is
	// recorded as failed.
	dialAttempts = 2
	// refusedRetryDelay is the delay before the next attempt after a refused connection.
	refusedRetryDelay = 150 * time.Millisecond
	// handshakeTimeout bounds the time until an accepted connection sends Hello.
	handshakeTimeout = 2 * time.Second
	websocketPath    = "/peer"
)

// startDial opens a link in the background, unless a dial to the node is in progress. The
// caller holds mu.
func (m *Mesh) startDial(to domain.NodeID, r *remote) {
	if r.dialling {
		return
	}
	u, ok := m.table.Lookup(to)
	if !ok || u.Member.Address == "" {
		return
	}
	r.dialling = true
	r.dialDone = make(chan struct{})
	go m.dial(m.ctx, u.Member, r)
}

// dial opens a link and records a failure in the membership table. A refused connection
// or the response of another node shows that the node is gone. A timeout is ignored if
// another link received bytes meanwhile or if this process lacked CPU time.
func (m *Mesh) dial(ctx context.Context, to Member, r *remote) {
	startedAt := time.Now()
	err := m.connectWithRetries(ctx, to)
	m.mu.Lock()
	defer m.mu.Unlock()
	r.dialling = false
	close(r.dialDone)
	if err == nil || ctx.Err() != nil {
		return
	}
	m.metrics.dialsFailed.Inc(1)
	now := time.Now()
	switch {
	case r.receivedSince(startedAt):
		return
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errUnexpectedNode):
		m.table.MarkGone(now, to.Node)
	case now.Before(m.distrustTimeoutsUntil):
		return
	default:
		m.table.RecordTimeout(now, to.Node)
	}
	m.metrics.droppedMessages.Inc(int64(len(r.queued.takeAll())))
	m.sendGossip()
}

// connectWithRetries makes up to dialAttempts connection attempts and returns the last
// error.
func (m *Mesh) connectWithRetries(ctx context.Context, to Member) error {
	var err error
	for i := range dialAttempts {
		if i > 0 && errors.Is(err, syscall.ECONNREFUSED) {
			time.Sleep(refusedRetryDelay)
		}
		err = m.connect(ctx, to)
		if err == nil || errors.Is(err, errUnexpectedNode) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// receivedSince reports whether an open link has received bytes after t.
func (r *remote) receivedSince(t time.Time) bool {
	for _, l := range r.links {
		l.mu.Lock()
		received := l.lastReadAt.After(t)
		l.mu.Unlock()
		if received {
			return true
		}
	}
	return false
}

var errUnexpectedNode = errors.New("peer: a different node responded at the address")

// connect opens one connection, performs the handshake and starts the link.
func (m *Mesh) connect(run context.Context, to Member) error {
	m.metrics.dials.Inc(1)
	m.mu.Lock()
	multiplier := time.Duration(1 + m.table.HealthMultiplier())
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(run, dialTimeout*multiplier)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, m.scheme()+to.Address+websocketPath, &websocket.DialOptions{HTTPClient: m.newHTTPClient()})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		return errors.WithStack(err)
	}
	u, err := m.sendHello(ctx, conn, to.Node)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	l := newLink(m, conn, u.Member.Node, true)
	m.addLink(l, u)
	go l.run(run)
	if u.Member.Node != to.Node {
		return errUnexpectedNode
	}
	return nil
}

func (m *Mesh) scheme() string {
	if m.options.TLS != nil {
		return "wss://"
	}
	return "ws://"
}

// newHTTPClient returns an HTTP client for one handshake; its connection is not shared.
func (m *Mesh) newHTTPClient() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.options.Dial}
	if m.options.TLS != nil {
		transport.TLSClientConfig = m.options.TLS.Clone()
	}
	return &http.Client{Transport: transport}
}

// sendHello sends Hello and returns the identity in the Welcome.
func (m *Mesh) sendHello(ctx context.Context, conn *websocket.Conn, to domain.NodeID) (membership.Update, error) {
	m.mu.Lock()
	hello := Hello{Version: ProtocolVersion, Cluster: m.options.Cluster, To: to, Self: m.table.Self()}
	m.mu.Unlock()
	if err := writeMessage(ctx, conn, hello); err != nil {
		return membership.Update{}, err
	}
	response, err := readMessage(ctx, conn)
	if err != nil {
		return membership.Update{}, err
	}
	switch r := response.(type) {
	case Welcome:
		m.mergeUpdates(r.DiallerUpdates)
		return r.Self, nil
	case Failed:
		return membership.Update{}, fromFailed(r)
	default:
		return membership.Update{}, errors.Errorf("peer: unexpected message %T in the handshake", response)
	}
}

func writeMessage(ctx context.Context, conn *websocket.Conn, message Message) error {
	frame, err := encodeFrame(wireFrame{}, message)
	if err != nil {
		return err
	}
	return errors.Wrap(conn.Write(ctx, websocket.MessageBinary, frame), "write handshake")
}

func readMessage(ctx context.Context, conn *websocket.Conn) (Message, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read handshake")
	}
	f, err := decodeFrame(data)
	if err != nil {
		return nil, err
	}
	return decodeMessage(f)
}
