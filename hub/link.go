package hub

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// Path is the URL path at which the owner accepts links.
	Path = "/link"
	// writeTimeout bounds the write of one part of a message. The link is dropped if
	// the write takes longer.
	writeTimeout = 2 * time.Second
	// writePartBytes is the size of the parts in which a message is written.
	writePartBytes = 16 << 10
	dialTimeout    = 1500 * time.Millisecond
	// updateQueueLength bounds the updates queued for a slow node. When the queue is
	// full the link is dropped, and the node receives the complete state when it
	// links again.
	updateQueueLength = 64
)

// Hub is an http.Handler that accepts the links of the other nodes while this node
// is the owner.
type Hub struct {
	// OnReport is called with each report that a node sends.
	OnReport func(Report)
	// AcceptsLinks reports whether this node is the owner now.
	AcceptsLinks func() bool
	// InitialUpdate returns the complete state, which a node receives as its first
	// update.
	InitialUpdate func() Update

	mu    sync.Mutex
	links map[*nodeLink]bool
}

// nodeLink is the owner's end of its link to one node.
type nodeLink struct {
	updates chan []byte
	cancel  context.CancelFunc
}

// LinkCount returns the number of linked nodes.
func (s *Hub) LinkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
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
	l := &nodeLink{updates: make(chan []byte, updateQueueLength), cancel: cancel}
	if initialData, err := encodeUpdate(s.InitialUpdate()); err == nil {
		l.updates <- initialData
	}
	s.add(l)
	defer s.remove(l)
	go l.sendQueuedUpdates(ctx, c)
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			return
		}
		report, err := decodeReport(data)
		if err != nil {
			return
		}
		s.OnReport(report)
	}
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

// sendQueuedUpdates writes the queued updates to the connection until ctx ends or
// a write fails.
func (l *nodeLink) sendQueuedUpdates(ctx context.Context, c *websocket.Conn) {
	defer l.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.updates:
			if err := write(ctx, c, data); err != nil {
				return
			}
		}
	}
}

// write writes one message in parts. It fails if the connection takes no part for
// writeTimeout, but not while it makes progress: the complete state of many servers takes
// long on a slow link, and a link that is dropped for it starts with the complete state again.
func write(ctx context.Context, c *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(writeTimeout, cancel)
	defer timer.Stop()
	if len(data) <= writePartBytes {
		return c.Write(ctx, websocket.MessageBinary, data)
	}
	w, err := c.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for part := range slices.Chunk(data, writePartBytes) {
		if _, err := w.Write(part); err != nil {
			return err
		}
		timer.Reset(writeTimeout)
	}
	return w.Close()
}

// Broadcast queues an update for every linked node and drops the links whose queue
// is full.
func (s *Hub) Broadcast(u Update) error {
	data, err := encodeUpdate(u)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		select {
		case l.updates <- data:
		default:
			l.cancel()
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

// Link is a node's end of its link to the owner.
type Link struct {
	conn *websocket.Conn
}

// Dial links to the owner at an address of the form IP:PORT.
func Dial(ctx context.Context, dialer *net.Dialer, address string) (*Link, error) {
	return dial(ctx, dialer.DialContext, address)
}

func dial(ctx context.Context, dialContext func(ctx context.Context, network, address string) (net.Conn, error), address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: dialContext, DisableCompression: true}}
	c, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial the owner")
	}
	c.SetReadLimit(maximumMessageBytes)
	return &Link{conn: c}, nil
}

// Send sends a report. It fails if the connection takes nothing for writeTimeout.
func (l *Link) Send(ctx context.Context, r Report) error {
	data, err := encodeReport(r)
	if err != nil {
		return err
	}
	return errors.WithStack(write(ctx, l.conn, data))
}

// Receive waits for the next update and returns it.
func (l *Link) Receive(ctx context.Context) (Update, error) {
	_, data, err := l.conn.Read(ctx)
	if err != nil {
		return Update{}, errors.WithStack(err)
	}
	return decodeUpdate(data)
}

// Close drops the link without a closing handshake.
func (l *Link) Close() { _ = l.conn.CloseNow() }
