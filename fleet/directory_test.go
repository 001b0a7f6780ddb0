package fleet

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1_000_000, 0)

func readyChange(id domain.ServerID, offset domain.Offset) Change {
	return Change{ID: id, Offset: offset, Server: &Server{ID: id, Service: "s", Address: "a", State: Ready}}
}

func removalChange(id domain.ServerID, offset domain.Offset) Change {
	return Change{ID: id, Offset: offset}
}

func countUsable(d *Directory, now time.Time) int { return len(d.Usable(now)) }

func TestDrainingServerIsNotUsable(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2)})
	drainingChange := readyChange("a", 3)
	drainingChange.Server.State = Draining
	d.Apply(start, []Change{drainingChange})
	if got, want := countUsable(&d, start), 1; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
	// A store outage does not explain the removal of a draining server.
	d.RecordStoreFailure(start)
	d.Apply(start, []Change{removalChange("a", 4)})
	if got, want := countUsable(&d, start), 1; got != want {
		t.Errorf("usable after the removal: got %d, want %d", got, want)
	}
}

func TestRemovedServerIsUnusableAtOnceWithoutStoreOutage(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2), readyChange("c", 3), readyChange("e", 4)})
	d.Apply(start.Add(time.Minute), []Change{removalChange("a", 5)})
	if got, want := countUsable(&d, start.Add(time.Minute)), 3; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
}

func TestServersLostInStoreOutageStayUsableForReregistrationWindow(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2)})
	outageEnd := start.Add(10 * time.Second)
	d.RecordStoreFailure(outageEnd)
	d.Apply(outageEnd, []Change{removalChange("a", 3), removalChange("b", 4)})
	if got, want := countUsable(&d, outageEnd.Add(time.Second)), 2; got != want {
		t.Errorf("one second after the outage: got %d, want %d", got, want)
	}
	d.Apply(outageEnd.Add(time.Second), []Change{readyChange("a", 5)})
	if got, want := countUsable(&d, outageEnd.Add(2100*time.Millisecond)), 1; got != want {
		t.Errorf("after the reregistration window: got %d, want %d", got, want)
	}
}

func TestChangeWithOlderOffsetIsIgnored(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 5)})
	d.Apply(start, []Change{removalChange("a", 4)})
	if got, want := countUsable(&d, start), 1; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
}

func TestInvalidRegistrationAddsNoServer(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{{ID: "forged", Offset: 1}})
	if got, want := countUsable(&d, start), 0; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
}

func TestListingRemovesMissingServers(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2), readyChange("c", 3), readyChange("late", 9)})
	d.ApplyListing(start.Add(time.Minute), []Change{readyChange("a", 1), readyChange("b", 2)}, 5)
	if got, want := countUsable(&d, start.Add(time.Minute)), 3; got != want {
		t.Errorf("usable: got %d, want a, b and the one that registered after the listing, %d", got, want)
	}
}

func TestMatchPicksLongestPrefix(t *testing.T) {
	c := &Configuration{Routes: []Route{{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}}}
	c.Index()
	for path, want := range map[string]RouteName{"/a/b/c": "long", "/a/x": "short", "/a": "", "/b/": ""} {
		got := RouteName("")
		if r := c.Match("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: got %q, want %q", path, got, want)
		}
	}
}

func TestPickTargetFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for random, want := range map[float64]domain.ServiceName{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.PickTarget(random); got != want {
			t.Errorf("%v: got %s, want %s", random, got, want)
		}
	}
}

// Guards against DRAIN: a quarter of the servers drained and was removed, and as it was gone a second
// quarter was removed without draining. The directory took both for an outage of the store and kept
// the second one.
func TestRemovalOfDrainedServersIsNoOutage(t *testing.T) {
	var d Directory
	ids := []domain.ServerID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	offset := domain.Offset(0)
	apply := func(at time.Duration, change func(domain.ServerID, domain.Offset) Change, ids ...domain.ServerID) {
		for _, id := range ids {
			offset++
			d.Apply(start.Add(at), []Change{change(id, offset)})
		}
	}
	apply(0, readyChange, ids...)
	apply(time.Second, func(id domain.ServerID, o domain.Offset) Change {
		c := readyChange(id, o)
		c.Server.State = Draining
		return c
	}, ids[:3]...)
	apply(4*time.Second, removalChange, ids[:3]...)
	apply(4100*time.Millisecond, removalChange, ids[3:6]...)
	if got, want := countUsable(&d, start.Add(4100*time.Millisecond)), 6; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
	// The rest is gone at once, after a failed call to the store.
	d.RecordStoreFailure(start.Add(9 * time.Second))
	d.RecordStoreSuccess(start.Add(10 * time.Second))
	apply(10*time.Second, removalChange, ids[6:]...)
	if got, want := countUsable(&d, start.Add(10*time.Second)), 6; got != want {
		t.Errorf("usable after an outage: got %d, want %d", got, want)
	}
}

