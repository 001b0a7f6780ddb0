package hub

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// Path is where the owner takes links.
	Path = "/link"
	// writeTimeout bounds one message; a link that cannot take it is dropped.
	writeTimeout = 2 * time.Second
	dialTimeout  = 1500 * time.Millisecond
	// updatesQueued bounds the updates that wait for a slow node; beyond it the
	// link is dropped, and the node gets everything anew.
	updatesQueued = 64
)

// Hub takes the links of the other nodes while this node is the owner.
type Hub struct {
	// Reported is called for each report.
	Reported func(Report)
	// Accepts tells whether this node is the owner now.
	Accepts func() bool
	// Joined returns everything that a node that has just linked must know.
	Joined func() Update

	mu    sync.Mutex
	links map[*serverLink]bool
}

type serverLink struct {
	updates chan []byte
	cancel  context.CancelFunc
}

// Nodes is how many nodes are linked.
func (s *Hub) Nodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// ServeHTTP implements http.Handler.
func (s *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Accepts() {
		http.Error(w, "this node is not the owner", http.StatusServiceUnavailable)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		// Accept has answered the request.
		return
	}
	c.SetReadLimit(maximumMessage)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { _ = c.CloseNow() }()
	l := &serverLink{updates: make(chan []byte, updatesQueued), cancel: cancel}
	if first, err := encodeUpdate(s.Joined()); err == nil {
		l.updates <- first
	}
	s.add(l)
	defer s.remove(l)
	go l.write(ctx, c)
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			return
		}
		report, err := decodeReport(data)
		if err != nil {
			return
		}
		s.Reported(report)
	}
}

func (s *Hub) add(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[*serverLink]bool{}
	}
	s.links[l] = true
}

func (s *Hub) remove(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

func (l *serverLink) write(ctx context.Context, c *websocket.Conn) {
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

func write(ctx context.Context, c *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

// Broadcast sends an update to every linked node.
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

// Close drops every link.
func (s *Hub) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.cancel()
	}
}

// Link is a node's link to the owner.
type Link struct {
	conn *websocket.Conn
}

// Dial links to the owner at an address of the form IP:PORT.
func Dial(ctx context.Context, dialer *net.Dialer, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
	c, answer, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled})
	if answer != nil && answer.Body != nil {
		_ = answer.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "link to the owner")
	}
	c.SetReadLimit(maximumMessage)
	return &Link{conn: c}, nil
}

// Send sends a report.
func (l *Link) Send(ctx context.Context, r Report) error {
	data, err := encodeReport(r)
	if err != nil {
		return err
	}
	return errors.WithStack(write(ctx, l.conn, data))
}

// Receive waits for the next update.
func (l *Link) Receive(ctx context.Context) (Update, error) {
	_, data, err := l.conn.Read(ctx)
	if err != nil {
		return Update{}, errors.WithStack(err)
	}
	return decodeUpdate(data)
}

// Close drops the link.
func (l *Link) Close() { _ = l.conn.CloseNow() }
