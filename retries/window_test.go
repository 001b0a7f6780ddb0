package retries

import (
	"testing"
	"time"
)

func TestWindowBudgetBoundsRetries(t *testing.T) {
	w := WindowBudget{Length: 10 * time.Second, Ratio: 0.2, Reserve: 3}
	now := time.Unix(1_000_000, 0)
	spent := 0
	for range 100 {
		w.CountRequest(now)
	}
	for range 100 {
		if w.Spend(now) {
			spent++
		}
	}
	if got, want := spent, 23; got != want {
		t.Errorf("got %d attempts allowed, want %d", got, want)
	}
	if w.Spend(now.Add(8 * time.Second)) {
		t.Error("got another attempt allowed within the window")
	}
	if !w.Spend(now.Add(11 * time.Second)) {
		t.Error("got no attempt allowed after the window, want the reserve back")
	}
}

func TestHedgesLeaveHalfOfTheBudget(t *testing.T) {
	w := WindowBudget{Length: 10 * time.Second, Reserve: 8}
	now := time.Unix(1_000_000, 0)
	hedges, retries := 0, 0
	for range 20 {
		if w.SpendHedge(now) {
			hedges++
		}
	}
	for range 20 {
		if w.Spend(now) {
			retries++
		}
	}
	if got, want := [2]int{hedges, retries}, [2]int{4, 4}; got != want {
		t.Errorf("got %v hedges and other attempts, want %v", got, want)
	}
}

func TestZeroWindowAllowsNothing(t *testing.T) {
	var w WindowBudget
	if w.Spend(time.Unix(1_000_000, 0)) {
		t.Error("got an attempt allowed by the zero window")
	}
}
