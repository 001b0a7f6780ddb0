package hub

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/coder/websocket"
	"golang.org/x/time/rate"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/domain"
)

// rateBurstBytes is how many bytes of updates are sent at once to all nodes together.
const rateBurstBytes = 64 << 10

// Hub is an http.Handler that accepts the links of the other nodes while this node
// is the owner. Its fields must not change after the first link.
type Hub struct {
	// OnReport is called with each report that a node sends.
	OnReport func(Report)
	// OnInvalidReport is called when a node sends a report that cannot be decoded, is too long or
	// stops while others wait for its memory, which ends its link. The node is empty if it has sent
	// no valid one. OnInvalidReport may be nil.
	OnInvalidReport func(domain.NodeID, error)
	// OnFirstReport is called with the context of the HTTP request of a link when the node at its
	// other end has sent its first valid report. It may be nil.
	OnFirstReport func(context.Context)
	// Reports bounds the memory of the reports that arrive.
	Reports buffers.Pool
	// AcceptsLinks reports whether this node is the owner now.
	AcceptsLinks func() bool
	// InitialUpdate calls start with the complete state, which a node receives as its first
	// update. No update may be broadcast between the time of that state and the end of start.
	InitialUpdate func(start func(Update))
	// BytesPerSecond bounds the rate of the updates to all nodes together, so that they
	// leave the VM's link free for other messages. It is unbounded if 0.
	BytesPerSecond int

	mu    sync.Mutex
	links map[*nodeLink]bool
	// limiter enforces BytesPerSecond; nil before the first update.
	limiter *rate.Limiter
}

// nodeLink is the owner's end of its link to one node.
type nodeLink struct {
	outbox outbox
	cancel context.CancelFunc
	// node is the node at the other end; empty before its first report.
	node domain.NodeID
}

// LinkCount returns the number of linked nodes.
func (s *Hub) LinkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// Nodes returns the linked nodes that have sent a report.
func (s *Hub) Nodes() []domain.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := make([]domain.NodeID, 0, len(s.links))
	for l := range s.links {
		if l.node != "" {
			nodes = append(nodes, l.node)
		}
	}
	return nodes
}

// ServeHTTP implements http.Handler. It returns when the link ends.
func (s *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.AcceptsLinks() {
		http.Error(w, "this node is not the owner", http.StatusServiceUnavailable)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		// Accept has sent an error response.
		return
	}
	c.SetReadLimit(maximumMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { _ = c.CloseNow() }()
	l := &nodeLink{outbox: outbox{changed: make(chan struct{}, 1)}, cancel: cancel}
	s.InitialUpdate(func(u Update) {
		l.outbox.add(&message{update: u})
		s.add(l)
	})
	defer s.remove(l)
	go s.sendUpdates(ctx, c, l)
	for {
		report, err := s.receive(ctx, c, cancel)
		var broken *linkError
		if errors.As(err, &broken) {
			return
		}
		if err != nil {
			s.reportInvalid(l, err)
			return
		}
		if s.setNode(l, report.Node) && s.OnFirstReport != nil {
			s.OnFirstReport(r.Context())
		}
		s.OnReport(report)
	}
}

// linkError is the end of a link, or of the context, while a report was awaited.
type linkError struct{ cause error }

func (e *linkError) Error() string { return e.cause.Error() }

// receive waits for the next report and returns it. The error is a *linkError unless the report
// cannot be decoded, is too long, or was given up for others, whereupon end is called.
func (s *Hub) receive(ctx context.Context, c *websocket.Conn, end func()) (Report, error) {
	_, r, err := c.Reader(ctx)
	if err != nil {
		return Report{}, &linkError{err}
	}
	b := s.Reports.NewBuffer(end)
	defer b.Release()
	err = b.ReadAll(ctx, r, maximumMessageBytes, 0)
	switch {
	case err == nil:
		return decodeReport(b.Bytes())
	case errors.Is(err, websocket.ErrMessageTooBig), errors.Is(err, buffers.ErrTooLong), errors.Is(err, buffers.ErrStalled):
		return Report{}, err
	}
	return Report{}, &linkError{err}
}

func (s *Hub) add(l *nodeLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[*nodeLink]bool{}
	}
	s.links[l] = true
}

func (s *Hub) remove(l *nodeLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// setNode records the node at the other end of a link. It reports whether it was not known before.
func (s *Hub) setNode(l *nodeLink, n domain.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isFirst := l.node == ""
	l.node = n
	return isFirst
}

func (s *Hub) reportInvalid(l *nodeLink, err error) {
	if s.OnInvalidReport == nil {
		return
	}
	s.mu.Lock()
	n := l.node
	s.mu.Unlock()
	s.OnInvalidReport(n, err)
}

// sendUpdates writes the queued updates to the connection until ctx ends or a write fails. What
// is queued while the rate limit or the connection holds a write back goes out as one message.
func (s *Hub) sendUpdates(ctx context.Context, c *websocket.Conn, l *nodeLink) {
	defer l.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.outbox.changed:
		}
		data, err := l.outbox.take()
		if err != nil {
			return
		}
		if len(data) == 0 {
			continue
		}
		if s.awaitRate(ctx, len(data)) != nil || write(ctx, c, data) != nil {
			return
		}
	}
}

// awaitRate waits until n more bytes may be sent.
func (s *Hub) awaitRate(ctx context.Context, n int) error {
	l := s.rateLimiter()
	if l == nil {
		return nil
	}
	for ; n > 0; n -= rateBurstBytes {
		if err := l.WaitN(ctx, min(n, rateBurstBytes)); err != nil {
			return err
		}
	}
	return nil
}

// rateLimiter returns the limiter, or nil if the rate is not bounded.
func (s *Hub) rateLimiter() *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil && s.BytesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(s.BytesPerSecond), rateBurstBytes)
	}
	return s.limiter
}

// Broadcast queues an update for every linked node.
func (s *Hub) Broadcast(u Update) error {
	m, err := newMessage(u)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.outbox.add(m)
	}
	return nil
}

// Send queues an update for some of the nodes. Those that are not linked do not get it.
func (s *Hub) Send(nodes []domain.NodeID, u Update) error {
	m, err := newMessage(u)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		if slices.Contains(nodes, l.node) {
			l.outbox.add(m)
		}
	}
	return nil
}

// Close drops every link. The Hub may accept new ones afterwards.
func (s *Hub) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.cancel()
	}
}
