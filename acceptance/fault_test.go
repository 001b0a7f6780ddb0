package acceptance

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestKilledNodeRunsNoCommandTwice kills a node that has 50 commands with idempotency
// keys in flight and resends all of them through the other nodes. No command may run
// twice, and every verdict must agree with the runs.
func TestKilledNodeRunsNoCommandTwice(t *testing.T) {
	const commands = 50
	s := start(t, 7, "--engines", "2")
	first := make([]response, commands)
	var wait sync.WaitGroup
	for i := range first {
		wait.Add(1)
		go func() {
			defer wait.Done()
			first[i] = sendBooking(s.nodes[0].callerAddress, fmt.Sprintf("first-%d", i), fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"Frame":%d}`, i), 10*time.Second)
		}()
	}
	time.Sleep(15 * time.Millisecond)
	if err := s.nodes[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	second := make([]response, commands)
	for i := range second {
		wait.Add(1)
		go func() {
			defer wait.Done()
			second[i] = sendBooking(s.nodes[1+i%6].callerAddress, fmt.Sprintf("second-%d", i), fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"Frame":%d}`, i), 10*time.Second)
		}()
	}
	wait.Wait()
	runs := s.observed().Commands
	var complete, unknown, notRun int
	for i := range commands {
		key := fmt.Sprintf("key-%d", i)
		if runs[key] > 1 {
			t.Errorf("command %s: got %d runs, want at most 1", key, runs[key])
		}
		switch {
		case second[i].complete && runs[key] == 1:
			complete++
		case second[i].verdict == "MayHaveRun":
			unknown++
		case second[i].verdict == "NotRun" && (runs[key] == 0 || first[i].complete || first[i].err != nil):
			notRun++
		default:
			t.Errorf("command %s: got %+v after %d runs (first response %+v), want a verdict that agrees with the runs", key, second[i], runs[key], first[i])
		}
	}
	t.Logf("resends: %d complete, %d with unknown outcome, %d not run; %d commands ran", complete, unknown, notRun, len(runs))
}

// awaitOwner waits until an engine has loaded model or is loading it, and returns the
// node that owns the engine.
func (s *system) awaitOwner(model string) *process {
	s.t.Helper()
	var found *process
	waitFor(s.t, 10*time.Second, "a load of "+model, func() bool {
		o := s.observed()
		for url, e := range o.Engines {
			for _, m := range e.Replicas {
				if m == model {
					found = s.findOwner(url)
				}
			}
		}
		return found != nil
	})
	return found
}

// findOwner returns the first node whose log has a LeaseTaken event for the engine at
// url, or nil.
func (s *system) findOwner(url string) *process {
	for i, u := range s.URLs.EngineURLs {
		if u != url {
			continue
		}
		id := fmt.Sprintf(`"Server":"engine-%d"`, i+1)
		for _, p := range s.nodes {
			for _, l := range strings.Split(p.log.String(), "\n") {
				if strings.Contains(l, id) && strings.Contains(l, `"Event":"LeaseTaken"`) {
					return p
				}
			}
		}
	}
	return nil
}

// TestPausedOwnerBreaksNoLimit pauses the owner of an engine that is loading a model,
// for longer than the lease lasts. The resumed node acts on outdated state, and
// neither limits on copies nor on memory may be exceeded, whether or not the engines
// check fencing tokens.
func TestPausedOwnerBreaksNoLimit(t *testing.T) {
	for _, checks := range []string{"all", "none"} {
		t.Run("ChecksFences="+checks, func(t *testing.T) {
			s := start(t, 7, "--engines", "7", "--load-time", "4s", "--checks-fences", checks, "--engine-memory", "40GiB")
			models := s.models(12)
			coldStart := make(chan response, 1)
			go func() {
				coldStart <- sendChat(s.nodes[6].callerAddress, "paused", models[0], "wake", true, 30*time.Second)
			}()
			victim := s.awaitOwner(models[0])
			if err := victim.command.Process.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			var others []*process
			for _, p := range s.nodes {
				if p != victim {
					others = append(others, p)
				}
			}
			responses := make([]response, 48)
			var wait sync.WaitGroup
			for i := range responses {
				wait.Add(1)
				go func() {
					defer wait.Done()
					time.Sleep(time.Duration(i) * 200 * time.Millisecond)
					responses[i] = sendChat(others[i%6].callerAddress, fmt.Sprintf("during-%d", i), models[i%12], fmt.Sprintf("question during-%d end", i), true, 25*time.Second)
				}()
			}
			time.Sleep(8 * time.Second)
			if err := victim.command.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			wait.Wait()
			time.Sleep(2 * time.Second)
			complete, refused := checkResponses(t, responses, "during", 25*time.Second)
			o := s.checkLimits()
			t.Logf("complete %d, refused %d, loads %d, log appends %d", complete, refused, o.WeightStore.Loads, o.LogAppends)
			if complete == 0 {
				t.Error("got no complete response while one of 7 nodes was paused, want most")
			}
		})
	}
}

