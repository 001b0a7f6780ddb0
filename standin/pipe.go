package standin

import (
	"context"
	"net"
)

// PipeListener accepts connections that are made in memory, so that a test can pause and
// advance the time of both ends. Create it with NewPipeListener.
type PipeListener struct{ connections chan net.Conn }

// NewPipeListener returns a listener without connections.
func NewPipeListener() *PipeListener { return &PipeListener{make(chan net.Conn)} }

// Dial returns the near end of a new connection, once Accept has returned the far end.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.connections <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// End makes Accept fail. Dial must not be called afterwards.
func (l *PipeListener) End() { close(l.connections) }

// Accept implements net.Listener.
func (l *PipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.connections
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener. It does not end Accept; End does.
func (l *PipeListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *PipeListener) Addr() net.Addr { return &net.TCPAddr{} }
