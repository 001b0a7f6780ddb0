package dispatch

import (
	"sync"
	"testing"

	"github.com/parsleylug/parsleylug/fleet"
)

// refreshedViews is how many views are published while others are refreshed.
const refreshedViews = 200_000

// Guards against LOST: a view refreshed by a drain while a configuration was published
// closed one channel twice, and the process ended with every request that it had read; or
// an older view replaced the newer one.
func TestRefreshBesidePublish(t *testing.T) {
	var views Views
	var refreshers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		refreshers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					views.Refresh()
				}
			}
		})
	}
	older := 0
	for version := range fleet.Version(refreshedViews) {
		views.Publish(&View{Config: &fleet.Configuration{Version: version}})
		if views.Get().Config.Version != version {
			older++
		}
	}
	close(stop)
	refreshers.Wait()
	if got, want := older, 0; got != want {
		t.Errorf("an older view replaced the published one %d times, want %d", got, want)
	}
}

// Guards against LOST: a request that starts to wait took the channel of urgent reports
// without the lock while the reporting goroutine took it too.
func TestUrgentBesideStartWaiting(t *testing.T) {
	k := streamRequest().key()
	for range 1000 {
		var demand DemandCounter
		var waiting sync.WaitGroup
		waiting.Go(func() { demand.startWaiting(k) })
		urgent := demand.Urgent()
		waiting.Wait()
		select {
		case <-urgent:
		default:
			t.Fatal("got no value on the channel that Urgent returned before, want one")
		}
	}
}
