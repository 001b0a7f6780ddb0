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
	// maximumBeginningCrashes is how many servers conversations that begin alike may crash, as in
	// the users' rule for parts of prompts: five, and three requests after them.
	maximumBeginningCrashes = 5 + 3
	beginningDuration       = 30 * time.Second
)

// conversation returns the body of a request with the given first messages and a last one of
// its own.
func conversation(last string, first ...string) string {
	first = append(first, `{"role":"user","content":"`+last+`"}`)
	return `{"model":"frames","stream":true,"messages":[` + strings.Join(first, ",") + `]}`
}

// Guards against BUDGET: conversations that begin alike, no two the same, crashed server after server.
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
