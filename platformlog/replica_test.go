package platformlog

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

func taken(server domain.ServerID, owner domain.NodeID, expect domain.Fence) fold.LeaseTaken {
	return fold.LeaseTaken{Server: server, Owner: owner, Expect: expect,
		Facts: fold.ServerFacts{Memory: 100 * domain.Gibibyte, Region: "r", Zone: "z"}}
}

// TestFaultLostAnswersApplyOnce holds that a proposal takes effect exactly once
// while appends are lost before and after they took effect.
func TestFaultLostAnswersApplyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(1)
		l.loseBefore, l.loseAfter, l.refuse = 0.2, 0.3, 0.2
		r := start(t, ctx, l, "a", nil)
		for i := range 30 {
			got, err := r.Propose(ctx, taken(domain.ServerID(fmt.Sprint("s", i)), "a", 0))
			if err != nil {
				t.Fatal(err)
			}
			if got[0].Rejection != fold.Accepted {
				t.Errorf("proposal %d: got %v, want Accepted", i, got[0].Rejection)
			}
		}
	})
}

// TestFaultConfigurationReachesEveryNode holds that an accepted operator record is
// in force at every node within 3 s.
func TestFaultConfigurationReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(2)
		l.loseAfter = 0.3
		var nodes []*Replica
		for i := range 3 {
			delay := func() time.Duration { return time.Duration(i) * 500 * time.Millisecond }
			nodes = append(nodes, start(t, ctx, l, domain.NodeID(fmt.Sprint("n", i)), func(o *Options) { o.ImportDelay = delay }))
		}
		time.Sleep(time.Second)
		raw, _ := json.Marshal(configuration.Record{Model: &configuration.Model{Name: "m", Copies: 2, Memory: 1}})
		at, err := nodes[2].AppendConfiguration(ctx, raw)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		for i, r := range nodes {
			r.View(func(s *fold.State) {
				if got := s.ConfigurationOffset(); got != at {
					t.Errorf("node %d: got configuration %d, want %d", i, got, at)
				}
				if got, _ := s.ConfigurationResult(at); got != fold.Accepted {
					t.Errorf("node %d: got %v, want Accepted", i, got)
				}
			})
		}
	})
}
