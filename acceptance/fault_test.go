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

// TestKilledNodeRunsNoCommandTwice kills a node with 50 keyed commands in flight
// and resends all of them at the other nodes.
func TestKilledNodeRunsNoCommandTwice(t *testing.T) {
	const commands = 50
	s := start(t, 7, "--engines", "2")
	first := make([]answer, commands)
	var wait sync.WaitGroup
	for i := range first {
		wait.Add(1)
		go func() {
			defer wait.Done()
			first[i] = book(s.nodes[0].caller, fmt.Sprintf("first-%d", i), fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"Frame":%d}`, i), 10*time.Second)
		}()
	}
	time.Sleep(15 * time.Millisecond)
	if err := s.nodes[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	second := make([]answer, commands)
	for i := range second {
		wait.Add(1)
		go func() {
			defer wait.Done()
			second[i] = book(s.nodes[1+i%6].caller, fmt.Sprintf("second-%d", i), fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"Frame":%d}`, i), 10*time.Second)
		}()
	}
	wait.Wait()
	ran := s.observed().Commands
	var whole, doubt, notRun int
	for i := range commands {
		key := fmt.Sprintf("key-%d", i)
		if ran[key] > 1 {
			t.Errorf("command %s: got %d runs, want at most 1", key, ran[key])
		}
		switch {
		case second[i].whole && ran[key] == 1:
			whole++
		case second[i].verdict == "MayHaveRun":
			doubt++
		case second[i].verdict == "NotRun" && (ran[key] == 0 || first[i].whole || first[i].err != nil):
			notRun++
		default:
			t.Errorf("command %s: got %+v after %d runs (first answer %+v), want a true verdict", key, second[i], ran[key], first[i])
		}
	}
	t.Logf("resends: %d answered, %d in doubt, %d not run; %d commands ran", whole, doubt, notRun, len(ran))
}

// owner returns the node whose log says that it last took the lease of an engine
// that has, or is loading, model.
func (s *system) owner(model string) *process {
	s.t.Helper()
	var found *process
	await(s.t, 10*time.Second, "a load of "+model, func() bool {
		o := s.observed()
		for url, e := range o.Engines {
			for _, m := range e.Replicas {
				if m == model {
					found = s.ownerOf(url)
				}
			}
		}
		return found != nil
	})
	return found
}

// ownerOf finds the owner of an engine by its URL.
func (s *system) ownerOf(url string) *process {
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

// TestPausedOwnerBreaksNoLimit stops a node that owns an engine whose model is
// loading, and continues it after the lease was taken over.
func TestPausedOwnerBreaksNoLimit(t *testing.T) {
	for _, checks := range []string{"all", "none"} {
		t.Run("ChecksFences="+checks, func(t *testing.T) {
			s := start(t, 7, "--engines", "7", "--load-time", "4s", "--checks-fences", checks, "--engine-memory", "40GiB")
			models := s.models(12)
			asked := make(chan answer, 1)
			go func() { asked <- ask(s.nodes[6].caller, "paused", models[0], "wake", true, 30*time.Second) }()
			victim := s.owner(models[0])
			if err := victim.command.Process.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			var others []*process
			for _, p := range s.nodes {
				if p != victim {
					others = append(others, p)
				}
			}
			answers := make([]answer, 48)
			var wait sync.WaitGroup
			for i := range answers {
				wait.Add(1)
				go func() {
					defer wait.Done()
					time.Sleep(time.Duration(i) * 200 * time.Millisecond)
					answers[i] = ask(others[i%6].caller, fmt.Sprintf("during-%d", i), models[i%12], fmt.Sprintf("question during-%d end", i), true, 25*time.Second)
				}()
			}
			time.Sleep(8 * time.Second)
			if err := victim.command.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			wait.Wait()
			time.Sleep(2 * time.Second)
			whole, refused := checkAnswers(t, answers, "during", 25*time.Second)
			o := s.checkLimits()
			t.Logf("whole %d, refused %d, loads %d, log appends %d", whole, refused, o.WeightStore.Loads, o.LogAppends)
			if whole == 0 {
				t.Error("got no whole answer while one of 7 nodes was paused, want most")
			}
		})
	}
}

// checkAnswers counts whole answers and timely refusals; anything else fails.
func checkAnswers(t *testing.T, answers []answer, prefix string, timeout time.Duration) (whole, refused int) {
	t.Helper()
	for i, a := range answers {
		want := fmt.Sprintf("question %s-%d end", prefix, i)
		switch {
		case a.whole && strings.Contains(a.text, want) && a.verdict == "":
			whole++
		case !a.whole && a.verdict != "" && a.took < timeout+250*time.Millisecond:
			refused++
		default:
			t.Errorf("request %s-%d: got %+v, want its own whole answer or a refusal in time", prefix, i, a)
		}
	}
	return whole, refused
}

// TestLogOutage takes the log away for a minute during a burst.
func TestLogOutage(t *testing.T) {
	s := start(t, 7, "--engines", "7")
	models := s.models(12)
	for i := range 4 {
		if a := ask(s.nodes[0].caller, fmt.Sprintf("warm-%d", i), models[i], "warm up", true, 20*time.Second); !a.whole {
			t.Fatalf("got %+v, want a whole answer", a)
		}
	}
	s.fault(`{"Log":{"Down":true}}`)
	defer s.fault(`{"Log":{"Down":false}}`)
	var warm, refused, booked atomic.Int64
	end := time.Now().Add(60 * time.Second)
	var wait sync.WaitGroup
	for i := range 28 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("outage-%d-%d", i, n)
				model := models[(i+n)%len(models)]
				a := ask(s.nodes[i%7].caller, id, model, "question "+id+" end", true, 5*time.Second)
				switch {
				case a.whole && strings.Contains(a.text, "question "+id+" end"):
					warm.Add(1)
				case a.verdict == "NotRun" && a.took < 5*time.Second+250*time.Millisecond:
					refused.Add(1)
				default:
					t.Errorf("request %s for %s: got %+v, want a whole answer or NotRun in time", id, model, a)
				}
				if (i+n)%len(models) < 4 && !a.whole {
					t.Errorf("request %s for loaded model %s: got %+v, want a whole answer", id, model, a)
				}
				b := book(s.nodes[i%7].caller, "book-"+id, "key-"+id, `{}`, 2*time.Second)
				if b.verdict != "NotRun" || b.took > 2*time.Second+250*time.Millisecond {
					t.Errorf("command key-%s: got %+v, want NotRun in time", id, b)
				}
				booked.Add(1)
			}
		}()
	}
	wait.Wait()
	s.fault(`{"Log":{"Down":false}}`)
	time.Sleep(5 * time.Second)
	o := s.checkLimits()
	for k, n := range o.Commands {
		t.Errorf("command %s: got %d runs, want none: every answer said NotRun", k, n)
	}
	t.Logf("whole %d, refused %d, commands refused %d", warm.Load(), refused.Load(), booked.Load())
	if a := book(s.nodes[0].caller, "after", "key-after", `{}`, 10*time.Second); !a.whole {
		t.Errorf("got %+v after the outage, want an answer", a)
	}
}
