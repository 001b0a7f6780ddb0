package acceptance

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sample models, all cold at the start; they are those of the built-in
// configuration.
func (s *system) models(n int) []string {
	s.t.Helper()
	o := s.observed()
	var out []string
	for m := range o.Models {
		out = append(out, m)
	}
	if len(out) < n {
		s.t.Fatalf("got %d models in Observed, want at least %d", len(out), n)
	}
	// The order is the same every run: models differ in what one replica batches.
	slices.Sort(out)
	return out[:n]
}

// TestBurstOfColdModels asks for 10 cold models at 7 nodes, 200 callers at once.
func TestBurstOfColdModels(t *testing.T) {
	s := start(t, 7, "--engines", "20")
	models := s.models(10)
	answers := make([]answer, 200)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("burst-%d", i)
			answers[i] = ask(s.nodes[i%7].caller, id, models[i%10], "question "+id+" end", i%2 == 0, 20*time.Second)
		}()
	}
	wait.Wait()
	whole, refused := 0, 0
	reasons := map[string]int{}
	for i, a := range answers {
		want := fmt.Sprintf("question burst-%d end", i)
		switch {
		case a.whole && strings.Contains(a.text, want):
			whole++
		case a.status != 200 && a.verdict == "NotRun" && a.took < 20*time.Second+250*time.Millisecond:
			refused++
			reasons[a.reason+": "+a.text]++
		default:
			t.Errorf("request %d: got %+v, want its own whole answer or a refusal in time", i, a)
		}
	}
	o := s.checkLimits()
	t.Logf("whole %d, refused %d, loads %d, most at once at the weight store %d, log appends %d", whole, refused, o.WeightStore.Loads, o.WeightStore.MostAtOnce, o.LogAppends)
	t.Logf("reasons for refusal: %v", reasons)
	if whole < 190 {
		t.Errorf("got %d whole answers, want at least 190: 20 engines have room for all 10 models", whole)
	}
}

// TestTerminationCutsNothing stops a node while it streams.
func TestTerminationCutsNothing(t *testing.T) {
	s := start(t, 3, "--engines", "4", "--token-interval", "40ms")
	const model = "hymn-order-8b"
	victim := s.nodes[0]
	if a := ask(victim.caller, "warm", model, "warm up", true, 20*time.Second); !a.whole {
		t.Fatalf("got %+v, want a whole answer", a)
	}
	answers := make([]answer, 20)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("stop-%d", i)
			answers[i] = ask(victim.caller, id, model, "question "+id+" end "+strings.Repeat("and more words ", 10), true, 20*time.Second)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if err := victim.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
	slowest := time.Duration(0)
	for _, a := range answers {
		slowest = max(slowest, a.took)
	}
	answered := time.Now()
	for i, a := range answers {
		if want := fmt.Sprintf("question stop-%d end", i); !a.whole || !strings.Contains(a.text, want) {
			t.Errorf("request %d: got %+v, want a whole answer", i, a)
		}
	}
	select {
	case <-victim.exited:
	case <-time.After(20 * time.Second):
		t.Fatal("the node did not exit")
	}
	t.Logf("slowest of %d answers %v, exit %v after the last", len(answers), slowest, time.Since(answered))
	if victim.err != nil {
		t.Errorf("got exit %v, want 0; log:\n%s", victim.err, victim.log)
	}
}
