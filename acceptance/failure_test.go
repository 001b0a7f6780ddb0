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

// status holds the fields of the administration API's status that the tests read.
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
	r, err := http.Get("http://" + p.adminAddress + "/admin/v1/status")
	if err != nil {
		return out, false
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return out, false
	}
	return out, json.NewDecoder(r.Body).Decode(&out) == nil
}

// sortByLeases waits until every engine has an owner, and sorts the nodes by the
// number of their leases, highest first.
func (s *system) sortByLeases() {
	s.t.Helper()
	leases := make(map[string]int)
	waitFor(s.t, 10*time.Second, "every engine to have an owner", func() bool {
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
	slices.SortStableFunc(s.nodes, func(a, b *process) int { return leases[b.peerAddress] - leases[a.peerAddress] })
	s.t.Logf("leases by node: %v", leases)
}

// loadGenerator sends requests from concurrent callers until stop is closed, and
// counts the responses by their outcome.
type loadGenerator struct {
	completed, refused, failed atomic.Int64
	slowest                    atomic.Int64
	workers                    sync.WaitGroup
	once                       sync.Once
	stop                       chan struct{}
}

// startLoad starts concurrent callers that request the models in rotation.
func (s *system) startLoad(nodes []*process, models []string, callers int, timeout time.Duration) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{})}
	for i := range callers {
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				id := fmt.Sprintf("load-%d-%d", i, n)
				a := sendChat(nodes[i%len(nodes)].callerAddress, id, models[(i+n)%len(models)], "question "+id+" end", true, timeout)
				l.record(s.t, id, a, timeout)
			}
		}()
	}
	return l
}

func (l *loadGenerator) record(t *testing.T, id string, a response, timeout time.Duration) {
	switch {
	case a.complete && strings.Contains(a.text, "question "+id+" end"):
		l.completed.Add(1)
	case a.verdict != "" && a.latency < timeout+250*time.Millisecond:
		l.refused.Add(1)
		t.Logf("request %s: %s %s %s after %v", id, a.verdict, a.reason, a.text, a.latency)
	default:
		l.failed.Add(1)
		t.Errorf("request %s: got %+v, want its own complete response or a refusal before the timeout", id, a)
	}
	l.slowest.Store(max(l.slowest.Load(), int64(a.latency)))
}

// stopAndWait stops the callers and waits for their last responses. Further calls
// do nothing.
func (l *loadGenerator) stopAndWait() {
	l.once.Do(func() { close(l.stop) })
	l.workers.Wait()
}

