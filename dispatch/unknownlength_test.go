package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/fleet"
)

// Guards against LOST: a response without a length that no other one may replace waited for memory
// until its deadline, behind the few for which the pool had room. One that breaks off must not look
// complete.
func TestResponseWithoutALengthIsPassedOnIfNothingCanReplaceIt(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want Outcome
	}{"whole": {nil, Served}, "broken off": {errors.New("reset"), Broken}} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{responses: []func(context.Context) (*Response, error){longResponse(-1, time.Second, c.err)}}
			got, caller, _ := serveWithoutMemory(t, b, fleet.NonIdempotent, time.Minute)
			if got != c.want || caller.aborted != (c.want == Broken) {
				t.Errorf("got outcome %v, aborted %v, want %v", got, caller.aborted, c.want)
			}
			if c.want == Served && string(caller.body) != longBody {
				t.Errorf("got a body of %d bytes, want %d", len(caller.body), len(longBody))
			}
		})
	}
}
