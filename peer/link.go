package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// maximumFrame is the largest frame that is read, in bytes; a snapshot must
	// fit.
	maximumFrame = 64 << 20
	// maximumServing is how many requests of one link are served at once.
	maximumServing = 1024
	// maximumInbox is how many one-way messages of one link wait to be handled.
	maximumInbox = 1024
)

// link is one WebSocket connection to another node.
type link struct {
	mesh *Mesh
	conn *websocket.Conn
	node domain.NodeID
	// dialled links were opened by this node, which also closes them when idle.
	dialled bool
	out     *outbox

	mu      sync.Mutex
	closed  bool
	next    uint64
	calls   map[uint64]chan Message
	serving map[uint64]context.CancelFunc
	inbox   chan Message
	// readAt and usedAt are when the last frame and the last frame beside
	// pings came; usedAt counts sent ones too.
	readAt, usedAt time.Time
	// pingAt is when the oldest unanswered ping was sent; zero for none.
	pingAt, lastPingAt time.Time
	// pingedAt is when the other side pinged last; such a link is a neighbour's.
	pingedAt time.Time
	probed   bool
	// idleClose is set where this side closes the link because it is not needed.
	idleClose bool
}

func newLink(m *Mesh, conn *websocket.Conn, n domain.NodeID, dialled bool) *link {
	now := time.Now()
	conn.SetReadLimit(maximumFrame)
	return &link{
		mesh: m, conn: conn, node: n, dialled: dialled, out: newOutbox(),
		calls: map[uint64]chan Message{}, serving: map[uint64]context.CancelFunc{},
		readAt: now, usedAt: now,
	}
}

// run reads and writes until the link breaks.
func (l *link) run(ctx context.Context) {
	go l.write()
	for {
		_, data, err := l.conn.Read(context.Background())
		if err != nil {
			break
		}
		f, err := decodeFrame(data)
		if err != nil {
			l.mesh.options.Logger.Warn().Str("Event", "FrameNotDecoded").Err(err).Str("Peer", string(l.node)).Msg("frame cannot be decoded")
			break
		}
		l.take(ctx, f)
	}
	l.close()
	l.mesh.linkDown(l)
}

func (l *link) write() {
	for {
		frames, ok := l.out.take()
		if !ok {
			return
		}
		for _, f := range frames {
			if err := l.conn.Write(context.Background(), websocket.MessageBinary, f); err != nil {
				l.close()
				return
			}
		}
	}
}

// close ends the link; calls that wait for an answer fail.
func (l *link) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	for _, c := range l.calls {
		close(c)
	}
	for _, cancel := range l.serving {
		cancel()
	}
	if l.inbox != nil {
		close(l.inbox)
	}
	clear(l.calls)
	l.mu.Unlock()
	l.out.close()
	go func() { _ = l.conn.CloseNow() }()
}

// take handles one frame; it never blocks on a handler.
func (l *link) take(ctx context.Context, f wireFrame) {
	l.heard(f)
	switch f.Kind {
	case frameCancel:
		l.cancel(f.Call)
	case frameAnswer:
		l.answered(f)
	case frameRequest:
		l.request(ctx, f)
	case frameOneWay:
		l.oneWay(ctx, f)
	}
}

func (l *link) heard(f wireFrame) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = now
	switch f.Number {
	case numberPing:
		l.pingedAt = now
	case numberPong:
		l.pingAt = time.Time{}
		l.probed = false
	case numberGossip, numberCompare, numberDiffers:
	default:
		l.usedAt = now
	}
}

func (l *link) cancel(call uint64) {
	l.mu.Lock()
	cancel := l.serving[call]
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (l *link) answered(f wireFrame) {
	m, err := decodeMessage(f)
	if err != nil {
		m = toFailed(verdict.UnknownOutcome(verdict.Unknown, "the answer of a peer cannot be decoded", err))
	}
	l.mu.Lock()
	c := l.calls[f.Call]
	delete(l.calls, f.Call)
	l.mu.Unlock()
	if c != nil {
		c <- m
	}
}

func (l *link) request(ctx context.Context, f wireFrame) {
	m, err := decodeMessage(f)
	if err != nil {
		l.answer(f.Call, toFailed(verdict.Refuse(verdict.BadRequest, "a node of this version does not know the message")))
		return
	}
	var cancel context.CancelFunc
	if f.WithinMicroseconds > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(f.WithinMicroseconds)*time.Microsecond)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	l.mu.Lock()
	full := len(l.serving) >= maximumServing
	if !full && !l.closed {
		l.serving[f.Call] = cancel
	}
	l.mu.Unlock()
	if full {
		cancel()
		l.answer(f.Call, toFailed(verdict.Refuse(verdict.QueueFull, "the peer serves too many requests")))
		return
	}
	go l.serve(ctx, cancel, f.Call, m)
}

func (l *link) serve(ctx context.Context, cancel context.CancelFunc, call uint64, m Message) {
	defer cancel()
	answer, err := l.mesh.handle(ctx, l.node, m)
	l.mu.Lock()
	delete(l.serving, call)
	l.mu.Unlock()
	if err != nil {
		answer = toFailed(err)
	}
	if answer == nil {
		answer = toFailed(verdict.UnknownOutcome(verdict.Unknown, "the peer has no answer to this message", nil))
	}
	l.answer(call, answer)
}

func (l *link) answer(call uint64, m Message) {
	l.sendUrgent(wireFrame{Kind: frameAnswer, Call: call}, m)
}

func (l *link) sendUrgent(f wireFrame, m Message) bool {
	frame, err := encodeFrame(f, m)
	if err != nil {
		l.mesh.options.Logger.Error().Str("Event", "MessageNotEncoded").Err(err).Msg("message cannot be encoded")
		return false
	}
	return l.out.pushUrgent(frame)
}

func (l *link) oneWay(ctx context.Context, f wireFrame) {
	m, err := decodeMessage(f)
	if err != nil {
		return
	}
	if l.control(m) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if l.inbox == nil {
		l.inbox = make(chan Message, maximumInbox)
		go l.mesh.drain(ctx, l.node, l.inbox)
	}
	select {
	case l.inbox <- m:
	default:
		l.mesh.metrics.dropped.Inc(1)
	}
}

// control handles what the mesh itself says and returns false for the rest.
func (l *link) control(m Message) bool {
	switch m := m.(type) {
	case Ping:
		l.sendUrgent(wireFrame{}, Pong(m))
	case Pong:
	case Gossip:
		l.mesh.merge(m.Updates)
	case Compare:
		if d, differ := l.mesh.compare(m.Digests); differ {
			l.sendUrgent(wireFrame{}, d)
		}
	case Differs:
		l.mesh.merge(m.Updates)
		if d, differ := l.mesh.lacking(m); differ {
			l.sendUrgent(wireFrame{}, d)
		}
	default:
		return false
	}
	return true
}
