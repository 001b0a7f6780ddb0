package serverload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an estimate whose terms cannot be explained, and against a wait where a slot is
// free.
func TestEstimateIsTheSumOfItsTerms(t *testing.T) {
	var table Table
	table.Record(start, 1, Report{Running: 24, Waiting: 5, Slots: 24, Pace: 1.6})
	table.Record(start, 2, Report{Running: 23, Slots: 24, Pace: 1})
	r := &Request{Service: testService, Prompt: 1000}
	full, free := table.State(start, 1, testService, 24), table.State(start, 2, testService, 24)
	e := table.Estimate(full, r, 0, 2*time.Millisecond)
	if got, want := table.Wait(full, testService), 400*time.Millisecond; got != want {
		t.Errorf("wait behind 5 requests and for a slot at 1 s a request and pace 1.6: got %v, want %v", got, want)
	}
	if got, want := e.Queue, 640*time.Millisecond; got != want {
		t.Errorf("queue term: got %v, want the wait and 240 ms beside a full batch, %v", got, want)
	}
	if got, want := e.Prefill, 80*time.Millisecond; got != want {
		t.Errorf("prefill of 1,000 tokens at 20 a millisecond and pace 1.6: got %v, want %v", got, want)
	}
	if got, want := e.Total(), e.Queue+e.Prefill+e.Distance; got != want {
		t.Errorf("total: got %v, want %v", got, want)
	}
	if got := table.Wait(free, testService); got != 0 {
		t.Errorf("wait at a server with a free slot: got %v, want 0", got)
	}
	if got, want := table.Estimate(free, r, 800, 0).Prefill, 10*time.Millisecond; got != want {
		t.Errorf("prefill with 800 of 1,000 tokens cached: got %v, want %v", got, want)
	}
}

// Pattern: prompts of different sizes at servers that read 40 tokens a millisecond. Guards against a
// rate that stays at its initial value, or that follows a few samples.
func TestPrefillRateIsLearned(t *testing.T) {
	var table Table
	random := rand.New(rand.NewPCG(1, 1))
	record := func(n int) float64 {
		for range n {
			tokens := 600 + random.IntN(900)
			took := 30 + float64(tokens)/40 + 10*random.Float64()
			table.RecordFirstEvent(start, 1, testService, 0, 0)
			table.service(testService).prefill.add(float64(tokens), took)
		}
		return table.service(testService).prefill.rate()
	}
	if got := record(2); got < 17 || got > 25 {
		t.Errorf("rate after 2 samples: got %.1f, want about the initial 20", got)
	}
	if got := record(300); got < 33 || got > 45 {
		t.Errorf("rate after 300 samples: got %.1f, want about 40", got)
	}
}

// Pattern: herding of 87 nodes that all have the same view of three servers, one of which is emptier
// than the others. Guards against all nodes sending it their next request.
func TestNodesWithOneViewChooseDifferentServers(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	running := []int{4, 8, 8}
	chosen := make([]int, len(running))
	for range 87 {
		var table Table
		var draw Draw
		r := &Request{Service: testService}
		for i, n := range running {
			table.Record(start, Key(i), Report{Running: n, Slots: 24, Pace: 1})
			s := table.State(start, Key(i), testService, 24)
			draw.Consider(&Candidate{Index: i, Weight: s.FreeCapacity(r), Estimate: table.Estimate(s, r, 0, 0)}, random.Float64())
		}
		choice, _, ok := draw.Choose(0)
		if !ok {
			t.Fatal("got no server")
		}
		chosen[choice.Index]++
	}
	for i, n := range chosen {
		if n > 87*3/4 || n < 5 {
			t.Errorf("server %d: got %d of 87 requests, want some at each server and not nearly all at one", i, n)
		}
	}
	t.Logf("requests by server: %v", chosen)
}

// Guards against a choice of a server without room, or that failed the request, while another is
// left, however the estimates and weights are.
func TestTheLowestRankIsChosen(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for n := range 200 {
		var draw Draw
		for i := range 6 {
			rank, e := 3, Estimate{}
			if i == n%6 {
				rank, e = 1, Estimate{Queue: time.Second}
			}
			draw.Consider(&Candidate{Index: i, Rank: rank, Weight: 1 + 9*float64(rank), Estimate: e, Cached: 100, MayPreferCache: true}, random.Float64())
		}
		if c, _, _ := draw.Choose(0); c.Index != n%6 {
			t.Fatalf("got server %d, want %d, the only one of the lowest rank", c.Index, n%6)
		}
	}
	if _, _, ok := (&Draw{}).Choose(0); ok {
		t.Error("a draw without servers: got one, want none")
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 90} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			for i := range n {
				table.Record(start, Key(i), Report{Running: i % 24, Slots: 24, Pace: 1})
			}
			r := &Request{Service: testService, Prompt: 1000, Size: 1100, CacheTokens: 100_000}
			b.ReportAllocs()
			for b.Loop() {
				var draw Draw
				for i := range n {
					s := table.State(start, Key(i), testService, 24)
					draw.Consider(&Candidate{Index: i, Weight: s.FreeCapacity(r), Estimate: table.Estimate(s, r, 0, 0)}, rand.Float64())
				}
				_, _, _ = draw.Choose(0)
			}
		})
	}
}
