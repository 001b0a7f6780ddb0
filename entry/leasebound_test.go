package entry

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/lease"
)

// boundOptions are those of a deployment whose servers check no fencing tokens.
var boundOptions = Options{FirstOrderDelay: 700 * time.Millisecond, LeaseBound: 3 * time.Second}

// boundDelay is the time between the grant and the first order with boundOptions.
const boundDelay = 2500*time.Millisecond/2 + 700*time.Millisecond

// Guards against ONE: where servers check no fencing tokens, a new owner ordered 0.6 s after its
// grant, while the previous one could still order. Also guards against a new owner that uses that time for nothing, or orders by the engine
// states of its beginning, which orders of the previous owner may have changed since.
func TestNewOwnerWaitsForTheOrdersOfThePreviousOne(t *testing.T) {
	runWith(t, boundOptions, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(time.Second)
		addWaitingRequest(n)
		n.mu.Lock()
		states, fence := len(n.planner.Snapshot()), n.fence
		n.mu.Unlock()
		if states != 1 || fence == 0 {
			t.Errorf("got %d engine states and fencing token %d soon after the grant, want 1 and 4", states, fence)
		}
		time.Sleep(boundDelay - 1100*time.Millisecond)
		if got, want := p.orderCount(), 0; got != want {
			t.Errorf("orders in the settle time: got %d, want %d", got, want)
		}
		p.update(func() { p.engineState.Sequence = 8 })
		addWaitingRequest(n)
		time.Sleep(500 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		if got, want := len(p.orders), 1; got != want {
			t.Fatalf("orders after the settle time: got %d, want %d", got, want)
		}
		if got, want := p.orders[0].ExpectedSequence, uint64(8); got != want {
			t.Errorf("expected sequence of the first order: got %d, want %d, which the previous owner left", got, want)
		}
	})
}

// Guards against ONE: two reassignments 1.5 s apart made two nodes order an engine by turns. The
// first owner waits until LeaseBound has passed since its last order, and the other one must not have
// ordered.
func TestReassignmentsOfAShard(t *testing.T) {
	for name, test := range map[string]struct {
		held, away, heldAgain bool
		wantLater             int
	}{
		"first owner, away for 1.5 s": {held: true, heldAgain: true, wantLater: 1},
		"other node, owner for 1.5 s": {away: true, wantLater: 0},
	} {
		runWith(t, boundOptions, func(n *Node, p *fakePlatform, _ *clock) {
			generation := lease.Generation(4)
			assign := func(own bool) {
				generation++
				p.update(func() {
					p.generation, p.shards = generation, nil
					if own {
						p.shards = []lease.Shard{ownedShard}
					}
				})
			}
			assign(test.held)
			time.Sleep(8 * time.Second)
			assign(test.away)
			time.Sleep(time.Second)
			if test.away {
				addWaitingRequest(n)
			}
			time.Sleep(500 * time.Millisecond)
			assign(test.heldAgain)
			if test.held {
				addWaitingRequest(n)
			}
			time.Sleep(1500 * time.Millisecond)
			if got, want := p.orderCount(), 0; got != want {
				t.Errorf("%s: got %d orders within LeaseBound, want %d", name, got, want)
			}
			if test.held {
				addWaitingRequest(n)
			}
			time.Sleep(3 * time.Second)
			if got := p.orderCount(); got != test.wantLater {
				t.Errorf("%s: got %d orders later, want %d", name, got, test.wantLater)
			}
		})
	}
}
