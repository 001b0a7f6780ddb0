package entry

import (
	"testing"
	"time"
)

// Guards against requests that wait for a plan or a configuration: each request asks LinkDelay, under
// the lock that these hold.
func TestLinkDelayDoesNotWaitForTheNode(t *testing.T) {
	n := New(Options{})
	n.mu.Lock()
	defer n.mu.Unlock()
	returned := make(chan struct{})
	go func() {
		n.LinkDelay()
		close(returned)
	}()
	select {
	case <-returned:
	case <-time.After(5 * time.Second):
		t.Error("got no result while the lock of the node is held, want one")
	}
}
