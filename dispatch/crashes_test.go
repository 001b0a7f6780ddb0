package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
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

const testTrait suspects.Trait = 7

// refuseTestTrait makes a dispatcher refuse requests with testTrait.
func refuseTestTrait(d *Dispatcher) {
	d.ApplyTraitReport(suspects.TraitReport{Refusals: []suspects.TraitRefusal{{Trait: testTrait, Number: 1, Remaining: time.Minute}}})
}

func traitRequest() *Request {
	r := streamRequest()
	r.Traits = []suspects.Trait{testTrait}
	return r
}

// Guards against an accelerator that is loaded for nobody: a request that is refused for a trait
// does not count as demand for its model, and reaches no server.
func TestRefusedTraitIsNoDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{responses: []func(context.Context) (*Response, error){streamResponse(io.EOF, 1)}}
		d := newTestDispatcher(b)
		refuseTestTrait(d)
		c := &fakeCaller{}
		if got, want := d.Serve(t.Context(), traitRequest(), c), Refused; got != want || c.writtenError.Reason != verdict.Quarantined {
			t.Errorf("got %v with %+v, want %v with Quarantined", got, c.writtenError, want)
		}
		if got := d.Demand.TakeAll(time.Now()); len(got) != 0 || len(b.received) != 0 {
			t.Errorf("got demand %+v and %d attempts, want none", got, len(b.received))
		}
	})
}

// Guards against BUDGET: a request that waited for its model when its trait was refused was sent
// to a server later. It is refused at once.
func TestRefusalOfATraitEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{responses: []func(context.Context) (*Response, error){streamResponse(io.EOF, 1)}}
		d := newTestDispatcher(b)
		d.Views.Publish(newTestView(false))
		const refusedAfter = 300 * time.Millisecond
		time.AfterFunc(refusedAfter, func() { refuseTestTrait(d) })
		r, begin := traitRequest(), time.Now()
		r.Route.LatencyGoal = 10 * time.Second
		if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, want := time.Since(begin), refusedAfter; got != want || len(b.received) != 0 {
			t.Errorf("refused after %v and %d attempts, want %v and none", got, len(b.received), want)
		}
	})
}

// Guards against BUDGET: a stream that broke off was resumed although its trait was refused
// meanwhile.
func TestRefusedTraitIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{}
		d := newTestDispatcher(b)
		b.responses = []func(context.Context) (*Response, error){func(ctx context.Context) (*Response, error) {
			refuseTestTrait(d)
			return streamResponse(errors.New("reset"), 1)(ctx)
		}}
		c := &fakeCaller{}
		if got, want := d.Serve(t.Context(), traitRequest(), c), Broken; got != want || len(b.received) != 1 {
			t.Errorf("got %v after %d attempts, want %v after one", got, len(b.received), want)
		}
		time.Sleep(time.Second)
	})
}

// Guards against LOST: a sound request that was on a server beside a bad one counted as suspected
// and was not retried. A crash that a refused trait explains is no other request's fault.
func TestCrashWithAKnownCauseSuspectsNoOtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{})
		refuseTestTrait(d)
		content := suspects.Content{1}
		d.recordCrash(time.Now(), "a", &crashCheck{time.Now(), []crashedRequest{{id: "bad", traits: []suspects.Trait{testTrait}}, {id: "sound", content: content}}})
		if got, want := d.standing(content), suspects.Clean; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		d.recordCrash(time.Now(), "b", &crashCheck{time.Now(), []crashedRequest{{id: "sound", content: content}}})
		if got, want := d.standing(content), suspects.Suspected; got != want {
			t.Errorf("after a crash without a known cause: got %v, want %v", got, want)
		}
	})
}

// Guards against DENIED: a content that ran on two servers as these crashed was refused for a minute,
// and for a day after four crashes, although it was served whole all the time, such as a much used
// GET.
func TestContentThatCompletesIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){bodyResponse(200, "ok")}})
		var reports []suspects.Report
		d.ReportCrash = func(r suspects.Report) { reports = append(reports, r) }
		r := plainRequest(fleet.Idempotent)
		r.Content = suspects.Content{1}
		crash := func(servers ...domain.ServerID) {
			for _, id := range servers {
				d.recordCrash(time.Now(), id, &crashCheck{time.Now(), []crashedRequest{{id: "sound", content: r.Content}}})
			}
		}
		crash("a")
		if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Served; got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
		if got, want := d.standing(r.Content), suspects.Clean; got != want {
			t.Errorf("after a completion: got %v, want %v", got, want)
		}
		if len(reports) != 2 || reports[1].Crashes != 0 || reports[1].Content != r.Content {
			t.Errorf("got reports %+v, want the crash and the end of the suspicion", reports)
		}
		crash("b", "c")
		if got, want := d.standing(r.Content), suspects.Clean; got != want {
			t.Errorf("two crashes shortly after a completion: got %v, want %v", got, want)
		}
		time.Sleep(time.Minute)
		crash("d", "e")
		if got, want := d.standing(r.Content), suspects.Refused; got != want {
			t.Errorf("two crashes a minute after a completion: got %v, want %v", got, want)
		}
	})
}

// A stream that is resumed at another server is no proof: the part before may be what crashes
// servers.
func TestResumptionClearsNoContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){streamResponse(errors.New("reset"), 1), streamResponse(io.EOF, 2)}})
		r := streamRequest()
		r.Content = suspects.Content{1}
		d.recordCrash(time.Now(), "a", &crashCheck{time.Now(), []crashedRequest{{id: "other", content: r.Content}}})
		d.Serve(t.Context(), r, &fakeCaller{})
		time.Sleep(time.Second)
		if got, want := d.standing(r.Content), suspects.Suspected; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}
