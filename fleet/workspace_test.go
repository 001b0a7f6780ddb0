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