// TestKilledNodesLoseTheirRoles kills one and then four of eight nodes under load.
// Every lease must move to a live node, and every request to the others must get a
// complete response or a refusal before the timeout.
func TestKilledNodesLoseTheirRoles(t *testing.T) {
	for _, kill := range []int{1, 4} {
		t.Run(fmt.Sprintf("Kill=%d", kill), func(t *testing.T) {
			s := start(t, 8, "--engines", "16")
			models := s.models(12)
			s.sortByLeases()
			survivors := s.nodes[kill:]
			l := s.startLoad(survivors, models, 16, 20*time.Second)
			t.Cleanup(l.stopAndWait)
			time.Sleep(5 * time.Second)
			for _, p := range s.nodes[:kill] {
				if err := p.command.Process.Kill(); err != nil {
					t.Fatal(err)
				}
			}
			killed := time.Now()
			ownedByKilled := func(owner string) bool {
				for _, p := range s.nodes[:kill] {
					if strings.HasPrefix(owner, p.peerAddress+"@") {
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
			waitFor(t, 10*time.Second, "every lease to be held by a live node", func() bool {
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
						if ownedByKilled(v.Owner) {
							return false
						}
					}
				}
				return true
			})
			t.Logf("roles and leases of %d killed nodes moved within %v", kill, time.Since(killed))
			time.Sleep(3 * time.Second)
			l.stopAndWait()
			s.checkLimits()
			t.Logf("complete %d, refused %d, slowest %v", l.completed.Load(), l.refused.Load(), time.Duration(l.slowest.Load()))
		})
	}
}

// TestKilledNodeWhileTheLogIsDown kills the node with the most leases while the log is
// down and no lease can move. The other nodes must take over its roles and go on serving
// loaded models; its leases must move after the log is available again.
func TestKilledNodeWhileTheLogIsDown(t *testing.T) {
	s := start(t, 8, "--engines", "16")
	models := s.models(12)
	s.sortByLeases()
	warmUp := s.startLoad(s.nodes, models, 24, 20*time.Second)
	time.Sleep(6 * time.Second)
	warmUp.stopAndWait()
	survivors := s.nodes[1:]
	s.setFaults(`{"Log":{"Down":true}}`)
	if err := s.nodes[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	observed := s.observed()
	var loadedModels []string
	for n, m := range observed.Models {
		if m.Loaded > 0 {
			loadedModels = append(loadedModels, n)
		}
	}
	l := s.startLoad(survivors, loadedModels, 16, 5*time.Second)
	time.Sleep(10 * time.Second)
	l.stopAndWait()
	if l.completed.Load() == 0 || l.refused.Load() > 0 {
		t.Errorf("got %d complete and %d refused responses for loaded models, want all complete", l.completed.Load(), l.refused.Load())
	}
	st, ok := s.status(survivors[0])
	if !ok || st.Log.Up {
		t.Errorf("got status %v with the log up %v, want a status that reports the log as down", ok, st.Log.Up)
	}
	owned := 0
	for _, v := range st.Servers {
		if strings.HasPrefix(v.Owner, s.nodes[0].peerAddress+"@") {
			owned++
		}
	}
	if owned == 0 {
		t.Error("got no lease owned by the killed node while the log is down, want its previous leases")
	}
	s.setFaults(`{"Log":{"Down":false}}`)
	restored := time.Now()
	waitFor(t, 10*time.Second, "every lease to be held by a live node", func() bool {
		st, ok := s.status(survivors[0])
		for _, v := range st.Servers {
			if strings.HasPrefix(v.Owner, s.nodes[0].peerAddress+"@") {
				return false
			}
		}
		return ok
	})
	s.checkLimits()
	t.Logf("complete %d while the log was down; %d leases moved within %v of its recovery", l.completed.Load(), owned, time.Since(restored))
}

// TestFaultyEngines runs 30 s of load with engine crashes, connections that stop
// transferring bytes, a prompt that crashes engines and an engine at a tenth of its
// speed. The prompt may crash at most 3 engines.
func TestFaultyEngines(t *testing.T) {
	const timeout = 15 * time.Second
	s := start(t, 7, "--engines", "20", "--token-interval", "5ms")
	models := s.models(12)
	warmUp := s.startLoad(s.nodes, models, 28, timeout)
	time.Sleep(5 * time.Second)
	warmUp.stopAndWait()
	l := s.startLoad(s.nodes, models, 56, timeout)
	end := time.Now().Add(30 * time.Second)
	var poisoners sync.WaitGroup
	for _, e := range s.URLs.EngineURLs {
		s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"PoisonPrompt":"this prompt kills"}]}`, e))
	}
	s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Pace":0.1}]}`, s.URLs.EngineURLs[1]))
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
				_ = sendChat(p.callerAddress, fmt.Sprintf("poison-%d-%d", i, n), models[0], "this prompt kills", true, 5*time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	injectedCrashes := 0
	for i := 0; time.Now().Before(end); i++ {
		s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Crash":true}]}`, s.URLs.EngineURLs[2+i%18]))
		injectedCrashes++
		if i == 2 {
			s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"SilentConnections":true}]}`, s.URLs.EngineURLs[0]))
		}
		time.Sleep(3 * time.Second)
	}
	poisoners.Wait()
	l.stopAndWait()
	s.checkLimits()
	poisonCrashes := crashes() - injectedCrashes
	t.Logf("complete %d, refused %d, slowest %v, engines crashed by the poison prompt %d", l.completed.Load(), l.refused.Load(), time.Duration(l.slowest.Load()), poisonCrashes)
	if poisonCrashes > 3 {
		t.Errorf("got %d engines crashed by the poison prompt, want at most 3", poisonCrashes)
	}
}
