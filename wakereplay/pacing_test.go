package wakereplay

import (
	"testing"
	"time"
)

func pacingCase(s PacingScheme, nodes int) PacingCase {
	return PacingCase{Scheme: s, Nodes: nodes, Length: time.Hour, Seed: 1, FallbackShare: true}
}

// TestPacing prints the figures of docs/design/pacing.md and checks that no scheme with
// granters exceeds the number of full-speed slots while none fails.
func TestPacing(t *testing.T) {
	for _, nodes := range []int{7, 940} {
		for _, s := range []PacingScheme{PacerNode, DividedShares, LentShares} {
			healthy, slow, failing := pacingCase(s, nodes), pacingCase(s, nodes), pacingCase(s, nodes)
			slow.Slowdown = 1.5
			failing.GranterFailsAt = 5*time.Minute + time.Second
			for _, c := range []PacingCase{healthy, slow, failing} {
				r := RunPacing(c)
				t.Logf("%v, %d nodes, slowdown %v, granter fails at %v: waits p50 %.1f s, p95 %.1f s, p99 %.1f s, utilization %.3f, at most %d at once, unfinished %d", s, nodes, c.Slowdown, c.GranterFailsAt,
					r.Quantile(.5).Seconds(), r.Quantile(.95).Seconds(), r.Quantile(.99).Seconds(), r.Utilization, r.MaxConcurrent, r.Unfinished)
				if got, want := r.MaxConcurrent, storeSlots; s != DividedShares && c.GranterFailsAt == 0 && got > want {
					t.Errorf("%v, %d nodes: got %d loads at once, want at most %d", s, nodes, got, want)
				}
			}
		}
	}
}

// TestDeadPacerWithoutFallbackShares checks that without fallback shares at most two sets of
// slots are in use after the pacer fails: its own and its successor's. It prints the figures
// with and without fallback shares.
func TestDeadPacerWithoutFallbackShares(t *testing.T) {
	c := pacingCase(PacerNode, 940)
	c.GranterFailsAt, c.FallbackShare = 5*time.Minute+time.Second, false
	r := RunPacing(c)
	if got, want := r.MaxConcurrent, 2*storeSlots; got > want {
		t.Errorf("got %d loads at once, want at most %d, the slots of the failed pacer and of its successor", got, want)
	}
	c.FallbackShare = true
	withShares := RunPacing(c)
	t.Logf("waits p95 without fallback shares %.1f s, at most %d at once; with %.1f s, %d", r.Quantile(.95).Seconds(), r.MaxConcurrent, withShares.Quantile(.95).Seconds(), withShares.MaxConcurrent)
}