// Guards against DRAIN: two of three servers were replaced one after the other, and servers crashed as
// others left. Their removals counted as an outage of the store, though no call had failed, and requests
// reached them later than their drain bound. So did a zone that was drained at once.
func TestManyRemovalsAreNoOutage(t *testing.T) {
	for name, removals := range map[string]map[domain.ServerID]time.Duration{
		"one after the other":                {"a": 0, "b": time.Second, "c": 1900 * time.Millisecond},
		"a zone at once":                     {"a": 0, "b": 0, "c": 0},
		"crashes beside servers that leave":  {"a": 0, "b": 100 * time.Millisecond, "c": 1900 * time.Millisecond, "d": 2 * time.Second},
		"all but one, in the shortest time":  {"a": 0, "b": 0, "c": 0, "d": 0, "e": 0},
		"all, since the service was stopped": {"a": 0, "b": 0, "c": 0, "d": 0, "e": 0, "f": 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := Directory{DoubtWindow: time.Second}
			for i, id := range []domain.ServerID{"a", "b", "c", "d", "e", "f"} {
				d.Apply(start, []Change{readyChange(id, domain.Offset(i+1))})
			}
			left, offset := 6, domain.Offset(10)
			for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
				for id, removedAt := range removals {
					if removedAt == at {
						offset++
						left--
						d.Apply(start.Add(at), []Change{removalChange(id, offset)})
					}
				}
				if got := countUsable(&d, start.Add(at)); got != left {
					t.Fatalf("after %v: got %d usable, want %d", at, got, left)
				}
			}
		})
	}
}

// Pattern: the store is away, the last call fails, and the next succeeds up to a pause between calls after its return. All servers
// need reregistrationWindow from then on.
func TestOutageLastsUntilACallSucceeds(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2)})
	d.RecordStoreFailure(start)
	const pause = 800 * time.Millisecond
	back := start.Add(pause)
	d.RecordStoreSuccess(back)
	d.Apply(back, []Change{removalChange("a", 3), removalChange("b", 4)})
	if got, want := countUsable(&d, back.Add(reregistrationWindow-time.Millisecond)), 2; got != want {
		t.Errorf("in the window: got %d usable, want %d", got, want)
	}
	d.RecordStoreSuccess(back.Add(time.Second))
	if got, want := countUsable(&d, back.Add(reregistrationWindow)), 0; got != want {
		t.Errorf("after the window: got %d usable, want %d", got, want)
	}
}

// Guards against DRAIN: a server that had left long before was used again as a call to the store failed.
func TestOutageBringsNoEarlierRemovalBack(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2)})
	d.Apply(start, []Change{removalChange("a", 3)})
	failedAt := start.Add(5 * time.Second)
	d.RecordStoreFailure(failedAt)
	d.RecordStoreFailure(failedAt.Add(time.Second))
	if got, want := countUsable(&d, failedAt.Add(time.Second)), 1; got != want {
		t.Errorf("got %d usable, want %d", got, want)
	}
}

// Pattern: the store turns some machines away, and the servers are among them. Other nodes saw it. The removed
// servers stay usable, but not past the drain bound that they may have.
func TestServersStayUsableWhileTheStoreIsAwayForOthers(t *testing.T) {
	for name, age := range map[string]time.Duration{"before the removal": time.Second, "after it": -200 * time.Millisecond} {
		d := Directory{DoubtWindow: 900 * time.Millisecond}
		d.Apply(start, []Change{readyChange("a", 1), readyChange("b", 2)})
		d.Apply(start, []Change{removalChange("a", 3), removalChange("b", 4)})
		d.RecordStoreDoubt(start.Add(-age))
		d.RecordStoreDoubt(start.Add(-age - time.Second))
		if got, want := countUsable(&d, start.Add(d.DoubtWindow-time.Millisecond)), 2; got != want {
			t.Errorf("%s: got %d usable, want %d", name, got, want)
		}
		if got, want := countUsable(&d, start.Add(d.DoubtWindow)), 0; got != want {
			t.Errorf("%s, after the window: got %d usable, want %d", name, got, want)
		}
	}
}