// checkResponses counts complete responses and refusals before the timeout; anything
// else fails the test.
func checkResponses(t *testing.T, responses []response, prefix string, timeout time.Duration) (complete, refused int) {
	t.Helper()
	for i, a := range responses {
		want := fmt.Sprintf("question %s-%d end", prefix, i)
		switch {
		case a.complete && strings.Contains(a.text, want) && a.verdict == "":
			complete++
		case !a.complete && a.verdict != "" && a.latency < timeout+250*time.Millisecond:
			refused++
		default:
			t.Errorf("request %s-%d: got %+v, want its own complete response or a refusal before the timeout", prefix, i, a)
		}
	}
	return complete, refused
}

// TestLogOutage makes the log unavailable for a minute under load. Requests for
// loaded models must complete, other requests may be refused as NotRun, and every command
// must be refused as NotRun.
func TestLogOutage(t *testing.T) {
	s := start(t, 7, "--engines", "7")
	models := s.models(12)
	for i := range 4 {
		if a := sendChat(s.nodes[0].callerAddress, fmt.Sprintf("warm-%d", i), models[i], "warm up", true, 20*time.Second); !a.complete {
			t.Fatalf("got %+v, want a complete response", a)
		}
	}
	s.setFaults(`{"Log":{"Down":true}}`)
	defer s.setFaults(`{"Log":{"Down":false}}`)
	var complete, refused, commandsSent atomic.Int64
	end := time.Now().Add(60 * time.Second)
	var wait sync.WaitGroup
	for i := range 28 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("outage-%d-%d", i, n)
				model := models[(i+n)%len(models)]
				a := sendChat(s.nodes[i%7].callerAddress, id, model, "question "+id+" end", true, 5*time.Second)
				switch {
				case a.complete && strings.Contains(a.text, "question "+id+" end"):
					complete.Add(1)
				case a.verdict == "NotRun" && a.latency < 5*time.Second+250*time.Millisecond:
					refused.Add(1)
				default:
					t.Errorf("request %s for %s: got %+v, want a complete response or NotRun before the timeout", id, model, a)
				}
				if (i+n)%len(models) < 4 && !a.complete {
					t.Errorf("request %s for loaded model %s: got %+v, want a complete response", id, model, a)
				}
				b := sendBooking(s.nodes[i%7].callerAddress, "book-"+id, "key-"+id, `{}`, 2*time.Second)
				if b.verdict != "NotRun" || b.latency > 2*time.Second+250*time.Millisecond {
					t.Errorf("command key-%s: got %+v, want NotRun before the timeout", id, b)
				}
				commandsSent.Add(1)
			}
		}()
	}
	wait.Wait()
	s.setFaults(`{"Log":{"Down":false}}`)
	time.Sleep(5 * time.Second)
	o := s.checkLimits()
	for k, n := range o.Commands {
		t.Errorf("command %s: got %d runs, want none: every response was NotRun", k, n)
	}
	t.Logf("complete %d, refused %d, commands refused %d", complete.Load(), refused.Load(), commandsSent.Load())
	if a := sendBooking(s.nodes[0].callerAddress, "after", "key-after", `{}`, 10*time.Second); !a.complete {
		t.Errorf("got %+v after the outage, want a complete response", a)
	}
}
