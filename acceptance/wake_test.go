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

// models returns the first n models by name of the sample configuration. All are
// cold at the start.
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
	// Models differ in their batch size per replica, so every run must use the same ones.
	slices.Sort(out)
	return out[:n]
}

// TestBurstOfColdModels sends 200 concurrent requests for 10 cold models to 7 nodes.
func TestBurstOfColdModels(t *testing.T) {
	s := start(t, 7, "--engines", "20")
	models := s.models(10)
	responses := make([]response, 200)
	var wait sync.WaitGroup
	for i := range responses {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("burst-%d", i)
			responses[i] = sendChat(s.nodes[i%7].callerAddress, id, models[i%10], "question "+id+" end", i%2 == 0, 20*time.Second)
		}()
	}
	wait.Wait()
	complete, refused := 0, 0
	reasons := map[string]int{}
	for i, a := range responses {
		want := fmt.Sprintf("question burst-%d end", i)
		switch {
		case a.complete && strings.Contains(a.text, want):
			complete++
		case a.status != 200 && a.verdict == "NotRun" && a.latency < 20*time.Second+250*time.Millisecond:
			refused++
			reasons[a.reason+": "+a.text]++
		default:
			t.Errorf("request %d: got %+v, want its own complete response or a refusal before the timeout", i, a)
		}
	}
	o := s.checkLimits()
	t.Logf("complete %d, refused %d, loads %d, at most %d at once from the weight store, log appends %d", complete, refused, o.WeightStore.Loads, o.WeightStore.MostAtOnce, o.LogAppends)
	t.Logf("reasons for refusal: %v", reasons)
	if complete < 190 {
		t.Errorf("got %d complete responses, want at least 190: 20 engines have room for all 10 models", complete)
	}
}

// TestTerminationFinishesOpenStreams sends SIGTERM to a node with streams open. Every stream
// must end complete before the node exits with status 0.
func TestTerminationFinishesOpenStreams(t *testing.T) {
	s := start(t, 3, "--engines", "4", "--token-interval", "40ms")
	const model = "hymn-order-8b"
	victim := s.nodes[0]
	if a := sendChat(victim.callerAddress, "warm", model, "warm up", true, 20*time.Second); !a.complete {
		t.Fatalf("got %+v, want a complete response", a)
	}
	responses := make([]response, 20)
	var wait sync.WaitGroup
	for i := range responses {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("stop-%d", i)
			responses[i] = sendChat(victim.callerAddress, id, model, "question "+id+" end "+strings.Repeat("and more words ", 10), true, 20*time.Second)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if err := victim.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
	slowest := time.Duration(0)
	for _, a := range responses {
		slowest = max(slowest, a.latency)
	}
	lastResponse := time.Now()
	for i, a := range responses {
		if want := fmt.Sprintf("question stop-%d end", i); !a.complete || !strings.Contains(a.text, want) {
			t.Errorf("request %d: got %+v, want a complete response", i, a)
		}
	}
	select {
	case <-victim.exited:
	case <-time.After(20 * time.Second):
		t.Fatal("the node did not exit")
	}
	t.Logf("slowest of %d responses %v, exit %v after the last", len(responses), slowest, time.Since(lastResponse))
	if victim.exitError != nil {
		t.Errorf("got exit %v, want 0; log:\n%s", victim.exitError, victim.log)
	}
}
