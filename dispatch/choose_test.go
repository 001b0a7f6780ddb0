package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Many nodes each send a few requests to replicas of one model. No node sees the others'
// requests and all see the same servers; without random costs they would all choose the
// same one.
func TestManyNodesSpreadLoadOverEqualServers(t *testing.T) {
	const nodes, servers = 72, 6
	var list []*fleet.Server
	for i := range servers {
		list = append(list, &fleet.Server{ID: domain.ServerID(fmt.Sprint("i", i)), Service: "engines", Slots: 12, Zone: "z"})
	}
	now := time.Now()
	requests := map[domain.ServerID]int{}
	for range nodes {
		c := &chooser{}
		for range 2 {
			s, _ := c.choose(now, location{zone: "z"}, list, &Request{}, nil)
			requests[s.ID]++
		}
	}
	mean := 2 * nodes / servers
	for id, n := range requests {
		if n > 2*mean {
			t.Errorf("server %s: got %d requests, want %d at most, twice the mean", id, n, 2*mean)
		}
	}
	if got, want := len(requests), servers; got != want {
		t.Errorf("servers used: got %d, want %d", got, want)
	}
}

// A node has measured the response time of the nearby server only. If it assumed a
// response time of zero for the other servers, it would send requests to another region.
func TestServersWithoutMeasuredDelayAreNotPreferred(t *testing.T) {
	now := time.Now()
	near := &fleet.Server{ID: "near", Service: "engines", Slots: 12, Zone: "z"}
	list := []*fleet.Server{near}
	for i := range 4 {
		list = append(list, &fleet.Server{ID: domain.ServerID(fmt.Sprint("far", i)), Service: "engines", Slots: 12, Zone: "y"})
	}
	c := &chooser{}
	c.recordResponse(now, near, &Request{}, 120*time.Millisecond, Load{})
	for range 20 {
		s, _ := c.choose(now.Add(time.Second), location{zone: "z", regions: map[domain.Zone]domain.Region{"z": "r", "y": "q"}}, list, &Request{}, nil)
		c.release(s, &Request{})
		if s != near {
			t.Fatalf("got server %s in another region, want the nearby one", s.ID)
		}
	}
}
