package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Guards against messages without end: callers that named any number of models made the report to
// the owner longer than a message may be, and the link to the owner broke with each report.
func TestUnknownModelsAreNoDemand(t *testing.T) {
	const requests = 200
	long := strings.Repeat("x", 30<<10)
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: nil})
		for i := range requests {
			r := streamRequest()
			r.Model, r.Adapter = domain.ModelName(fmt.Sprint(long, i)), "a1"
			if i%2 == 0 {
				r.Model, r.Adapter = "cold", domain.AdapterName(fmt.Sprint(long, i))
			}
			r.Deadline = r.ArrivedAt.Add(100 * time.Millisecond)
			d.Serve(t.Context(), r, &fakeCaller{})
		}
		size := 0
		for _, demand := range d.Demand.TakeAll(time.Now()) {
			size += len(demand.Model) + len(demand.Adapter)
		}
		if got, want := size, 64<<10; got > want {
			t.Errorf("names in the demand after %d requests: got %d bytes, want %d at most", requests, got, want)
		}
	})
}
