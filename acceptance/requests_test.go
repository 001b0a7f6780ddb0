package acceptance

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// poisonText crashes every engine that runs a prompt containing it.
const poisonText = "POISON-7f3a"

// TestFaultsTogether runs 7 nodes and 20 engines for 30 s with several faults at once:
// an engine crashes every 3 s, the connections of one engine stop transferring bytes
// every 5 s, one engine runs at a tenth of its speed, and every node receives a prompt
// that crashes engines every 200 ms. Meanwhile callers send 40 other requests a second for
// all 12 models. At least 9 of 10 of those requests must complete, and the prompt may crash
// at most 3 engines.
func TestFaultsTogether(t *testing.T) {
	const (
		duration = 30 * time.Second
		interval = time.Second / 40
		timeout  = 10 * time.Second
	)
	s := start(t, 7, "--engines", "20")
	models := s.models(12)
	for _, url := range s.URLs.EngineURLs {
		s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"PoisonPrompt":%q}]}`, url, poisonText))
	}
	s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Pace":0.1}]}`, s.URLs.EngineURLs[0]))
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	injectedCrashes := 0
	wait.Add(1)
	go func() {
		defer wait.Done()
		for second := 1; time.Now().Before(end); second++ {
			time.Sleep(time.Second)
			if second%3 == 0 {
				s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Crash":true}]}`, s.URLs.EngineURLs[1+second/3%19]))
				injectedCrashes++
			}
			if second%5 == 0 {
				s.setFaults(fmt.Sprintf(`{"Engines":[{"Engine":%q,"SilentConnections":true}]}`, s.URLs.EngineURLs[19]))
			}
		}
	}()
	sendPoison := func(n int) {
		for i, node := range s.nodes {
			wait.Add(1)
			go func() {
				defer wait.Done()
				sendChat(node.callerAddress, fmt.Sprintf("poison-%d-%d", n, i), models[0], "please "+poisonText, true, 5*time.Second)
			}()
		}
	}
	var mu sync.Mutex
	counts := map[string]int{}
	sent := 0
	for n := 0; time.Now().Before(end); n++ {
		if n%8 == 0 {
			sendPoison(n)
		}
		sent++
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("faults-%d", n)
			a := sendChat(s.nodes[n%7].callerAddress, id, models[n%12], "question "+id+" end", true, timeout)
			mu.Lock()
			defer mu.Unlock()
			if a.latency > timeout+250*time.Millisecond {
				t.Errorf("request %s for %s: got a response after %v, want at most 10.25 s", id, models[n%12], a.latency)
			}
			switch {
			case a.complete && strings.Contains(a.text, "question "+id+" end"):
				counts["whole"]++
			case a.verdict != "":
				counts[a.verdict+" "+a.reason]++
				if a.verdict == "Ran" {
					t.Errorf("request %s for %s: got %+v, want a complete response or a refusal", id, models[n%12], a)
				}
			default:
				t.Errorf("request %s for %s: got %+v, want a complete response or a refusal", id, models[n%12], a)
			}
		}()
		time.Sleep(interval)
	}
	wait.Wait()
	o := s.checkLimits()
	crashes := 0
	for _, e := range o.Engines {
		crashes += e.Crashes
	}
	t.Logf("%d requests: %v; %d crashes, %d of them injected", sent, counts, crashes, injectedCrashes)
	if got, want := crashes-injectedCrashes, 3; got > want {
		t.Errorf("got %d engines crashed by the poison prompt, want at most %d", got, want)
	}
	if ratio := float64(counts["whole"]) / float64(sent); ratio < 0.9 {
		t.Errorf("got complete responses to %.3f of the requests, want at least 0.9", ratio)
	}
}
