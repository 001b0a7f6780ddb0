package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/verdict"
)

// ErrUnreachable is the cause of errors where the peer itself gave no answer.
var ErrUnreachable = errors.New("peer: unreachable")

// unreachable is an error of a call of which nothing was sent.
func unreachable(message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Unknown, Message: message, Cause: ErrUnreachable}
}

// Call sends a request to a node and waits for its answer. A call to this node
// itself goes straight to Handle. Errors are *verdict.Error: NotRun where
// nothing was sent, else what the node said or MayHaveRun. Where the node gave no
// answer, the reason is Unknown and the cause ErrUnreachable. ctx's deadline goes along
// as the time that is left.
func (m *Mesh) Call(ctx context.Context, to domain.NodeID, request Message) (Message, error) {
	if to == m.options.Self.Node {
		answer, err := m.handle(ctx, to, request)
		if err != nil {
			return nil, verdict.Of(err)
		}
		return answer, nil
	}
	l, err := m.linkTo(ctx, to)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, request)
}

// Send sends a one-way message without waiting. Where too many wait, the oldest is
// dropped. A message to a node that is gone is dropped.
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

// Broadcast sends a one-way message to every other node that is alive. It costs
// one message for each of them, so that it suits small systems and rare news.
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
		m.metrics.dropped.Inc(1)
	}
}

func (m *Mesh) sendFrame(to domain.NodeID, frame []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u, ok := m.table.Lookup(to)
	if !ok || u.Status == membership.Gone {
		m.metrics.dropped.Inc(1)
		return
	}
	r := m.remote(to)
	if l := r.best(); l != nil {
		l.use()
		m.metrics.dropped.Inc(int64(l.out.pushBulk(frame)))
		return
	}
	m.metrics.dropped.Inc(int64(r.waiting.pushBulk(frame)))
	m.startDial(to, r)
}

// linkTo returns a link to a node, dialling it if need be.
func (m *Mesh) linkTo(ctx context.Context, to domain.NodeID) (*link, error) {
	m.mu.Lock()
	u, ok := m.table.Lookup(to)
	if !ok || u.Status == membership.Gone {
		m.mu.Unlock()
		return nil, unreachable("the peer is gone")
	}
	r := m.remote(to)
	if l := r.best(); l != nil {
		m.mu.Unlock()
		return l, nil
	}
	m.startDial(to, r)
	settled := r.settled
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, verdict.Refuse(verdict.DeadlinePassed, "the peer could not be reached in time")
	case <-settled:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := r.best(); l != nil {
		return l, nil
	}
	return nil, unreachable("the peer cannot be reached")
}

func (l *link) use() {
	l.mu.Lock()
	l.usedAt = time.Now()
	l.mu.Unlock()
}

func (l *link) call(ctx context.Context, request Message) (Message, error) {
	var within time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		within = time.Until(deadline)
		if within <= 0 {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "the deadline passed before the peer was asked")
		}
	}
	answer := make(chan Message, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, unreachable("the link to the peer is broken")
	}
	l.next++
	call := l.next
	l.calls[call] = answer
	l.usedAt = time.Now()
	l.mu.Unlock()
	f := wireFrame{Kind: frameRequest, Call: call, WithinMicroseconds: max(within.Microseconds(), 0)}
	if !l.sendUrgent(f, request) {
		l.forget(call)
		return nil, unreachable("the link to the peer is congested or broken")
	}
	return l.await(ctx, call, answer)
}

func (l *link) await(ctx context.Context, call uint64, answer <-chan Message) (Message, error) {
	select {
	case m, ok := <-answer:
		if !ok {
			return nil, verdict.UnknownOutcome(verdict.Unknown, "the link to the peer broke before the answer", ErrUnreachable)
		}
		if f, failed := m.(Failed); failed {
			return nil, fromFailed(f)
		}
		return m, nil
	case <-ctx.Done():
		l.forget(call)
		l.sendUrgent(wireFrame{Kind: frameCancel, Call: call}, nil)
		return nil, verdict.UnknownOutcome(verdict.DeadlinePassed, "the peer did not answer in time", ctx.Err())
	}
}

func (l *link) forget(call uint64) {
	l.mu.Lock()
	delete(l.calls, call)
	l.mu.Unlock()
}

func toFailed(err error) Failed {
	e := verdict.Of(err)
	return Failed{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfter: e.RetryAfter}
}

func fromFailed(f Failed) *verdict.Error {
	return &verdict.Error{Verdict: f.Verdict, Reason: f.Reason, Message: f.Message, RetryAfter: f.RetryAfter}
}
