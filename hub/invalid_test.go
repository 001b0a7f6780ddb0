package hub

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"

	"github.com/parsleylug/parsleylug/domain"
)

// A report that cannot be decoded or is too long ends its link with a reason and is not applied; the
// other links stay.
func TestInvalidReportEndsItsLink(t *testing.T) {
	for name, data := range map[string][]byte{"not CBOR": {0xff, 0xff}, "too long": bytes.Repeat([]byte{0x80}, maximumMessageBytes+1)} {
		synctest.Test(t, func(t *testing.T) {
			// mu guards what the hub's goroutines write below.
			var mu sync.Mutex
			var reasons []error
			var from domain.NodeID
			applied := 0
			h := &Hub{
				OnReport: func(Report) {
					mu.Lock()
					defer mu.Unlock()
					applied++
				},
				OnInvalidReport: func(n domain.NodeID, err error) {
					mu.Lock()
					defer mu.Unlock()
					from, reasons = n, append(reasons, err)
				},
			}
			n := newTestNetwork(h, Update{NodeCount: 1})
			bad, good := n.link(t, "bad", fastLink), n.link(t, "good", fastLink)
			time.Sleep(time.Second)
			_ = bad.conn.Write(t.Context(), websocket.MessageBinary, data)
			time.Sleep(3 * time.Second)
			mu.Lock()
			if len(reasons) != 1 || from != "bad" || applied != 2 {
				t.Errorf("%s: got the reasons %v from %q and %d reports applied, want one from bad and 2", name, reasons, from, applied)
			}
			mu.Unlock()
			if got, want := h.LinkCount(), 1; got != want {
				t.Errorf("%s: links: got %d, want %d", name, got, want)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if _, err := good.Receive(ctx); err != nil {
				t.Errorf("%s: the other link: %v", name, err)
			}
			cancel()
			n.close()
		})
	}
}
