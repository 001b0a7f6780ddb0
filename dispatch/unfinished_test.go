package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
)

// leaveServer lets a caller leave while a server is silent, and returns that server and the content of the
// request.
func leaveServer(t *testing.T, d *Dispatcher, b *fakeBackend) (domain.ServerID, suspects.Content) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := plainRequest(fleet.NonIdempotent)
	r.Content = suspects.Content{1}
	if got, want := d.Serve(ctx, r, &fakeCaller{}), Left; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	return b.received[len(b.received)-1].server, r.Content
}

// Guards against BUDGET: a request whose caller had left was not among those on the server as it crashed,
// though other nodes saw the crash. What ended long before counts for nothing.
func TestCrashSeenByAnotherNodeCountsForUnfinishedRequests(t *testing.T) {
	for delay, want := range map[time.Duration]suspects.Standing{100 * time.Millisecond: suspects.Suspected, 700 * time.Millisecond: suspects.Clean} {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}}
			d := newTestDispatcher(b)
			var reports []suspects.Report
			d.ReportCrash = func(r suspects.Report) { reports = append(reports, r) }
			server, content := leaveServer(t, d, b)
			const transit = 200 * time.Millisecond
			time.Sleep(delay + transit)
			d.ApplyTraitReport(suspects.TraitReport{Crashes: []suspects.TraitCrash{{Server: server, Age: transit}}})
			synctest.Wait()
			if got := d.standing(content); got != want {
				t.Errorf("%v after the end: got %v, want %v", delay, got, want)
			}
			if got, want := len(reports) == 1, want == suspects.Suspected; got != want {
				t.Errorf("%v after the end: got reports %+v", delay, reports)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against BUDGET: a server that refuses connections right after a caller has left may have crashed
// of that request. A server that cannot be reached for another reason, or later, has not.
func TestRefusedConnectionAfterTheCallerLeft(t *testing.T) {
	tests := []struct {
		delay time.Duration
		reach error
		want  suspects.Standing
	}{
		{100 * time.Millisecond, errors.New("connection refused"), suspects.Suspected},
		{100 * time.Millisecond, nil, suspects.Clean},
		{700 * time.Millisecond, errors.New("connection refused"), suspects.Clean},
	}
	for _, c := range tests {
		t.Run(fmt.Sprintf("%v, %v", c.delay, c.reach), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}}
				d := newTestDispatcher(b)
				server, content := leaveServer(t, d, b)
				time.Sleep(c.delay)
				b.setReachError(c.reach)
				d.checkUnfinished(&fleet.Server{ID: server})
				time.Sleep(time.Second)
				if got := d.standing(content); got != c.want {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against BUDGET: the connection of an attempt that had ended broke, and nobody looked at its server.
func TestConnectionThatBreaksAfterTheAttemptIsChecked(t *testing.T) {
	for reach, want := range map[error]suspects.Standing{errors.New("connection refused"): suspects.Suspected, nil: suspects.Clean} {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}, reachError: reach}
			d := newTestDispatcher(b)
			_, content := leaveServer(t, d, b)
			b.received[0].attempt.OnBreak(errors.New("reset"))
			time.Sleep(time.Second)
			if got := d.standing(content); got != want {
				t.Errorf("reach %v: got %v, want %v", reach, got, want)
			}
		})
	}
}

// Sound servers get few connections more because callers leave: one check in idleCheckInterval.
func TestIdleServersAreCheckedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &countingReach{fakeBackend: fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}}}
		d := newTestDispatcher(b)
		for range 10 {
			leaveServer(t, d, &b.fakeBackend)
		}
		time.Sleep(2 * time.Second)
		if got, want := b.reached, 1; got != want {
			t.Errorf("got %d checks, want %d", got, want)
		}
	})
}

// countingReach counts the calls of Reach.
type countingReach struct {
	fakeBackend
	reached int
}

func (b *countingReach) Reach(context.Context, *fleet.Server) error {
	b.reached++
	return nil
}

// The attempts that are kept have a bound, and expire.
func TestUnfinishedAttemptsAreBounded(t *testing.T) {
	var u unfinishedAttempts
	now := time.Unix(1_000_000, 0)
	for range 2 * maximumUnfinished {
		u.add(unfinishedAttempt{server: "a", endedAt: now})
	}
	if got, want := len(u.list), maximumUnfinished; got != want {
		t.Errorf("got %d attempts, want %d", got, want)
	}
	u.add(unfinishedAttempt{server: "a", endedAt: now.Add(2 * unfinishedLifetime)})
	if got, want := len(u.list), 1; got != want {
		t.Errorf("after their lifetime: got %d attempts, want %d", got, want)
	}
	if got, want := len(u.take("a", now.Add(2*unfinishedLifetime))), 1; got != want || len(u.list) != 0 {
		t.Errorf("got %d requests and %d left, want %d and none", got, len(u.list), want)
	}
}

// Only attempts whose server may still work on the request count.
func TestResultsThatMayCrashAServer(t *testing.T) {
	for result, want := range map[string]bool{"Answered": false, "Full": false, "Elsewhere": false, "Unreached": false, "FailedThere": false, "Cut": true, "Replaced": true, "Unanswered": true} {
		if got := mayCrashServer(result); got != want {
			t.Errorf("%s: got %v, want %v", result, got, want)
		}
	}
}
