package acceptance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// status is the part of the administration API's status that the tests read.
type status struct {
	Log   struct{ Up bool }
	Nodes []struct {
		Node          string
		Alive         bool
		Leases        int
		Configuration uint64
	}
	Servers []struct{ Server, Kind, Owner string }
}

func (s *system) status(p *process) (out status, ok bool) {
	r, err := http.Get("http://" + p.admin + "/admin/v1/status")
	if err != nil {
		return out, false
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return out, false
	}
	return out, json.NewDecoder(r.Body).Decode(&out) == nil
}

// ownersFirst sorts the nodes so that those with most leases come first.
func (s *system) ownersFirst() {
	s.t.Helper()
	leases := make(map[string]int)
	await(s.t, 10*time.Second, "every engine to have an owner", func() bool {
		st, ok := s.status(s.nodes[0])
		clear(leases)
		owned := 0
		for _, v := range st.Servers {
			if owner, _, found := strings.Cut(v.Owner, "@"); found && v.Kind == "Engine" {
				leases[owner]++
				owned++
			}
		}
		return ok && owned == len(s.URLs.EngineURLs)
	})
	slices.SortStableFunc(s.nodes, func(a, b *process) int { return leases[b.peer] - leases[a.peer] })
	s.t.Logf("leases by node: %v", leases)
}

// load keeps callers busy until stop is closed and counts what they got.
type load struct {
	whole, refused, broken atomic.Int64
	slowest                atomic.Int64
	wait                   sync.WaitGroup
	once                   sync.Once
	stop                   chan struct{}
}

func (s *system) load(nodes []*process, models []string, callers int, timeout time.Duration) *load {
	l := &load{stop: make(chan struct{})}
	for i := range callers {
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				id := fmt.Sprintf("load-%d-%d", i, n)
				a := ask(nodes[i%len(nodes)].caller, id, models[(i+n)%len(models)], "question "+id+" end", true, timeout)
				l.count(s.t, id, a, timeout)
			}
		}()
	}
	return l
}

func (l *load) count(t *testing.T, id string, a answer, timeout time.Duration) {
	switch {
	case a.whole && strings.Contains(a.text, "question "+id+" end"):
		l.whole.Add(1)
	case a.verdict != "" && a.took < timeout+250*time.Millisecond:
		l.refused.Add(1)
		t.Logf("request %s: %s %s %s after %v", id, a.verdict, a.reason, a.text, a.took)
	default:
		l.broken.Add(1)
		t.Errorf("request %s: got %+v, want its own whole answer or a refusal in time", id, a)
	}
	l.slowest.Store(max(l.slowest.Load(), int64(a.took)))
}

// end stops the callers; it may be called more than once.
func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.wait.Wait()
}

// TestKilledNodesLoseTheirRoles kills one and then four of eight nodes under load.
func TestKilledNodesLoseTheirRoles(t *testing.T) {
	for _, kill := range []int{1, 4} {
		t.Run(fmt.Sprintf("Kill=%d", kill), func(t *testing.T) {
			s := start(t, 8, "--engines", "16")
			models := s.models(12)
			s.ownersFirst()
			survivors := s.nodes[kill:]
			l := s.load(survivors, models, 16, 20*time.Second)
			t.Cleanup(l.end)
			time.Sleep(5 * time.Second)
			for _, p := range s.nodes[:kill] {
				if err := p.command.Process.Kill(); err != nil {
					t.Fatal(err)
				}
			}
			killed := time.Now()
			dead := func(owner string) bool {
				for _, p := range s.nodes[:kill] {
					if strings.HasPrefix(owner, p.peer+"@") {
						return true
					}
				}
				return false
			}
			var last status
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("last status: %+v", last)
				}
			})
			await(t, 10*time.Second, "every lease to be with a live node", func() bool {
				for _, p := range survivors {
					st, ok := s.status(p)
					last = st
					alive := 0
					for _, n := range st.Nodes {
						if n.Alive {
							alive++
						}
					}
					if !ok || alive != len(survivors) {
						return false
					}
					for _, v := range st.Servers {
						if dead(v.Owner) {
							return false
						}
					}
				}
				return true
			})
			t.Logf("roles and leases of %d killed nodes had moved after %v", kill, time.Since(killed))
			time.Sleep(3 * time.Second)
			l.end()
			s.checkLimits()
			t.Logf("whole %d, refused %d, slowest %v", l.whole.Load(), l.refused.Load(), time.Duration(l.slowest.Load()))
		})
	}
}

