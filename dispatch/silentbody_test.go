package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/fleet"
)

// Guards against LOST: a response whose server is silent for a few seconds was ended because
// another one waited for its memory, though it can be passed on while it arrives.
func TestSilentServerKeepsItsResponseBesideThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){longResponse(len(longBody), 5*time.Second, nil)}})
		d.bodies.Size = 2 * buffers.FreeSize
		go func() {
			time.Sleep(time.Millisecond)
			other := d.bodies.NewBuffer(nil)
			defer other.Release()
			_ = other.Reserve(t.Context(), 3*buffers.FreeSize)
		}()
		c := &fakeCaller{}
		r := plainRequest(fleet.NonIdempotent)
		r.Deadline = time.Now().Add(10 * time.Second)
		if got, want := d.Serve(t.Context(), r, c), Served; got != want || string(c.body) != longBody {
			t.Errorf("got %v with %d bytes, want %v with %d", got, len(c.body), want, len(longBody))
		}
		time.Sleep(time.Minute)
	})
}
