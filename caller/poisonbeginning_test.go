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

const (
	soundSystemMessage  = `{"role":"system","content":"You draft frame notes."}`
	poisonSystemMessage = `{"role":"system","content":"POISON"}`
	// maximumBeginningCrashes is how many servers conversations that begin alike may crash: as
	// many as refuse a trait, and those that ran already when it was refused.
	maximumBeginningCrashes = 8
	beginningDuration       = 30 * time.Second
)

// conversation returns the body of a request with the given first messages and a last one of
// its own.
func conversation(last string, first ...string) string {
	first = append(first, `{"role":"user","content":"`+last+`"}`)
	return `{"model":"frames","stream":true,"messages":[` + strings.Join(first, ",") + `]}`
}

// Guards against servers that crash one after the other because of conversations that begin with
// the same messages, no two alike. Those that begin with other messages are served, and none of
// them is refused as the cause.
func TestConversationsThatBeginAlikeStopCrashingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(20, 4, 0)
		nodes := newNodes(7, f)
		var requests sync.WaitGroup
		var mu sync.Mutex
		quarantined, served, all := 0, 0, 0
		begin := time.Now()
		for i := 0; time.Since(begin) < beginningDuration; i++ {
			bad, sound := nodes[i%len(nodes)], nodes[3*i%len(nodes)]
			requests.Go(func() {
				bad.post(t.Context(), conversation(fmt.Sprintf("bad %d", i), soundSystemMessage, poisonSystemMessage))
			})
			requests.Go(func() {
				w := sound.post(t.Context(), conversation(fmt.Sprintf("sound %d", i), soundSystemMessage))
				mu.Lock()
				defer mu.Unlock()
				all++
				if w.Code == http.StatusOK && strings.Contains(w.Body.String(), "[DONE]") {
					served++
				}
				if strings.Contains(w.Body.String(), "Quarantined") {
					quarantined++
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
		requests.Wait()
		t.Logf("%d servers crashed; sound requests: %d of %d served, %d refused as the cause", f.crashes, served, all, quarantined)
		if got, limit := f.crashes, maximumBeginningCrashes; got > limit {
			t.Errorf("servers crashed: got %d, want %d at most", got, limit)
		}
		if quarantined > 0 || 10*served < 9*all {
			t.Errorf("sound requests: got %d of %d served and %d refused as the cause, want nine tenths and none", served, all, quarantined)
		}
	})
}
