package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/verdict"
)

// listen accepts links until ctx ends.
func (m *Mesh) listen(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, m.accept)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: handshakeTime,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	listener := m.options.Listener
	if m.options.TLS != nil {
		listener = tls.NewListener(listener, m.options.TLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	u, err := m.welcome(r.Context(), conn)
	if err != nil {
		m.options.Logger.Debug().Str("Event", "LinkRefused").Err(err).Msg("link refused")
		_ = conn.CloseNow()
		return
	}
	l := newLink(m, conn, u.Member.Node, false)
	m.linkUp(l, u)
	l.run(r.Context())
}

// welcome reads the Hello and answers it.
func (m *Mesh) welcome(ctx context.Context, conn *websocket.Conn) (membership.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
	defer cancel()
	message, err := readMessage(ctx, conn)
	if err != nil {
		return membership.Update{}, err
	}
	hello, ok := message.(Hello)
	if !ok {
		return membership.Update{}, errors.Errorf("peer: %T in a handshake", message)
	}
	if refusal := m.refusal(hello); refusal != nil {
		_ = writeMessage(ctx, conn, toFailed(refusal))
		return membership.Update{}, refusal
	}
	m.mu.Lock()
	answer := Welcome{Self: m.table.Self()}
	if known, ok := m.table.Lookup(hello.Self.Member.Node); ok && known.Status >= membership.Suspect {
		answer.News = []membership.Update{known}
	}
	m.mu.Unlock()
	return hello.Self, writeMessage(ctx, conn, answer)
}

func (m *Mesh) refusal(h Hello) error {
	if h.Version != ProtocolVersion {
		return verdict.Refuse(verdict.BadRequest, "the nodes speak different protocol versions")
	}
	if h.Cluster != m.options.Cluster {
		return verdict.Refuse(verdict.Forbidden, "the nodes belong to different clusters")
	}
	if h.Self.Member.Node == "" || h.Self.Member.Node == m.options.Self.Node {
		return verdict.Refuse(verdict.BadRequest, "the dialler has no node id of its own")
	}
	return nil
}

// linkUp takes a new link into use.
func (m *Mesh) linkUp(l *link, u membership.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RecordContact(time.Now(), u)
	r := m.remote(l.node)
	r.links = append(r.links, l)
	for _, f := range r.waiting.take() {
		l.out.pushBulk(f)
	}
	if m.ctx.Err() != nil {
		go l.close()
		return
	}
	l.sendUrgent(wireFrame{}, Compare{Digests: m.table.Digests()})
	m.spread()
}

// linkDown forgets a broken link. A node without a link is tried again at once:
// a refused connection soon tells whether it is dead.
func (m *Mesh) linkDown(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(l.node)
	for i, other := range r.links {
		if other == l {
			r.links = append(r.links[:i:i], r.links[i+1:]...)
			break
		}
	}
	if m.ctx.Err() != nil || len(r.links) > 0 {
		return
	}
	u, ok := m.table.Lookup(l.node)
	if !ok || u.Status == membership.Gone {
		delete(m.remotes, l.node)
		return
	}
	l.mu.Lock()
	redial := !l.idleClose && l.neighbour(time.Now())
	l.mu.Unlock()
	if redial {
		m.startDial(l.node, r)
	}
}
