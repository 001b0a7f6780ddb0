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
	// maximumFrameBytes is the size of the largest frame that is accepted. A snapshot
	// must fit into it.
	maximumFrameBytes = 64 << 20
	// maximumConcurrentRequests is the number of requests of one link that are served
	// concurrently.
	maximumConcurrentRequests = 1024
	// maximumInboxMessages is the number of one-way messages of one link that may wait
	// for the handler.
	maximumInboxMessages = 1024
)

// link is one WebSocket connection to another node.
type link struct {
	mesh *Mesh
	conn *websocket.Conn
	node domain.NodeID
	// dialled is true if this node opened the link; this node then also closes it when it
	// is idle.
	dialled bool
	outbox  *outbox

	mu         sync.Mutex
	closed     bool
	lastCallID uint64
	// pendingCalls holds, by call ID, the channel for the response to each request that
	// this node sent. cancelByCall holds, by call ID, the cancel function of each request
	// of the other node that is being served.
	pendingCalls map[uint64]chan Message
	cancelByCall map[uint64]context.CancelFunc
	inbox        chan Message
	// lastReadAt is when the last frame was received. lastUsedAt is when the last frame
	// that is no ping, pong or membership message was sent or received.
	lastReadAt, lastUsedAt time.Time
	// unansweredPingAt is when the node sent the ping whose pong is outstanding, or
	// zero if no pong is. lastPingSentAt is when it sent the last ping.
	unansweredPingAt, lastPingSentAt time.Time
	// lastPingReceivedAt is when the other node last sent a ping, as neighbours do.
	lastPingReceivedAt time.Time
	// redialStarted is true once a new connection was tried because the pong is late.
	redialStarted bool
	// closedIdle is true if this node closes the link because it is idle or redundant.
	closedIdle bool
}

func newLink(m *Mesh, conn *websocket.Conn, n domain.NodeID, dialled bool) *link {
	now := time.Now()
	conn.SetReadLimit(maximumFrameBytes)
	return &link{
		mesh: m, conn: conn, node: n, dialled: dialled, outbox: newOutbox(),
		pendingCalls: map[uint64]chan Message{}, cancelByCall: map[uint64]context.CancelFunc{},
		lastReadAt: now, lastUsedAt: now,
	}
}

// run starts the writer and handles received frames until the link breaks.
func (l *link) run(ctx context.Context) {
	go l.writeLoop()
	for {
		_, data, err := l.conn.Read(context.Background())
		if err != nil {
			break
		}
		f, err := decodeFrame(data)
		if err != nil {
			l.mesh.options.Logger.Warn().Str("Event", "FrameNotDecoded").Err(err).Str("Peer", string(l.node)).Msg("received a frame that cannot be decoded; closing the link")
			break
		}
		l.handleFrame(ctx, f)
	}
	l.close()
	l.mesh.removeLink(l)
}

func (l *link) writeLoop() {
	for {
		frames, ok := l.outbox.next()
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

// close closes the link. Calls that wait for a response fail.
func (l *link) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	for _, c := range l.pendingCalls {
		close(c)
	}
	for _, cancel := range l.cancelByCall {
		cancel()
	}
	if l.inbox != nil {
		close(l.inbox)
	}
	clear(l.pendingCalls)
	l.mu.Unlock()
	l.outbox.close()
	go func() { _ = l.conn.CloseNow() }()
}

// handleFrame handles one frame. It never waits for a handler.
func (l *link) handleFrame(ctx context.Context, f wireFrame) {
	l.recordActivity(f)
	switch f.Kind {
	case frameCancel:
		l.cancelRequest(f.Call)
	case frameResponse:
		l.handleResponse(f)
	case frameRequest:
		l.handleRequest(ctx, f)
	case frameOneWay:
		l.handleOneWay(ctx, f)
	}
}

// recordActivity stores when a frame was received. Pings, pongs and membership messages
// do not count as use of the link.
func (l *link) recordActivity(f wireFrame) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReadAt = now
	switch f.Number {
	case numberPing:
		l.lastPingReceivedAt = now
	case numberPong:
		l.unansweredPingAt = time.Time{}
		l.redialStarted = false
	case numberGossip, numberCompare, numberDiffers:
	default:
		l.lastUsedAt = now
	}
}

