package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/fleet"
)

// timingFields are the fields of a log line that describe the timing of a request.
var timingFields = []string{
	"CallerLimitMs", "RouteLimitMs", "UsedPercent", "ArrivedVersion", "Version", "ArrivedAfterVersionMs", "AfterVersionMs", "AfterReloadMs", "AfterStopMs",
}

// endedLine returns the timing fields of the line about the end of the request.
func endedLine(t *testing.T, lines *bytes.Buffer) map[string]int64 {
	t.Helper()
	fields := map[string]int64{}
	for decoder := json.NewDecoder(lines); decoder.More(); {
		var line map[string]any
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		for _, name := range timingFields {
			if value, ok := line[name].(float64); ok && line["Event"] == "RequestEnded" {
				fields[name] = int64(value)
			}
		}
	}
	return fields
}

// timedRequest returns a stream that arrives at the newest version and may take as long as
// its route, which is less than its caller allows.
func timedRequest(d *Dispatcher) *Request {
	r := streamRequest()
	r.Route.Resumable = false
	r.Route.Timeout, r.CallerTimeout = 6*time.Second, 15*time.Second
	r.Deadline, r.InForce = r.ArrivedAt.Add(r.Route.Timeout), d.Views.Get().InForce()
	return r
}

// nextVersion publishes the view of a newer version of the configuration.
func nextVersion(d *Dispatcher, version fleet.Version) {
	view := newTestView(true)
	view.Config.Version = version
	d.Views.Publish(view)
}

// A stream that was ended at its deadline looked like one that was ended too early beside a
// change of the configuration.
func TestUnfinishedRequestsLogTheirTiming(t *testing.T) {
	endless := func(ctx context.Context) (*Response, error) {
		return &Response{Status: 200, Verified: true, Events: &fakeEvents{events: []Event{{ID: 1, Raw: []byte("a")}}, ctx: ctx}}, nil
	}
	breaksOff := func(ctx context.Context) (*Response, error) {
		events := &fakeEvents{events: []Event{{ID: 1, Raw: []byte("a")}}, err: errors.New("broken"), delay: 3 * time.Second, ctx: ctx}
		return &Response{Status: 200, Verified: true, Events: events}, nil
	}
	for name, c := range map[string]struct {
		response func(context.Context) (*Response, error)
		want     map[string]int64
	}{
		"deadline": {endless, map[string]int64{
			"CallerLimitMs": 15000, "RouteLimitMs": 6000, "UsedPercent": 100, "ArrivedVersion": 7, "Version": 8,
			"ArrivedAfterVersionMs": 300, "AfterVersionMs": 5000, "AfterReloadMs": 5000,
		}},
		"server": {breaksOff, map[string]int64{
			"CallerLimitMs": 15000, "RouteLimitMs": 6000, "UsedPercent": 50, "ArrivedVersion": 7, "Version": 8,
			"ArrivedAfterVersionMs": 300, "AfterVersionMs": 2000, "AfterReloadMs": 2000,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){c.response}})
				d.Logger = zerolog.New(&lines)
				nextVersion(d, 7)
				time.Sleep(300 * time.Millisecond)
				r := timedRequest(d)
				time.AfterFunc(time.Second, func() {
					nextVersion(d, 8)
					d.RecordReload(time.Now())
				})
				d.Serve(t.Context(), r, &fakeCaller{})
				synctest.Wait()
				time.Sleep(time.Second)
			})
			if got := endedLine(t, &lines); !maps.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestServedRequestsLogNoTiming(t *testing.T) {
	var lines bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){bodyResponse(200, "ok")}})
		d.Logger = zerolog.New(&lines)
		d.Serve(t.Context(), plainRequest(fleet.Idempotent), &fakeCaller{})
	})
	if got := endedLine(t, &lines); len(got) != 0 {
		t.Errorf("got %v, want no timing", got)
	}
}

// A refreshed view, and one of other servers, must not look like a new version.
func TestVersionIsInForceSinceItsFirstView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		views := &Views{}
		if got := views.Get().InForce(); got != (InForce{}) {
			t.Errorf("got %v, want none", got)
		}
		view := newTestView(true)
		view.Config.Version = 3
		views.Publish(view)
		want := InForce{Version: 3, Since: time.Now()}
		time.Sleep(time.Second)
		views.Publish(&View{Config: view.Config})
		views.Refresh()
		if got := views.Get().InForce(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}
