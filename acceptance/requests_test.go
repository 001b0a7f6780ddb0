package acceptance

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// poisonText crashes every engine that runs a prompt with it.
const poisonText = "POISON-7f3a"

// TestFaultsTogether runs 7 nodes and 20 engines for 30 s: one engine crashes
// every 3 s, one has its connections go silent, one runs at a tenth of its pace, and
// one caller resends a poison every 200 ms at every node. 40 other requests a
// second ask for all 12 models.
func TestFaultsTogether(t *testing.T) {
	const (
		duration = 30 * time.Second
		pace     = time.Second / 40
		timeout  = 10 * time.Second
	)
	s := start(t, 7, "--engines", "20")
	models := s.models(12)
	for _, url := range s.URLs.EngineURLs {
		s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"PoisonPrompt":%q}]}`, url, poisonText))
	}
	s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Pace":0.1}]}`, s.URLs.EngineURLs[0]))
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	crashed := 0
	wait.Add(1)
	go func() {
		defer wait.Done()
		for second := 1; time.Now().Before(end); second++ {
			time.Sleep(time.Second)
			if second%3 == 0 {
				s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"Crash":true}]}`, s.URLs.EngineURLs[1+second/3%19]))
				crashed++
			}
			if second%5 == 0 {
				s.fault(fmt.Sprintf(`{"Engines":[{"Engine":%q,"SilentConnections":true}]}`, s.URLs.EngineURLs[19]))
			}
		}
	}()
	poison := func(n int) {
		for i, node := range s.nodes {
			wait.Add(1)
			go func() {
				defer wait.Done()
				ask(node.caller, fmt.Sprintf("poison-%d-%d", n, i), models[0], "please "+poisonText, true, 5*time.Second)
			}()
		}
	}
	var mu sync.Mutex
	counts := map[string]int{}
	sent := 0
	for n := 0; time.Now().Before(end); n++ {
		if n%8 == 0 {
			poison(n)
		}
		sent++
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("faults-%d", n)
			a := ask(s.nodes[n%7].caller, id, models[n%12], "question "+id+" end", true, timeout)
			mu.Lock()
			defer mu.Unlock()
			if a.took > timeout+250*time.Millisecond {
				t.Errorf("request %s for %s: got an end after %v, want at most 10.25 s", id, models[n%12], a.took)
			}
			switch {
			case a.whole && strings.Contains(a.text, "question "+id+" end"):
				counts["whole"]++
			case a.verdict != "":
				counts[a.verdict+" "+a.reason]++
				if a.verdict == "Ran" {
					t.Errorf("request %s for %s: got %+v, want a whole answer or a refusal", id, models[n%12], a)
				}
			default:
				t.Errorf("request %s for %s: got %+v, want a whole answer or a refusal", id, models[n%12], a)
			}
		}()
		time.Sleep(pace)
	}
	wait.Wait()
	o := s.checkLimits()
	all := 0
	for _, e := range o.Engines {
		all += e.Crashes
	}
	t.Logf("%d requests: %v; %d crashes, %d of them ordered", sent, counts, all, crashed)
	if got, want := all-crashed, 3; got > want {
		t.Errorf("got %d engines crashed by the poison, want at most %d", got, want)
	}
	if ratio := float64(counts["whole"]) / float64(sent); ratio < 0.9 {
		t.Errorf("got %.3f of the requests answered whole, want 0.9", ratio)
	}
}
