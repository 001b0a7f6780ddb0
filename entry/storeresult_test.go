package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// removeServers removes the registrations of some servers, as when they expire.
func (f *testFleet) removeServers(ids []domain.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.registrationOffset++
		f.changes = append(f.changes, fleet.Change{ID: id, Offset: f.registrationOffset - 1})
	}
}

// usableAt returns the number of usable servers at a node.
func usableAt(n *testNode) int { return len(n.Views.Get().Servers["s"]) }

// Guards against DRAIN and against the loss of an outage: the registrations of half of the servers expire. If the store was
// away for one of the nodes, the others keep these servers for a while, but not past their drain bound; if no call has
// failed, they drop them as soon as they read it.
func TestRemovedServersAreKeptOnlyIfTheStoreWasAway(t *testing.T) {
	for _, wasAway := range []bool{false, true} {
		t.Run(fmt.Sprintf("away for one node %t", wasAway), func(t *testing.T) {
			runFleet(t, 4, 0, func(f *testFleet) {
				engines := len(f.engines)
				away := f.nodes[slices.IndexFunc(f.nodes, func(n *testNode) bool { return !n.isOwner() })]
				away.isCut.Store(wasAway)
				// A call of that node fails.
				time.Sleep(2500 * time.Millisecond)
				f.removeServers(slices.Sorted(mapsKeys(f.engines))[:engines/2])
				removedAt := time.Now()
				keptUntil := map[*testNode]time.Duration{}
				for time.Since(removedAt) < 6*time.Second {
					for _, n := range f.nodes {
						if usableAt(n) == engines {
							keptUntil[n] = time.Since(removedAt)
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				for _, n := range f.nodes {
					readWithin := n.RegistrationsInterval + 200*time.Millisecond
					switch kept := keptUntil[n]; {
					case n == away:
					case !wasAway && kept > readWithin:
						t.Errorf("%s kept the servers for %v, want %v at most", n.Name, kept, readWithin)
					case wasAway && (kept > n.DrainBound || kept < n.directory.DoubtWindow):
						t.Errorf("%s kept the servers for %v, want %v to %v", n.Name, kept, n.directory.DoubtWindow, n.DrainBound)
					}
				}
			})
		})
	}
}

// rejectedCall is a call that the store has answered with an error.
type rejectedCall struct{ isUnavailable, isRateLimit bool }

func (rejectedCall) Error() string         { return "rejected" }
func (e rejectedCall) IsUnavailable() bool { return e.isUnavailable }
func (e rejectedCall) IsRateLimit() bool   { return e.isRateLimit }

// Guards against DRAIN: a call that the store rejected, such as one with an old generation, counted as an
// outage of the store, and servers that had left were used for two seconds more.
func TestOnlyCallsWithoutTheStoreAreEvidenceOfAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		err                   error
		isFailure, isDoubtful bool
	}{
		"no response":       {err: errStore, isFailure: true},
		"store unavailable": {err: errors.WithStack(rejectedCall{isUnavailable: true}), isFailure: true},
		"too many calls":    {err: errors.WithStack(rejectedCall{isRateLimit: true}), isDoubtful: true},
		"rejected":          {err: errors.WithStack(rejectedCall{})},
		"success":           {},
	} {
		n := New(Options{RegistrationsInterval: time.Second, DrainBound: 3 * time.Second})
		now := time.Unix(1_000_000, 0)
		n.recordStoreEvidence(now, c.err)
		if got := n.directory.StoreFailedAt().Equal(now); got != c.isFailure {
			t.Errorf("%s: got failure %v, want %v", name, got, c.isFailure)
		}
		if got := n.directory.StoreDoubtedAt().Equal(now); got != c.isDoubtful {
			t.Errorf("%s: got doubt %v, want %v", name, got, c.isDoubtful)
		}
	}
}
