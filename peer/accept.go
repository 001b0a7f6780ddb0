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
	mux.HandleFunc("GET "+websocketPath, m.accept)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: handshakeTimeout,
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
	return errors.Wrap(err, "serve peer listener")
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	u, err := m.acceptHello(r.Context(), conn)
	if err != nil {
		m.options.Logger.Debug().Str("Event", "LinkRefused").Err(err).Msg("refused the link of a peer after a failed handshake")
		_ = conn.CloseNow()
		return
	}
	l := newLink(m, conn, u.Member.Node, false)
	m.addLink(l, u)
	l.run(r.Context())
}

// acceptHello reads a Hello and responds with Welcome, or with Failed if it refuses the
// link.
func (m *Mesh) acceptHello(ctx context.Context, conn *websocket.Conn) (membership.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	message, err := readMessage(ctx, conn)
	if err != nil {
		return membership.Update{}, err
	}
	hello, ok := message.(Hello)
	if !ok {
		return membership.Update{}, errors.Errorf("peer: unexpected message %T in the handshake", message)
	}
	if refusal := m.checkHello(hello); refusal != nil {
		_ = writeMessage(ctx, conn, toFailed(refusal))
		return membership.Update{}, refusal
	}
	m.mu.Lock()
	welcome := Welcome{Self: m.table.Self()}
	if known, ok := m.table.Lookup(hello.Self.Member.Node); ok && known.Status >= membership.Suspect {
		welcome.DiallerUpdates = []membership.Update{known}
	}
	m.mu.Unlock()
	return hello.Self, writeMessage(ctx, conn, welcome)
}

// checkHello returns an error if the link must be refused.
func (m *Mesh) checkHello(h Hello) error {
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

// addLink adds a new link, sends the queued frames over it and compares the views of the
// two nodes.
func (m *Mesh) addLink(l *link, u membership.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RecordContact(time.Now(), u)
	r := m.remote(l.node)
	r.links = append(r.links, l)
	for _, f := range r.queued.takeAll() {
		l.outbox.pushBulk(f)
	}
	if m.ctx.Err() != nil {
		go l.close()
		return
	}
	l.sendUrgent(wireFrame{}, Compare{Digests: m.table.Digests()})
	m.sendGossip()
}

// removeLink removes a broken link. If it was the only one to a neighbour, the node is
// dialled at once: a refused connection soon shows that the node is dead.
func (m *Mesh) removeLink(l *link) {
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
	redial := !l.closedIdle && l.isNeighbourLink(time.Now())
	l.mu.Unlock()
	if redial {
		m.startDial(l.node, r)
	}
}
