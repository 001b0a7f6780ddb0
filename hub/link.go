package hub

import (
	"context"
	"net"
	"net/http"
	"slices"
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
	// probeTimeout bounds the time in which a node must respond to count as running.
	probeTimeout = 500 * time.Millisecond
)

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

// Link is a node's end of its link to the owner.
type Link struct {
	conn *websocket.Conn
}

// Dialer opens connections. A *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial links to the owner at an address of the form IP:PORT.
func Dial(ctx context.Context, dialer Dialer, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
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

// Responds reports whether a node responds at an address of the form IP:PORT, also if it is
// not the owner.
func Responds(ctx context.Context, dialer Dialer, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}
