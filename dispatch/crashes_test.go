package dispatch

import (
	"sync"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
)

// Guards against LOST: a node stood still for ever. A report of a crash arrived, with the lock
// of the node held, while a request read the node's settings with the lock of the dispatcher held.
func TestCrashReportArrivesWhileTheBudgetIsSet(t *testing.T) {
	var node sync.Mutex
	d := newTestDispatcher(&fakeBackend{})
	isSetting, reportArrives := make(chan struct{}), make(chan struct{})
	d.SetBudget = func(*retries.WindowBudget) {
		close(isSetting)
		<-reportArrives
		node.Lock()
		defer node.Unlock()
	}
	var ends sync.WaitGroup
	ends.Go(func() { d.countRequest(plainRequest(fleet.Idempotent).Service) })
	ends.Go(func() {
		<-isSetting
		node.Lock()
		defer node.Unlock()
		close(reportArrives)
		d.ApplyCrashReports([]suspects.Report{{Crashes: 1, Server: "a"}})
	})
	ended := make(chan struct{})
	go func() {
		ends.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("got a deadlock of a request and a crash report, want both to end")
	}
}
