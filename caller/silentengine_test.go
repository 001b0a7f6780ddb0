package caller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against LOST: the only engine of a model was given up after a second without its first
// token, again and again, though it would have answered long before the deadline.
func TestSilentEngineKeepsItsRequest(t *testing.T) {
	const engineSilence = 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respondAfter(engineSilence))
		w := b.post(t.Context(), helloBody, requestTimeoutHeader, "4")
		text, last := parseStream(t, w)
		if got, want := text, helloResponse; w.Code != http.StatusOK || got != want {
			t.Errorf("got status %d, %q, last %q after %d attempts, want %q", w.Code, got, last, len(b.engines["e1"].requests), want)
		}
		time.Sleep(time.Minute)
	})
}
