package fleet

import "testing"

// TestRankOrdersWorkspacesBeforeRoutes guards against a less urgent workspace that is served
// before a more urgent one because of the priorities of their routes.
func TestRankOrdersWorkspacesBeforeRoutes(t *testing.T) {
	c := &Configuration{
		Workspaces: []Workspace{{Name: "high", Priority: 1}, {Name: "low", Priority: 4}},
		Routes:     []Route{{Name: "a", Priority: 0}, {Name: "b", Priority: 2}},
	}
	c.Index()
	high, low := &c.Workspaces[0], &c.Workspaces[1]
	a, b := &c.Routes[0], &c.Routes[1]
	got := []int{c.Rank(nil, a), c.Rank(high, a), c.Rank(high, b), c.Rank(low, a), c.Rank(low, b)}
	want := []int{0, 0, 1, 2, 3}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got ranks %v, want %v", got, want)
			break
		}
	}
}

// TestRankWithoutWorkspacesIsTheRoutePriority guards against a change for configurations without
// workspaces, and against a rank outside 0 to 9.
func TestRankWithoutWorkspacesIsTheRoutePriority(t *testing.T) {
	c := &Configuration{}
	c.Index()
	for priority, want := range map[int]int{-1: 0, 0: 0, 3: 3, 9: 9, 40: 9} {
		if got := c.Rank(nil, &Route{Priority: priority}); got != want {
			t.Errorf("priority %d: got rank %d, want %d", priority, got, want)
		}
	}
}

// TestRankOfManyPriorities guards against ranks beyond 9 where a configuration has many pairs of
// priorities.
func TestRankOfManyPriorities(t *testing.T) {
	c := &Configuration{}
	for i := range 8 {
		c.Workspaces = append(c.Workspaces, Workspace{Priority: i})
		c.Routes = append(c.Routes, Route{Priority: i})
	}
	c.Index()
	last := 0
	for i := range c.Workspaces {
		for j := range c.Routes {
			got := c.Rank(&c.Workspaces[i], &c.Routes[j])
			if got < last || got > 9 {
				t.Fatalf("workspace %d, route %d: got rank %d after %d, want an ascending rank up to 9", i, j, got, last)
			}
			last = got
		}
	}
	if last != 9 {
		t.Errorf("got %d as the last rank, want 9", last)
	}
}

// TestRemovedKeys guards against a key that moves to another workspace and counts as removed, and
// against keys that count as removed where none are needed any more.
func TestRemovedKeys(t *testing.T) {
	a, b, c := HashKey("a"), HashKey("b"), HashKey("c")
	old := &Configuration{Workspaces: []Workspace{{Name: "x", Keys: []KeyHash{a, b}}, {Name: "y", Keys: []KeyHash{c}}}}
	next := &Configuration{Workspaces: []Workspace{{Name: "z", Keys: []KeyHash{c, a}}}}
	none := &Configuration{}
	for _, configuration := range []*Configuration{old, next, none} {
		configuration.Index()
	}
	if got := old.RemovedKeys(next); len(got) != 1 || got[0] != b {
		t.Errorf("got %x, want the key b", got)
	}
	if got := old.RemovedKeys(none); len(got) != 0 {
		t.Errorf("without workspaces: got %x, want none", got)
	}
}

// BenchmarkRemovedKeys measures the comparison of two versions with 5,000 keys.
func BenchmarkRemovedKeys(b *testing.B) {
	old, next := &Configuration{Workspaces: make([]Workspace, 1)}, &Configuration{Workspaces: make([]Workspace, 1)}
	for i := range 5000 {
		old.Workspaces[0].Keys = append(old.Workspaces[0].Keys, HashKey(string(rune(i))))
		next.Workspaces[0].Keys = append(next.Workspaces[0].Keys, HashKey(string(rune(i+1))))
	}
	old.Index()
	next.Index()
	for b.Loop() {
		if got, want := len(old.RemovedKeys(next)), 1; got != want {
			b.Fatalf("got %d removed keys, want %d", got, want)
		}
	}
}
