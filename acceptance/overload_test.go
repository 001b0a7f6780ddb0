package acceptance

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// slotsPerReplica is the number of requests that a stand-in engine batches.
const slotsPerReplica = 16

// modelWithCopies returns the first model by name that is permitted n copies.
func (s *system) modelWithCopies(n int) string {
	found := ""
	for name, m := range s.observed().Models {
		if m.Copies == n && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

// TestOverload sends 7 nodes three times the request rate that the loaded replicas of a
// model can serve. It measures goodput and the latency of refusals for 20 s, after 8 s in
// which queues and hold times settle.
func TestOverload(t *testing.T) {
	const (
		settle   = 8 * time.Second
		measured = 20 * time.Second
		prompt   = "question to be answered with some more words than one or two"
	)
	s := start(t, 7, "--engines", "4", "--token-interval", "60ms")
	model := s.modelWithCopies(2)
	if a := sendChat(s.nodes[0].callerAddress, "cold", model, prompt, true, 20*time.Second); !a.complete {
		t.Fatalf("got %+v, want a complete response", a)
	}
	warm := sendChat(s.nodes[0].callerAddress, "warm", model, prompt, true, 20*time.Second)
	if !warm.complete {
		t.Fatalf("got %+v, want a complete response", warm)
	}
	copies := s.observed().Models[model].Copies
	capacity := float64(copies*slotsPerReplica) / warm.latency.Seconds()
	interval := time.Duration(float64(time.Second) / (3 * capacity))
	begin := time.Now()
	from, to := begin.Add(settle), begin.Add(settle+measured)
	var mu sync.Mutex
	var refusals []time.Duration
	completed := 0
	reasons := map[string]int{}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(to); n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			timeout := 2*warm.latency + time.Duration(n%5)*time.Second
			a := sendChat(s.nodes[n%7].callerAddress, fmt.Sprintf("overload-%d", n), model, prompt, true, timeout)
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if a.latency > timeout+250*time.Millisecond {
				t.Errorf("request %d: got a response after %v, want at most %v and 250 ms", n, a.latency, timeout)
			}
			if now.Before(from) || now.After(to) {
				return
			}
			if a.complete {
				completed++
				return
			}
			reasons[a.verdict+" "+a.reason]++
			refusals = append(refusals, a.latency)
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * interval)))
	}
	wait.Wait()
	o := s.checkLimits()
	loaded := o.Models[model].MostLoaded
	ratio := float64(completed) / (capacity * measured.Seconds())
	slices.Sort(refusals)
	p95 := refusals[len(refusals)*95/100]
	t.Logf("response time %v, %d of %d copies, capacity %.1f/s: goodput %.3f, %d refused %v, 95th percentile %v", warm.latency, loaded, copies, capacity, ratio, len(refusals), reasons, p95)
	if want := 0.95; ratio < want {
		t.Errorf("got goodput %.3f of capacity, want at least %v", ratio, want)
	}
	if want := 100 * time.Millisecond; p95 > want {
		t.Errorf("got refusals after %v at the 95th percentile, want at most %v", p95, want)
	}
}
