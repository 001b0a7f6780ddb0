package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

const testRate = 1000

var testLimit = Limit{Workspace: "w", Rate: testRate, Burst: testRate}

// ask returns a report that asks for one amount.
func ask(amount float64) Report {
	return Report{Uses: []Use{{Workspace: "w", Asks: []Ask{{ID: 1, Amount: amount}}}}}
}

// newTestLedger returns a ledger with a full bucket and a number of linked nodes, the owner "a"
// included.
func newTestLedger(nodes int) *Ledger {
	now := time.Duration(0)
	l := NewLedger(now, simTerms, "a", nodes)
	l.Configure(now, nil)
	l.Configure(now, []Limit{testLimit})
	for i := 1; i < nodes; i++ {
		l.Record(now, domain.NodeID(rune('a'+i)), Report{Joins: true})
	}
	l.pools["w"].level = l.pools["w"].capacity
	return l
}

// Guards against a request that can never run: one that is larger than the burst passes when the
// bucket is full, and leaves it in debt.
func TestRequestLargerThanTheBurst(t *testing.T) {
	l := newTestLedger(1)
	if a := l.Take(0, "w", 1500); !a.Granted {
		t.Fatalf("got %+v from a full bucket, want a grant", a)
	}
	a := l.Take(0, "w", 1500)
	if a.Granted || a.Unknown {
		t.Fatalf("got %+v from an empty bucket, want a refusal", a)
	}
	if a := l.Take(a.RetryAfter+time.Millisecond, "w", 1500); !a.Granted {
		t.Errorf("got %+v after the time to try again, want a grant", a)
	}
}

// Guards against a window beyond the bound by a few requests that are much larger than the burst.
func TestRequestLargerThanTheBound(t *testing.T) {
	l := newTestLedger(1)
	if a := l.Take(0, "w", simTerms.Bound(testLimit)*1.01); a.Granted {
		t.Error("a request beyond the bound of a window was granted")
	}
}

// Guards against a bucket that nodes share with the number of nodes of which one is lost: the share
// of a lost node stays its own, until it joins again with what is left.
func TestShareOfALostNode(t *testing.T) {
	l := newTestLedger(4)
	capacity := l.pools["w"].capacity
	l.Forget(0, "b")
	if got, want := l.pools["w"].level, capacity*3/4; got != want {
		t.Errorf("got level %v without a node, want %v", got, want)
	}
	l.Advance(10 * time.Second)
	l.Record(10*time.Second, "c", Report{})
	if got := l.pools["w"].level; got > capacity*3/4 {
		t.Errorf("got level %v while a node is lost, want %v at most", got, capacity*3/4)
	}
	before := l.pools["w"].level
	l.Record(10*time.Second, "b", Report{Joins: true, Uses: []Use{{Workspace: "w", Share: 50}}})
	if got := l.pools["w"].level; got != before+50 {
		t.Errorf("got level %v after the node has joined with 50, want %v", got, before+50)
	}
}

// Guards against a lost share that is held back for ever: after ten minutes the node counts no more.
func TestLostShareExpires(t *testing.T) {
	l := newTestLedger(2)
	l.Forget(0, "b")
	for now := time.Duration(0); now <= lostShareLifetime+time.Second; now += time.Second {
		l.Advance(now)
	}
	if got := l.Nodes(); got != 1 {
		t.Errorf("got %d nodes, want 1", got)
	}
}

// Guards against a node that is silent but linked and counts as linked for ever.
func TestSilentNodeIsLost(t *testing.T) {
	l := newTestLedger(2)
	for now := time.Duration(0); now <= silenceLimit+time.Second; now += 100 * time.Millisecond {
		l.Advance(now)
	}
	if got := l.Linked(); len(got) != 0 {
		t.Errorf("got %v as linked after a silence, want none", got)
	}
	reply := l.Reply(4*time.Second, "b", Report{}, l.Record(4*time.Second, "b", Report{}))
	if !reply.Rejoins {
		t.Error("a lost node that reports again is not asked to join")
	}
}

// Guards against a new owner that grants more than its own share before the others have linked.
func TestNewOwnerStartsWithItsShare(t *testing.T) {
	l := NewLedger(0, simTerms, "a", 10)
	l.Configure(0, []Limit{testLimit})
	l.Record(0, "a", Report{Joins: true, Uses: []Use{{Workspace: "w", Share: 1e6}}})
	if got, want := l.pools["w"].level, l.pools["w"].capacity/10; got > want {
		t.Errorf("got level %v, want %v at most", got, want)
	}
	if a := l.Take(0, "w", testRate); a.Granted || !a.Unknown {
		t.Errorf("got %+v for a request that the shares of the others may have room for, want it not known", a)
	}
}

// Guards against an owner that was suspended and refills the bucket for that time, in which the other
// nodes used their shares.
func TestOwnerWasSuspended(t *testing.T) {
	l := newTestLedger(10)
	l.pools["w"].level = 0
	l.Advance(time.Minute)
	if got, want := l.pools["w"].level, l.pools["w"].capacity/10; got > want {
		t.Errorf("got level %v, want %v at most, the share of the owner", got, want)
	}
}

// Guards against a quota that a lowered limit blocks for what was used before.
func TestLoweredLimitForgetsFormerUse(t *testing.T) {
	l := newTestLedger(1)
	for range 8 {
		l.Record(0, "a", Report{Uses: []Use{{Workspace: "w", Used: testRate}}})
	}
	low := Limit{Workspace: "w", Rate: 10, Burst: 10}
	l.Configure(0, []Limit{low})
	if a := l.Take(time.Second, "w", 10); !a.Granted {
		t.Errorf("got %+v a second after the limit was lowered, want a grant", a)
	}
	if a := l.Take(time.Second, "w", 10); a.Granted {
		t.Error("a second request within the lowered limit's second was granted")
	}
}

// Guards against buckets that give more than the quota: for any sequence of links, losses, reports and
// asks, what the ledger grants in a window stays under the bound.
func TestGrantsStayUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 5).Draw(t, "nodes")
		l := newTestLedger(nodes)
		now := time.Duration(0)
		var runs []simRun
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			node := domain.NodeID(rune('a' + rapid.IntRange(0, nodes-1).Draw(t, "node")))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				l.Forget(now, node)
			case 1:
				l.Record(now, node, Report{Joins: true})
			default:
				amount := float64(rapid.IntRange(1, 2500).Draw(t, "amount"))
				for _, a := range l.Record(now, node, ask(amount)) {
					if a.Granted {
						runs = append(runs, simRun{now, amount})
					}
				}
			}
		}
		w := simWorkspace{limit: testLimit, runs: runs}
		if got := w.worstWindow(simTerms); got > 1 {
			t.Fatalf("the worst window is %.3f of the bound", got)
		}
	})
}
