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

// faultRun is what callers saw in one run.
type faultRun struct {
	whole, refused, broken, late, poisoned int
	reasons                                map[string]int
}

// faultLoad sends 120 requests a second to 7 nodes for 30 s. With faults an
// engine crashes every 3 s, one goes silent each 5 s, one runs at a tenth of its
// pace and a poison is sent every 200 ms at every node.
func faultLoad(t *testing.T, faults bool) faultRun {
	const (
		duration = 30 * time.Second
		pace     = time.Second / 120
		timeout  = 10 * time.Second
	)
	f := newFleet(20, 6, 0)
	nodes := newNodes(7, f)
	run := faultRun{reasons: map[string]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	if faults {
		f.slow = 3
		all.Go(func() { f.fail(begin.Add(duration)) })
	}
	ask := func(node int, content string) {
		start := time.Now()
		body := strings.Replace(hello, "one two three four", content, 1)
		w := nodes[node].post(t.Context(), body, requestTimeoutHeader, fmt.Sprint(timeout.Seconds()))
		took := time.Since(start)
		text, last := "", ""
		if w.Code == http.StatusOK {
			text, last = streamed(t, w)
		}
		mu.Lock()
		defer mu.Unlock()
		if took > timeout+250*time.Millisecond {
			run.late++
		}
		switch {
		case last == "[DONE]" && text == "answer to "+content:
			run.whole++
		case w.Code == http.StatusOK:
			run.broken++
			reason, _, _ := strings.Cut(last, `,"Message`)
			run.reasons[reason]++
		default:
			run.refused++
			run.reasons[refusal(t, w).Reason]++
		}
	}
	for i := 0; time.Since(begin) < duration; i++ {
		all.Go(func() { ask(i%len(nodes), fmt.Sprintf("request %d", i)) })
		if faults && i%24 == 0 {
			for _, b := range nodes {
				go b.post(t.Context(), strings.Replace(hello, "one", "POISON", 1), requestTimeoutHeader, "5")
			}
		}
		time.Sleep(pace)
	}
	all.Wait()
	time.Sleep(timeout)
	synctest.Wait()
	run.poisoned = f.poisoned
	return run
}

// TestFaultsTogetherLoseNoRequest is the whole path in virtual time with every
// fault at once, against a run without.
func TestFaultsTogetherLoseNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := faultLoad(t, false)
		got := faultLoad(t, true)
		t.Logf("without faults %+v", want)
		t.Logf("with faults    %+v", got)
		if got.late != 0 {
			t.Errorf("got %d requests that ended later than their deadline and 250 ms, want 0", got.late)
		}
		if got.broken != 0 {
			t.Errorf("got %d answers that broke off, want 0", got.broken)
		}
		if most := 3; got.poisoned > most {
			t.Errorf("got %d engines crashed by the poison, want at most %d", got.poisoned, most)
		}
		if ratio := float64(got.whole) / float64(want.whole); ratio < 0.9 {
			t.Errorf("got goodput %.3f of the run without faults, want 0.9", ratio)
		}
	})
}
