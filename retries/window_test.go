package retries

import (
	"testing"
	"time"
)

func TestWindowBoundsEachSpan(t *testing.T) {
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
		t.Errorf("spent: got %d, want %d", got, want)
	}
	if w.Spend(now.Add(8 * time.Second)) {
		t.Error("spent again within the window")
	}
	if !w.Spend(now.Add(11 * time.Second)) {
		t.Error("the reserve is not back after the window")
	}
}

func TestHedgesLeaveHalfOfTheBudget(t *testing.T) {
	w := WindowBudget{Length: 10 * time.Second, Reserve: 8}
	now := time.Unix(1_000_000, 0)
	hedges, others := 0, 0
	for range 20 {
		if w.SpendHedge(now) {
			hedges++
		}
	}
	for range 20 {
		if w.Spend(now) {
			others++
		}
	}
	if got, want := [2]int{hedges, others}, [2]int{4, 4}; got != want {
		t.Errorf("hedges and others: got %v, want %v", got, want)
	}
}

func TestZeroWindowAllowsNothing(t *testing.T) {
	var w WindowBudget
	if w.Spend(time.Unix(1_000_000, 0)) {
		t.Error("a zero window allowed a sending")
	}
}
