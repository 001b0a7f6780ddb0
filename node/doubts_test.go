package node

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

func TestDoubtAgeIsZeroAfterDoubtIsCleared(t *testing.T) {
	var c doubtClock
	start := time.Unix(0, 0)
	leases := map[domain.ServerID]fold.Lease{"s": {Server: "s", Doubts: []fold.Doubt{{Fence: 3}}}}
	c.observe(leases, start)
	c.observe(leases, start.Add(time.Minute))
	if got, want := c.age("s", 3, start.Add(2*time.Minute)), 2*time.Minute; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	c.observe(nil, start.Add(3*time.Minute))
	if got, want := c.age("s", 3, start.Add(4*time.Minute)), time.Duration(0); got != want {
		t.Errorf("after it was cleared: got %s, want %s", got, want)
	}
}
