package acceptance

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// slotsPerReplica is what an engine of the stand-ins batches at once.
const slotsPerReplica = 16

// modelWithCopies returns the first model by name that has a number of copies.
func (s *system) modelWithCopies(n int) string {
	found := ""
	for name, m := range s.observed().Models {
		if m.Copies == n && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

// TestOverload sends three times what a model's loaded replicas can answer to 7
// nodes for 20 s, after 8 s in which queues and hold times settle.
func TestOverload(t *testing.T) {
	const (
		settle   = 8 * time.Second
		measured = 20 * time.Second
		prompt   = "question to be answered with some more words than one or two"
	)
	s := start(t, 7, "--engines", "4", "--token-interval", "60ms")
	model := s.modelWithCopies(2)
	if a := ask(s.nodes[0].caller, "cold", model, prompt, true, 20*time.Second); !a.whole {
		t.Fatalf("got %+v, want a whole answer", a)
	}
	warm := ask(s.nodes[0].caller, "warm", model, prompt, true, 20*time.Second)
	if !warm.whole {
		t.Fatalf("got %+v, want a whole answer", warm)
	}
	copies := s.observed().Models[model].Copies
	capacity := float64(copies*slotsPerReplica) / warm.took.Seconds()
	pace := time.Duration(float64(time.Second) / (3 * capacity))
	begin := time.Now()
	from, to := begin.Add(settle), begin.Add(settle+measured)
	var mu sync.Mutex
	var refusals []time.Duration
	good := 0
	reasons := map[string]int{}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(to); n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			timeout := 2*warm.took + time.Duration(n%5)*time.Second
			a := ask(s.nodes[n%7].caller, fmt.Sprintf("overload-%d", n), model, prompt, true, timeout)
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if a.took > timeout+250*time.Millisecond {
				t.Errorf("request %d: got an end after %v, want at most %v and 250 ms", n, a.took, timeout)
			}
			if now.Before(from) || now.After(to) {
				return
			}
			if a.whole {
				good++
				return
			}
			reasons[a.verdict+" "+a.reason]++
			refusals = append(refusals, a.took)
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * pace)))
	}
	wait.Wait()
	o := s.checkLimits()
	loaded := o.Models[model].MostLoaded
	ratio := float64(good) / (capacity * measured.Seconds())
	slices.Sort(refusals)
	p95 := refusals[len(refusals)*95/100]
	t.Logf("answer %v, %d of %d copies, capacity %.1f/s: goodput %.3f, %d refused %v, 95th percentile %v", warm.took, loaded, copies, capacity, ratio, len(refusals), reasons, p95)
	if want := 0.95; ratio < want {
		t.Errorf("got goodput %.3f of capacity, want %v", ratio, want)
	}
	if want := 100 * time.Millisecond; p95 > want {
		t.Errorf("got refusals after %v at the 95th percentile, want %v", p95, want)
	}
}
