package dispatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// samplesOfTests is the number of requests from which a duration is well known.
const samplesOfTests = 64

// recordDurations records served requests that end now.
func recordDurations(r *recentDurations, k durationKey, d time.Duration, count int) {
	for range count {
		r.end(time.Now(), r.start(time.Now().Add(-d), k), true)
	}
}

// recordFailure records a request that ends now and was not served.
func recordFailure(r *recentDurations, k durationKey, d time.Duration) {
	r.end(time.Now(), r.start(time.Now().Add(-d), k), false)
}

// checkBound checks the time that a share of the requests exceeds, to the width of a class.
func checkBound(t *testing.T, name string, r *recentDurations, k durationKey, share float64, want time.Duration, wantKnown bool) {
	t.Helper()
	got, isKnown := r.distribution(time.Now(), k).exceededBy(share)
	if got < want || float64(got) > 1.1*float64(want) || isKnown != wantKnown {
		t.Errorf("%s: got %v, known %v, want %v to a tenth more, known %v", name, got, isKnown, want, wantKnown)
	}
}

// Durations must count for one period at least, by route and service, and no failure may make a
// route look fast.
func TestRecentDurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recentDurations
		k, otherRoute, otherService := durationKey{"r", "s"}, durationKey{"r2", "s"}, durationKey{"r", "s2"}
		checkBound(t, "nothing recorded", &r, k, 0, shortestClass, false)
		recordFailure(&r, k, time.Minute)
		checkBound(t, "no request served", &r, k, usualShare, time.Minute, false)
		time.Sleep(2 * durationsPeriod)
		recordDurations(&r, k, time.Second, 40)
		recordFailure(&r, k, 500*time.Millisecond)
		checkBound(t, "a failure that is faster", &r, k, lateCutShare, time.Second, true)
		recordDurations(&r, k, 2*time.Second, 1)
		checkBound(t, "one of 41 slow, usual", &r, k, usualShare, time.Second, true)
		checkBound(t, "one of 41 slow, 95th percentile", &r, k, 0.05, time.Second, true)
		checkBound(t, "one of 41 slow, slowest", &r, k, lateCutShare, 2*time.Second, true)
		recordFailure(&r, k, 3*time.Second)
		checkBound(t, "a failure that is slower", &r, k, lateCutShare, 3*time.Second, false)
		time.Sleep(durationsPeriod)
		checkBound(t, "after a period", &r, k, 0.05, time.Second, true)
		checkBound(t, "another route", &r, otherRoute, 0, shortestClass, false)
		checkBound(t, "another service", &r, otherService, 0, shortestClass, false)
		recordDurations(&r, k, 3*time.Second, 128)
		time.Sleep(durationsPeriod)
		checkBound(t, "after two periods", &r, k, usualShare, 3*time.Second, true)
		time.Sleep(2 * durationsPeriod)
		checkBound(t, "after four periods", &r, k, 0, shortestClass, false)
	})
}

// Guards against LOST: requests that still ran did not count, though their age is a lower bound
// of their duration.
func TestRunningRequestsCountAsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recentDurations
		k := durationKey{"r", "s"}
		recordDurations(&r, k, 200*time.Millisecond, 30)
		var running []*measuredRequest
		for range 10 {
			running = append(running, r.start(time.Now(), k))
		}
		checkBound(t, "just started", &r, k, 0.05, 200*time.Millisecond, true)
		time.Sleep(time.Second)
		checkBound(t, "ten of 40 longer, usual", &r, k, usualShare, 200*time.Millisecond, true)
		checkBound(t, "ten of 40 longer, 95th percentile", &r, k, 0.05, time.Second, false)
		for _, m := range running {
			r.end(time.Now(), m, true)
		}
		checkBound(t, "ten of 40 have taken 1 s", &r, k, 0.05, time.Second, true)
		r.forget(r.start(time.Now().Add(-time.Minute), k))
		checkBound(t, "one forgotten", &r, k, 0, time.Second, true)
	})
}

// Guards against LOST: the last request that had ended was the longest of all, so that the others,
// which still ran, counted as short, and a new one was passed on and cut off.
func TestRunningRequestsMakeFewServedOnesUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recentDurations
		k := durationKey{"r", "s"}
		for _, ms := range []time.Duration{151, 325, 655, 1029, 1390, 1598} {
			recordDurations(&r, k, ms*time.Millisecond, 1)
		}
		for _, ms := range []time.Duration{752, 841, 865, 903, 986, 1046, 1053, 1068, 1104, 1206, 1208, 1225, 1244, 1257, 1440} {
			r.start(time.Now().Add(-ms*time.Millisecond), k)
		}
		checkBound(t, "15 of 21 run", &r, k, 0.05, 1598*time.Millisecond, false)
	})
}

// The classes must cover all durations, each with an upper bound that is not less.
func TestDurationClasses(t *testing.T) {
	for _, d := range []time.Duration{0, 1, time.Millisecond, time.Millisecond + 1, 10 * time.Millisecond, time.Second, 7500 * time.Millisecond, 2 * time.Minute} {
		class := durationClass(d)
		if bound := upperBound(class); bound < d {
			t.Errorf("%v: got class %d up to %v", d, class, bound)
		}
		if class > 0 && upperBound(class-1) >= d {
			t.Errorf("%v: got class %d, want an earlier one, which ends at %v", d, class, upperBound(class-1))
		}
	}
	if got, want := durationClass(time.Hour), durationClassCount-1; got != want {
		t.Errorf("an hour: got class %d, want %d", got, want)
	}
}
