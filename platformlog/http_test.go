package platformlog

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/standin"
)

// TestFaultLostResponsesOverHTTP runs three replicas against the stand-in of the log over
// HTTP. It checks that proposals are accepted and operator records reach every node while
// 30% of the appends lose their response.
func TestFaultLostResponsesOverHTTP(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	group, err := standin.Start(ctx, standin.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer group.Close()
	response, err := http.Post(group.ControlURL+"/Faults", "application/json", strings.NewReader(`{"Log":{"LoseAnswers":0.3}}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	var nodes []*Replica
	for i := range 3 {
		r, err := New(Options{Log: &Client{URL: group.LogURL}, Records: operatorRecordCodec, Node: domain.NodeID(fmt.Sprint("n", i)),
			RankDelay: func() time.Duration { return time.Duration(i) * 300 * time.Millisecond }})
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = r.Run(ctx) }()
		nodes = append(nodes, r)
	}
	for i := range 15 {
		got, err := nodes[i%3].Propose(ctx, leaseTaken(domain.ServerID(fmt.Sprint("s", i))))
		if err != nil || got[0].Rejection != fold.Accepted {
			t.Fatalf("proposal %d: got %v, %v, want Accepted", i, got, err)
		}
	}
	var slowest time.Duration
	for i := range 5 {
		startedAt := time.Now()
		at, err := nodes[i%3].AppendConfiguration(ctx, operatorRecord(t, domain.ReplicaCount(i+1)))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range nodes {
			waitForConfiguration(ctx, t, r, at)
		}
		slowest = max(slowest, time.Since(startedAt))
	}
	t.Logf("slowest of 5 changes: %v until in force at 3 nodes", slowest)
}

// waitForConfiguration waits until r has imported the operator record with offset at.
func waitForConfiguration(ctx context.Context, t *testing.T, r *Replica, at domain.Offset) {
	t.Helper()
	for {
		changed := r.Changed()
		if r.configurationOffset() >= at {
			return
		}
		if !pause.For(ctx, time.Second, changed) {
			t.Fatalf("configuration %d is not in force", at)
		}
	}
}
