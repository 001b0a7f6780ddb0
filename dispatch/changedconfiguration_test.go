package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// changeAt is when the view changes in these tests, counted from the arrival of the request.
const changeAt = 300 * time.Millisecond

// viewWithoutServices returns the view of a configuration without routes and services. The
// servers have left the directory too.
func viewWithoutServices() *View { return &View{Config: &fleet.Configuration{Version: 2}} }

// viewWithoutServers returns the view of a configuration whose services have no servers.
func viewWithoutServers() *View {
	v := newTestView(true)
	v.Servers = nil
	return v
}

// viewWithoutModels returns the view of a configuration whose engines list no models. The
// servers have unloaded theirs.
func viewWithoutModels() *View {
	v := newTestView(false)
	engine := v.Config.Services["engines"]
	engine.Engine.Models = map[domain.ModelName]fleet.Model{}
	return v
}

// reducedViews are views of which each lacks something that a running request used.
var reducedViews = map[string]func() *View{
	"the services are gone": viewWithoutServices,
	"the servers are gone":  viewWithoutServers,
	"the models are gone":   viewWithoutModels,
}

// serveThroughChange serves one request while the view changes changeAt after the arrival. It
// returns when the request ended, counted from its arrival.
func serveThroughChange(t *testing.T, request func() *Request, view func() *View, responses ...func(context.Context) (*Response, error)) (Outcome, *fakeCaller, time.Duration) {
	t.Helper()
	c := &fakeCaller{}
	var o Outcome
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: responses})
		time.AfterFunc(changeAt, func() { d.Views.Publish(view()) })
		r := request()
		o = d.Serve(t.Context(), r, c)
		took = time.Since(r.ArrivedAt)
		time.Sleep(time.Second)
	})
	return o, c, took
}

// slowStream responds with a stream of ten events, one every 200 ms.
func slowStream(ctx context.Context) (*Response, error) {
	e := &fakeEvents{err: io.EOF, ctx: ctx, delay: 200 * time.Millisecond}
	for id := range EventID(10) {
		e.events = append(e.events, Event{ID: id + 1, Raw: []byte{byte('0' + id)}})
	}
	return &Response{Status: 200, Verified: true, Events: e}, nil
}

// Guards against LOST: a stream that runs is ended by a view without its service, its server
// or its model.
func TestStreamOutlastsAChange(t *testing.T) {
	notResumable := func() *Request {
		r := streamRequest()
		r.Route.Resumable = false
		return r
	}
	for name, view := range reducedViews {
		for kind, request := range map[string]func() *Request{"resumable": streamRequest, "not resumable": notResumable} {
			t.Run(name+", "+kind, func(t *testing.T) {
				o, c, _ := serveThroughChange(t, request, view, slowStream)
				if got, want := string(c.body), "0123456789"; o != Served || got != want || !c.complete {
					t.Errorf("got %v with %q, complete %v, want %v with %q", o, got, c.complete, Served, want)
				}
			})
		}
	}
}

// Guards against LOST: a server that is silent while its service leaves the view loses the
// request when no other server can take it over.
func TestSilentServerOutlastsAChange(t *testing.T) {
	for name, view := range reducedViews {
		for kind, response := range map[string]func(context.Context) (*Response, error){"within the stream": silentStream, "before the response": lateStream} {
			t.Run(name+", "+kind, func(t *testing.T) {
				o, c, _ := serveThroughChange(t, streamRequest, view, response)
				if got, want := string(c.body), "123"; o != Served || got != want || !c.complete {
					t.Errorf("got %v with %q, complete %v, want %v with %q", o, got, c.complete, Served, want)
				}
			})
		}
	}
}

// Guards against LOST: a request that is not idempotent gets no response because its service
// leaves the view while a server runs it.
func TestPlainRequestOutlastsAChange(t *testing.T) {
	for name, view := range reducedViews {
		for kind, request := range map[string]func() *Request{
			"not idempotent": func() *Request { return plainRequest(fleet.NonIdempotent) },
			"idempotent":     func() *Request { return plainRequest(fleet.Idempotent) },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				o, c, _ := serveThroughChange(t, request, view, afterDelay(800*time.Millisecond, bodyResponse(200, "ok")))
				if got, want := string(c.body), "ok"; o != Served || got != want {
					t.Errorf("got %v with %q, want %v with %q", o, got, Served, want)
				}
			})
		}
	}
}

// coldRequest returns a stream that waits until its model is loaded.
func coldRequest() *Request {
	r := streamRequest()
	r.Model = "cold"
	r.Route.LatencyGoal = 3 * time.Second
	return r
}

// Guards against LOST: a request waits on for a service or a model that has left the
// configuration, and is refused after its caller has left.
func TestWaitingRequestIsRefusedAtTheChange(t *testing.T) {
	for name, view := range reducedViews {
		t.Run(name, func(t *testing.T) {
			o, c, took := serveThroughChange(t, coldRequest, view, slowStream)
			if o != Refused || c.writtenError == nil || c.writtenError.Verdict != verdict.NotRun {
				t.Fatalf("got %v with %v, want %v as not run", o, c.writtenError, Refused)
			}
			if got, want := took, changeAt; got != want {
				t.Errorf("refused after %v, want at the change after %v", got, want)
			}
		})
	}
}

// Guards against LOST: a request that every server has refused waits for its next try while its
// service leaves the view.
func TestRefusedRequestIsRefusedSoonAfterTheChange(t *testing.T) {
	plain := func() *Request { return plainRequest(fleet.NonIdempotent) }
	for name, view := range reducedViews {
		if name == "the models are gone" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			o, c, took := serveThroughChange(t, plain, view, refusal(Full))
			if o != Refused || c.writtenError.Verdict != verdict.NotRun {
				t.Fatalf("got %v with %v, want %v as not run", o, c.writtenError, Refused)
			}
			if got, want := took, time.Second-refusalMargin; got > want {
				t.Errorf("refused after %v, want within %v", got, want)
			}
		})
	}
}

// Guards against LOST: a stream that its server has broken off is resumed at a server of a view
// that was published since.
func TestStreamIsResumedWhileTheViewChanges(t *testing.T) {
	changed := func() *View {
		v := newTestView(true)
		v.Config.Version = 2
		return v
	}
	breaks := func(ctx context.Context) (*Response, error) {
		events := []Event{{ID: 1, Raw: []byte("1")}, {ID: 2, Raw: []byte("2")}}
		return &Response{Status: 200, Verified: true, Events: &fakeEvents{err: errors.New("reset"), ctx: ctx, delay: 200 * time.Millisecond, events: events}}, nil
	}
	o, c, _ := serveThroughChange(t, streamRequest, changed, breaks, streamResponse(io.EOF, 3))
	if got, want := string(c.body), "123"; o != Served || got != want {
		t.Errorf("got %v with %q, want %v with %q", o, got, Served, want)
	}
}
