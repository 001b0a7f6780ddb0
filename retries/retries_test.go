package retries

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var b Budget
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			requests++
			b.CountRequest(now)
			for range rapid.IntRange(0, 5).Draw(rt, "failures") {
				if b.Spend(now) {
					retries++
				}
			}
		}
		refilledTokens := now.Sub(start).Seconds() / secondsPerToken
		if maximumRetries := Ratio*float64(requests) + reserveTokens + refilledTokens + 1e-6; float64(retries) > maximumRetries {
			rt.Fatalf("got %d retries for %d requests, want at most %.1f", retries, requests, maximumRetries)
		}
	})
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	for attempts := range 40 {
		low, high := Backoff(attempts, 0), Backoff(attempts, 0.999)
		if low < firstBackoff/2 || high > longestBackoff || low > high {
			t.Errorf("got %v to %v after %d attempts", low, high, attempts)
		}
	}
}

func TestRepeatedFailureDoublesEjection(t *testing.T) {
	var b Breakers
	now := start
	b.RecordFailure(now, "e1", false)
	b.RecordFailure(now, "e1", false)
	if b.IsEjected(now, "e1") {
		t.Error("got e1 ejected after two failures, want three")
	}
	b.RecordFailure(now, "e1", false)
	if !b.IsEjected(now.Add(firstEjection-1), "e1") || b.IsEjected(now.Add(firstEjection), "e1") {
		t.Errorf("got an ejection of another length than %v", firstEjection)
	}
	now = now.Add(firstEjection)
	b.RecordFailure(now, "e1", false)
	if !b.IsEjected(now.Add(2*firstEjection-1), "e1") {
		t.Error("got a second ejection shorter than twice the first")
	}
	now = now.Add(2 * firstEjection)
	b.RecordSuccess(now, "e1")
	b.RecordFailure(now, "e1", false)
	if b.IsEjected(now, "e1") {
		t.Error("got e1 ejected by one failure after a success")
	}
	b.RecordFailure(now, "e2", true)
	if !b.IsEjected(now, "e2") {
		t.Error("got no ejection of a server that could not be reached")
	}
}

func TestHedgeDelayIsAHighPercentile(t *testing.T) {
	var l FirstTokenLatency
	if _, ok := l.HedgeDelay(); ok {
		t.Error("got a hedge delay without samples")
	}
	for i := range 100 {
		l.Record(time.Duration(i+1) * 10 * time.Millisecond)
	}
	if got, _ := l.HedgeDelay(); got < 900*time.Millisecond || got > time.Second {
		t.Errorf("got a hedge after %v, want the 95th percentile of 10 ms to 1 s", got)
	}
}
