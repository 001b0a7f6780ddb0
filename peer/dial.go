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
	// dialTime bounds a new connection with its handshake. It is shorter than the
	// retransmission of a lost SYN, so that the second try is a new connection.
	dialTime = 400 * time.Millisecond
	// dialTries is how many new connections fail before the node counts as silent
	// or dead.
	dialTries = 2
	// refusedRetry is how long after a refused connection the next try comes.
	refusedRetry = 150 * time.Millisecond
	// handshakeTime bounds how long an accepted connection may take to say Hello.
	handshakeTime = 2 * time.Second
	path          = "/peer"
)

// startDial opens a link in the background. The caller holds mu.
func (m *Mesh) startDial(to domain.NodeID, r *remote) {
	if r.dialling {
		return
	}
	u, ok := m.table.Lookup(to)
	if !ok || u.Member.Address == "" {
		return
	}
	r.dialling = true
	r.settled = make(chan struct{})
	go m.dial(m.ctx, u.Member, r)
}

// dial opens a link and tells the table how it went.
func (m *Mesh) dial(ctx context.Context, to Member, r *remote) {
	began := time.Now()
	err := m.tryConnect(ctx, to)
	m.mu.Lock()
	defer m.mu.Unlock()
	r.dialling = false
	close(r.settled)
	if err == nil || ctx.Err() != nil {
		return
	}
	m.metrics.dialsFailed.Inc(1)
	now := time.Now()
	switch {
	case r.heardSince(began):
		return
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errOtherNode):
		m.table.MarkGone(now, to.Node)
	case now.Before(m.busyUntil):
		return
	default:
		m.table.RecordTimeout(now, to.Node)
	}
	m.metrics.dropped.Inc(int64(len(r.waiting.take())))
	m.spread()
}

// tryConnect returns the last error of dialTries connections.
func (m *Mesh) tryConnect(ctx context.Context, to Member) error {
	var err error
	for i := range dialTries {
		if i > 0 && errors.Is(err, syscall.ECONNREFUSED) {
			time.Sleep(refusedRetry)
		}
		err = m.connect(ctx, to)
		if err == nil || errors.Is(err, errOtherNode) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// heardSince tells whether an open link brought bytes after an instant.
func (r *remote) heardSince(t time.Time) bool {
	for _, l := range r.links {
		l.mu.Lock()
		heard := l.readAt.After(t)
		l.mu.Unlock()
		if heard {
			return true
		}
	}
	return false
}

var errOtherNode = errors.New("peer: another node answers at the address")

// connect makes one connection with its handshake.
func (m *Mesh) connect(run context.Context, to Member) error {
	m.metrics.dials.Inc(1)
	m.mu.Lock()
	patience := time.Duration(1 + m.table.HealthMultiplier())
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(run, dialTime*patience)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, m.scheme()+to.Address+path, &websocket.DialOptions{HTTPClient: m.client()})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		return errors.WithStack(err)
	}
	u, err := m.greet(ctx, conn, to.Node)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	l := newLink(m, conn, u.Member.Node, true)
	m.linkUp(l, u)
	go l.run(run)
	if u.Member.Node != to.Node {
		return errOtherNode
	}
	return nil
}

func (m *Mesh) scheme() string {
	if m.options.TLS != nil {
		return "wss://"
	}
	return "ws://"
}

// client returns an HTTP client for one handshake; the connection is not shared.
func (m *Mesh) client() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.options.Dial}
	if m.options.TLS != nil {
		transport.TLSClientConfig = m.options.TLS.Clone()
	}
	return &http.Client{Transport: transport}
}

// greet says Hello and reads the Welcome.
func (m *Mesh) greet(ctx context.Context, conn *websocket.Conn, to domain.NodeID) (membership.Update, error) {
	m.mu.Lock()
	hello := Hello{Version: ProtocolVersion, Cluster: m.options.Cluster, To: to, Self: m.table.Self()}
	m.mu.Unlock()
	if err := writeMessage(ctx, conn, hello); err != nil {
		return membership.Update{}, err
	}
	answer, err := readMessage(ctx, conn)
	if err != nil {
		return membership.Update{}, err
	}
	switch a := answer.(type) {
	case Welcome:
		m.merge(a.News)
		return a.Self, nil
	case Failed:
		return membership.Update{}, fromFailed(a)
	default:
		return membership.Update{}, errors.Errorf("peer: %T in a handshake", answer)
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
