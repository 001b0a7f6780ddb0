package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/verdict"
)

// ErrUnreachable is the cause of the error of a call to which the peer itself sent no
// response.
var ErrUnreachable = errors.New("peer: unreachable")

// unreachableError returns the error of a call of which nothing was sent.
func unreachableError(message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Unknown, Message: message, Cause: ErrUnreachable}
}

// Call sends a request to a node and returns its response. A call to this node itself
// goes directly to Options.Handler. Errors are *verdict.Error. The verdict is NotRun if
// nothing was sent, the peer's verdict if it sent one, and MayHaveRun otherwise. If the
// peer sent no response, the reason is Unknown and the cause is ErrUnreachable. The
// time left until ctx's deadline is sent with the request.
func (m *Mesh) Call(ctx context.Context, to domain.NodeID, request Message) (Message, error) {
	if to == m.options.Self.Node {
		response, err := m.handle(ctx, to, request)
		if err != nil {
			return nil, verdict.Of(err)
		}
		return response, nil
	}
	l, err := m.getLink(ctx, to)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, request)
}

// Send queues a one-way message and does not wait. If the queue is full, the oldest
// messages are dropped. Messages to a node that is gone are dropped.
func (m *Mesh) Send(to domain.NodeID, message Message) {
	if to == m.options.Self.Node {
		m.sendSelf(message)
		return
	}
	frame, err := encodeFrame(wireFrame{}, message)
	if err != nil {
		m.options.Logger.Error().Str("Event", "MessageNotEncoded").Err(err).Msg("message cannot be encoded")
		return
	}
	m.sendFrame(to, frame)
}

// Broadcast sends a one-way message to every other node that is alive. The cost is one
// message for each node, so it suits small systems and rare messages.
func (m *Mesh) Broadcast(message Message) {
	frame, err := encodeFrame(wireFrame{}, message)
	if err != nil {
		m.options.Logger.Error().Str("Event", "MessageNotEncoded").Err(err).Msg("message cannot be encoded")
		return
	}
	for _, member := range m.Members() {
		if member.Node != m.options.Self.Node {
			m.sendFrame(member.Node, frame)
		}
	}
}

func (m *Mesh) sendSelf(message Message) {
	select {
	case m.loopback <- message:
	default:
		m.metrics.droppedMessages.Inc(1)
	}
}

func (m *Mesh) sendFrame(to domain.NodeID, frame []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u, ok := m.table.Lookup(to)
	if !ok || u.Status == membership.Gone {
		m.metrics.droppedMessages.Inc(1)
		return
	}
	r := m.remote(to)
	if l := r.newestLink(); l != nil {
		l.markUsed()
		m.metrics.droppedMessages.Inc(int64(l.outbox.pushBulk(frame)))
		return
	}
	m.metrics.droppedMessages.Inc(int64(r.queued.pushBulk(frame)))
	m.startDial(to, r)
}

// getLink returns a link to a node and dials it if there is none.
func (m *Mesh) getLink(ctx context.Context, to domain.NodeID) (*link, error) {
	m.mu.Lock()
	u, ok := m.table.Lookup(to)
	if !ok || u.Status == membership.Gone {
		m.mu.Unlock()
		return nil, unreachableError("the peer is gone")
	}
	r := m.remote(to)
	if l := r.newestLink(); l != nil {
		m.mu.Unlock()
		return l, nil
	}
	m.startDial(to, r)
	dialDone := r.dialDone
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, verdict.Refuse(verdict.DeadlinePassed, "the peer could not be reached in time")
	case <-dialDone:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := r.newestLink(); l != nil {
		return l, nil
	}
	return nil, unreachableError("the peer cannot be reached")
}

func (l *link) markUsed() {
	l.mu.Lock()
	l.lastUsedAt = time.Now()
	l.mu.Unlock()
}

func (l *link) call(ctx context.Context, request Message) (Message, error) {
	var timeout time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
		if timeout <= 0 {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "the deadline passed before the peer was asked")
		}
	}
	response := make(chan Message, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, unreachableError("the link to the peer is broken")
	}
	l.lastCallID++
	call := l.lastCallID
	l.pendingCalls[call] = response
	l.lastUsedAt = time.Now()
	l.mu.Unlock()
	f := wireFrame{Kind: frameRequest, Call: call, WithinMicroseconds: max(timeout.Microseconds(), 0)}
	if !l.sendUrgent(f, request) {
		l.removeCall(call)
		return nil, unreachableError("the link to the peer is congested or broken")
	}
	return l.awaitResponse(ctx, call, response)
}

func (l *link) awaitResponse(ctx context.Context, call uint64, response <-chan Message) (Message, error) {
	select {
	case m, ok := <-response:
		if !ok {
			return nil, verdict.UnknownOutcome(verdict.Unknown, "the link to the peer broke before the answer", ErrUnreachable)
		}
		if f, failed := m.(Failed); failed {
			return nil, fromFailed(f)
		}
		return m, nil
	case <-ctx.Done():
		l.removeCall(call)
		l.sendUrgent(wireFrame{Kind: frameCancel, Call: call}, nil)
		return nil, verdict.UnknownOutcome(verdict.DeadlinePassed, "the peer did not answer in time", ctx.Err())
	}
}

func (l *link) removeCall(call uint64) {
	l.mu.Lock()
	delete(l.pendingCalls, call)
	l.mu.Unlock()
}

func toFailed(err error) Failed {
	e := verdict.Of(err)
	return Failed{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfter: e.RetryAfter}
}

func fromFailed(f Failed) *verdict.Error {
	return &verdict.Error{Verdict: f.Verdict, Reason: f.Reason, Message: f.Message, RetryAfter: f.RetryAfter}
}
