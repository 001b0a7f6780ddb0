package fleet

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1_000_000, 0)

func ready(id domain.ServerID, offset domain.Offset) Change {
	return Change{ID: id, Offset: offset, Server: &Server{ID: id, Service: "s", Address: "a", State: Ready}}
}

func gone(id domain.ServerID, offset domain.Offset) Change { return Change{ID: id, Offset: offset} }

func usable(d *Directory, now time.Time) int { return len(d.Usable(now)) }

func TestLeavingServerGetsNothing(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{ready("a", 1), ready("b", 2)})
	leaving := ready("a", 3)
	leaving.Server.State = Draining
	d.Apply(start, []Change{leaving})
	if got, want := usable(&d, start), 1; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
	// The removal of a server that said that it leaves is no lapse.
	d.RecordStoreFailure(start)
	d.Apply(start, []Change{gone("a", 4)})
	if got, want := usable(&d, start), 1; got != want {
		t.Errorf("usable after the removal: got %d, want %d", got, want)
	}
}

func TestRemovedServerIsGoneAtOnceWhileTheStoreIsWell(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{ready("a", 1), ready("b", 2), ready("c", 3), ready("e", 4)})
	d.Apply(start.Add(time.Minute), []Change{gone("a", 5)})
	if got, want := usable(&d, start.Add(time.Minute)), 3; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
}

func TestLapsedServersAreUsedUntilTheyShouldBeBack(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{ready("a", 1), ready("b", 2)})
	back := start.Add(10 * time.Second)
	d.RecordStoreFailure(back)
	d.Apply(back, []Change{gone("a", 3), gone("b", 4)})
	if got, want := usable(&d, back.Add(time.Second)), 2; got != want {
		t.Errorf("a second after the store's return: got %d, want %d", got, want)
	}
	d.Apply(back.Add(time.Second), []Change{ready("a", 5)})
	if got, want := usable(&d, back.Add(2100*time.Millisecond)), 1; got != want {
		t.Errorf("when both should be back: got %d, want %d", got, want)
	}
}

func TestOldChangeIsLeftOut(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{ready("a", 5)})
	d.Apply(start, []Change{gone("a", 4)})
	if got, want := usable(&d, start), 1; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
}

func TestUnusableEntryNamesNoServer(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{{ID: "forged", Offset: 1}})
	if got, want := usable(&d, start), 0; got != want {
		t.Errorf("usable: got %d, want %d", got, want)
	}
}

func TestListingRemovesWhatItLacks(t *testing.T) {
	var d Directory
	d.Apply(start, []Change{ready("a", 1), ready("b", 2), ready("c", 3), ready("late", 9)})
	d.ApplyListing(start.Add(time.Minute), []Change{ready("a", 1), ready("b", 2)}, 5)
	if got, want := usable(&d, start.Add(time.Minute)), 3; got != want {
		t.Errorf("usable: got %d, want a, b and the one that registered after the listing, %d", got, want)
	}
}

func TestLongestPrefixWins(t *testing.T) {
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

func TestSplitGivesEachTargetItsShare(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for random, want := range map[float64]domain.ServiceName{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.PickTarget(random); got != want {
			t.Errorf("%v: got %s, want %s", random, got, want)
		}
	}
}
