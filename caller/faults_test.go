package caller

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// faultRun counts the outcomes that the callers of one run received.
type faultRun struct {
	completed, refused, broken, pastDeadline, poisonCrashes int
	// failureCounts counts failures by refusal reason, or by the start of the error event for
	// broken streams.
	failureCounts map[string]int
}

// faultLoad sends 120 requests a second to 7 nodes for 30 s. With faults, an engine
// crashes every 3 s, one stalls every 5 s, one runs at a tenth of its pace, and every 200
// ms a poison request is sent to each node.
func faultLoad(t *testing.T, faults bool) faultRun {
	const (
		duration        = 30 * time.Second
		requestInterval = time.Second / 120
		timeout         = 10 * time.Second
	)
	f := newFleet(20, 6, 0)
	nodes := newNodes(7, f)
	run := faultRun{failureCounts: map[string]int{}}
	var mu sync.Mutex
	var requests sync.WaitGroup
	begin := time.Now()
	if faults {
		f.slowEngine = 3
		requests.Go(func() { f.injectFaults(begin.Add(duration)) })
	}
	send := func(node int, content string) {
		start := time.Now()
		body := strings.Replace(helloBody, "one two three four", content, 1)
		w := nodes[node].post(t.Context(), body, requestTimeoutHeader, fmt.Sprint(timeout.Seconds()))
		elapsed := time.Since(start)
		text, last := "", ""
		if w.Code == http.StatusOK {
			text, last = parseStream(t, w)
		}
		mu.Lock()
		defer mu.Unlock()
		if elapsed > timeout+250*time.Millisecond {
			run.pastDeadline++
		}
		switch {
		case last == "[DONE]" && text == "answer to "+content:
			run.completed++
		case w.Code == http.StatusOK:
			run.broken++
			reason, _, _ := strings.Cut(last, `,"Message`)
			run.failureCounts[reason]++
		default:
			run.refused++
			run.failureCounts[parseRefusal(t, w).Reason]++
		}
	}
	for i := 0; time.Since(begin) < duration; i++ {
		requests.Go(func() { send(i%len(nodes), fmt.Sprintf("request %d", i)) })
		if faults && i%24 == 0 {
			for _, b := range nodes {
				go b.post(t.Context(), strings.Replace(helloBody, "one", "POISON", 1), requestTimeoutHeader, "5")
			}
		}
		time.Sleep(requestInterval)
	}
	requests.Wait()
	time.Sleep(timeout)
	synctest.Wait()
	run.poisonCrashes = f.poisonCrashes
	return run
}

// TestSimultaneousFaultsBreakNoResponse runs the whole request path in virtual time with
// all kinds of faults at once, and compares it with a run without faults.
func TestSimultaneousFaultsBreakNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := faultLoad(t, false)
		got := faultLoad(t, true)
		t.Logf("without faults %+v", want)
		t.Logf("with faults    %+v", got)
		if got.pastDeadline != 0 {
			t.Errorf("got %d requests that ended more than 250 ms after their deadline, want 0", got.pastDeadline)
		}
		if got.broken != 0 {
			t.Errorf("got %d incomplete responses, want 0", got.broken)
		}
		if most := 3; got.poisonCrashes > most {
			t.Errorf("got %d engines crashed by the poison, want at most %d", got.poisonCrashes, most)
		}
		if ratio := float64(got.completed) / float64(want.completed); ratio < 0.9 {
			t.Errorf("got goodput %.3f of the run without faults, want at least 0.9", ratio)
		}
	})
}
