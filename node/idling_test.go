package node

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/waking"
)

// TestRecordUseFeedsKeepAlivePolicy checks the number of requests that recordUse reports to
// the keep-alive policy: none at the first poll of a new owner, and the increase of the served
// count at each later poll. A decrease of that count, which follows a restart of the engine,
// still counts as a use.
func TestRecordUseFeedsKeepAlivePolicy(t *testing.T) {
	d := &Deps{KeepAlivePolicy: &waking.Policy{}}
	c := &serverController{deps: d, lastUsedAt: make(map[domain.ModelName]time.Time), servedRequests: make(map[domain.ModelName]uint64)}
	now := time.Date(2026, 9, 7, 9, 0, 0, 0, time.UTC)
	c.recordUse(engine.Replica{Model: "m", Served: 1000}, now)
	if got, want := d.KeepAlivePolicy.ExpectedWaiters("m", time.Minute), 1.0; got != want {
		t.Errorf("got %v callers from requests before the first poll, want %v", got, want)
	}
	for i := range 4 {
		now = now.Add(time.Hour)
		c.recordUse(engine.Replica{Model: "m", Served: uint64(1021 + 21*i)}, now)
	}
	if got, want := d.KeepAlivePolicy.ExpectedWaiters("m", time.Minute), 11.0; got != want {
		t.Errorf("got %v callers after bursts of 21, want %v", got, want)
	}
	now = now.Add(time.Minute)
	c.recordUse(engine.Replica{Model: "m", Served: 3}, now)
	if got, want := c.lastUsedAt["m"], now; !got.Equal(want) {
		t.Errorf("got last use at %v after a restart of the engine, want %v", got, want)
	}
}
