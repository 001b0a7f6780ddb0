package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Many nodes send few requests each to replicas of one model: none knows what the
// others send, and all see the same servers.
func TestManyNodesSpreadOverServersThatLookAlike(t *testing.T) {
	const nodes, servers = 72, 6
	var list []*fleet.Server
	for i := range servers {
		list = append(list, &fleet.Server{ID: domain.ServerID(fmt.Sprint("i", i)), Service: "engines", Slots: 12, Zone: "z"})
	}
	now := time.Now()
	sent := map[domain.ServerID]int{}
	for range nodes {
		c := &chooser{}
		for range 2 {
			s, _ := c.choose(now, place{zone: "z"}, list, "", nil)
			sent[s.ID]++
		}
	}
	mean := 2 * nodes / servers
	for id, n := range sent {
		if n > 2*mean {
			t.Errorf("server %s: got %d requests, want %d at most, twice the mean", id, n, 2*mean)
		}
	}
	if got, want := len(sent), servers; got != want {
		t.Errorf("servers used: got %d, want %d", got, want)
	}
}
