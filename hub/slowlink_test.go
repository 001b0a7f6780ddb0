package hub

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/standin"
)

// slowConn delivers at most 4 KiB each 100 ms.
type slowConn struct{ net.Conn }

func (c slowConn) Read(buffer []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Read(buffer[:min(len(buffer), 4<<10)])
}

// slowDialer opens slow connections to a listener.
type slowDialer struct{ listener *standin.PipeListener }

func (d slowDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	c, err := d.listener.Dial(ctx)
	return slowConn{c}, err
}

// Guards against a node that never links: the complete state took longer to send than one
// write may take, the link was dropped, and the next one began with the complete state again.
func TestLinkSurvivesACompleteStateThatTakesLongToSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := Update{NodeCount: 3}
		for i := range 5000 {
			state.Servers = append(state.Servers, ServerState{ID: domain.ServerID(fmt.Sprintf("i-%08d", i)), EngineState: fleet.EngineState{StartedAtMs: 5, Models: []fleet.LoadedModel{{Model: "model"}}}})
		}
		h := &Hub{OnReport: func(Report) {}, AcceptsLinks: func() bool { return true }, InitialUpdate: func(start func(Update)) { start(state) }}
		l := standin.NewPipeListener()
		server := &http.Server{Handler: h}
		go func() { _ = server.Serve(l) }()
		start := time.Now()
		link, err := Dial(t.Context(), slowDialer{l}, "owner:1")
		if err != nil {
			t.Fatal(err)
		}
		u, err := link.Receive(t.Context())
		if err != nil {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
		if got, want := len(u.Servers), 5000; got != want {
			t.Errorf("servers: got %d, want %d", got, want)
		}
		if got, want := time.Since(start), writeTimeout; got <= want {
			t.Errorf("the state arrived after %v, want a test that takes longer than %v", got, want)
		}
		link.Close()
		h.Close()
		l.End()
		_ = server.Close()
		time.Sleep(10 * time.Second)
	})
}