// TestKilledNodeWhileTheLogIsDown kills the node that owns most while no lease can
// move: its roles move at once, loaded models are served, and its leases move once the log
// is back.
func TestKilledNodeWhileTheLogIsDown(t *testing.T) {
	s := start(t, 8, "--engines", "16")
	models := s.models(12)
	s.ownersFirst()
	warm := s.load(s.nodes, models, 24, 20*time.Second)
	time.Sleep(6 * time.Second)
	warm.end()
	survivors := s.nodes[1:]
	s.fault(`{"Log":{"Down":true}}`)
	if err := s.nodes[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	loaded := s.observed()
	var ready []string
	for n, m := range loaded.Models {
		if m.Loaded > 0 {
			ready = append(ready, n)
		}
	}
	l := s.load(survivors, ready, 16, 5*time.Second)
	time.Sleep(10 * time.Second)
	l.end()
	if l.whole.Load() == 0 || l.refused.Load() > 0 {
		t.Errorf("got %d whole and %d refused for loaded models, want all whole", l.whole.Load(), l.refused.Load())
	}
	st, ok := s.status(survivors[0])
	if !ok || st.Log.Up {
		t.Errorf("got status %v with the log up %v, want it to say that the log is down", ok, st.Log.Up)
	}
	owned := 0
	for _, v := range st.Servers {
		if strings.HasPrefix(v.Owner, s.nodes[0].peer+"@") {
			owned++
		}
	}
	if owned == 0 {
		t.Error("got no lease of the killed node while the log is down, want those it had")
	}
	s.fault(`{"Log":{"Down":false}}`)
	back := time.Now()
	await(t, 10*time.Second, "every lease to be with a live node", func() bool {
		st, ok := s.status(survivors[0])
		for _, v := range st.Servers {
			if strings.HasPrefix(v.Owner, s.nodes[0].peer+"@") {
				return false
			}
		}
		return ok
	})
	s.checkLimits()
	t.Logf("whole %d while the log was down; %d leases moved %v after it was back", l.whole.Load(), owned, time.Since(back))
}

// TestFaultyEngines runs 30 s with crashes, silent connections, a poison request
// and a slow engine.
func TestFaultyEngines(t *testing.T) {
	const timeout = 15 * time.Second
	s := start(t, 7, "--engines", "20", "--token-interval", "5ms")
	models := s.models(12)
	warm := s.load(s.nodes, models, 28, timeout)
	time.Sleep(5 * time.Second)
	warm.end()
	l := s.load(s.nodes, models, 56, timeout)
	end := time.Now().Add(30 * time.Second)
	var poisoners sync.WaitGroup
	for _, e := range s.URLs.EngineURLs {
		s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"PoisonPrompt":"this prompt kills"}]}`, e))
	}
	s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Pace":0.1}]}`, s.URLs.EngineURLs[1]))
	crashes := func() (n int) {
		for _, e := range s.observed().Engines {
			n += e.Crashes
		}
		return n
	}
	for i, p := range s.nodes {
		poisoners.Add(1)
		go func() {
			defer poisoners.Done()
			for n := 0; time.Now().Before(end); n++ {
				_ = ask(p.caller, fmt.Sprintf("poison-%d-%d", i, n), models[0], "this prompt kills", true, 5*time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	ordered := 0
	for i := 0; time.Now().Before(end); i++ {
		s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Crash":true}]}`, s.URLs.EngineURLs[2+i%18]))
		ordered++
		if i == 2 {
			s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"SilentConnections":true}]}`, s.URLs.EngineURLs[0]))
		}
		time.Sleep(3 * time.Second)
	}
	poisoners.Wait()
	l.end()
	s.checkLimits()
	killed := crashes() - ordered
	t.Logf("whole %d, refused %d, slowest %v, engines that the poison killed %d", l.whole.Load(), l.refused.Load(), time.Duration(l.slowest.Load()), killed)
	if killed > 3 {
		t.Errorf("got %d engines killed by the poison, want at most 3", killed)
	}
}