func (l *link) cancelRequest(call uint64) {
	l.mu.Lock()
	cancel := l.cancelByCall[call]
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (l *link) handleResponse(f wireFrame) {
	m, err := decodeMessage(f)
	if err != nil {
		m = toFailed(verdict.UnknownOutcome(verdict.Unknown, "the answer of a peer cannot be decoded", err))
	}
	l.mu.Lock()
	c := l.pendingCalls[f.Call]
	delete(l.pendingCalls, f.Call)
	l.mu.Unlock()
	if c != nil {
		c <- m
	}
}

func (l *link) handleRequest(ctx context.Context, f wireFrame) {
	m, err := decodeMessage(f)
	if err != nil {
		l.respond(f.Call, toFailed(verdict.Refuse(verdict.BadRequest, "a node of this version does not know the message")))
		return
	}
	var cancel context.CancelFunc
	if f.WithinMicroseconds > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(f.WithinMicroseconds)*time.Microsecond)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	l.mu.Lock()
	full := len(l.cancelByCall) >= maximumConcurrentRequests
	if !full && !l.closed {
		l.cancelByCall[f.Call] = cancel
	}
	l.mu.Unlock()
	if full {
		cancel()
		l.respond(f.Call, toFailed(verdict.Refuse(verdict.QueueFull, "the peer serves too many requests")))
		return
	}
	go l.serveRequest(ctx, cancel, f.Call, m)
}

func (l *link) serveRequest(ctx context.Context, cancel context.CancelFunc, call uint64, m Message) {
	defer cancel()
	response, err := l.mesh.handle(ctx, l.node, m)
	l.mu.Lock()
	delete(l.cancelByCall, call)
	l.mu.Unlock()
	if err != nil {
		response = toFailed(err)
	}
	if response == nil {
		response = toFailed(verdict.UnknownOutcome(verdict.Unknown, "the peer has no answer to this message", nil))
	}
	l.respond(call, response)
}

func (l *link) respond(call uint64, m Message) {
	l.sendUrgent(wireFrame{Kind: frameResponse, Call: call}, m)
}

func (l *link) sendUrgent(f wireFrame, m Message) bool {
	frame, err := encodeFrame(f, m)
	if err != nil {
		l.mesh.options.Logger.Error().Str("Event", "MessageNotEncoded").Err(err).Msg("message cannot be encoded")
		return false
	}
	return l.outbox.pushUrgent(frame)
}

func (l *link) handleOneWay(ctx context.Context, f wireFrame) {
	m, err := decodeMessage(f)
	if err != nil {
		return
	}
	if l.handleControl(m) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if l.inbox == nil {
		l.inbox = make(chan Message, maximumInboxMessages)
		go l.mesh.handleInbox(ctx, l.node, l.inbox)
	}
	select {
	case l.inbox <- m:
	default:
		l.mesh.metrics.droppedMessages.Inc(1)
	}
}

// handleControl handles the messages of the mesh itself and returns false for all others.
func (l *link) handleControl(m Message) bool {
	switch m := m.(type) {
	case Ping:
		l.sendUrgent(wireFrame{}, Pong(m))
	case Pong:
	case Gossip:
		l.mesh.mergeUpdates(m.Updates)
	case Compare:
		if d, differ := l.mesh.diff(m.Digests); differ {
			l.sendUrgent(wireFrame{}, d)
		}
	case Differs:
		l.mesh.mergeUpdates(m.Updates)
		if d, differ := l.mesh.missingUpdates(m); differ {
			l.sendUrgent(wireFrame{}, d)
		}
	default:
		return false
	}
	return true
}
