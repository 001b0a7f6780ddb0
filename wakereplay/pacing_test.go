package wakereplay

import (
	"testing"
	"time"
)

func pacingCase(s PacingScheme, nodes int) PacingCase {
	return PacingCase{Scheme: s, Nodes: nodes, Length: time.Hour, Seed: 1, OwnShare: true}
}

// TestPacing prints the figures of docs/design/pacing.md and holds what a pacer is for: full speed.
func TestPacing(t *testing.T) {
	for _, nodes := range []int{7, 940} {
		for _, s := range []PacingScheme{PacerNode, DividedShares, LentShares} {
			well, slow, dies := pacingCase(s, nodes), pacingCase(s, nodes), pacingCase(s, nodes)
			slow.Slowdown = 1.5
			dies.Dies = 5*time.Minute + time.Second
			for _, c := range []PacingCase{well, slow, dies} {
				r := RunPacing(c)
				t.Logf("%v, %d nodes, slowdown %v, dies at %v: waits p50 %.1f s, p95 %.1f s, p99 %.1f s, busy %.3f, at once %d, unfinished %d", s, nodes, c.Slowdown, c.Dies,
					r.Quantile(.5).Seconds(), r.Quantile(.95).Seconds(), r.Quantile(.99).Seconds(), r.Busy, r.MostAtOnce, r.Unfinished)
				if got, want := r.MostAtOnce, storeSlots; s != DividedShares && c.Dies == 0 && got > want {
					t.Errorf("%v, %d nodes: got %d loads at once, want at most %d", s, nodes, got, want)
				}
			}
		}
	}
}

// TestDeadPacerWithoutOwnShares shows what a node's own share costs or saves while the pacer is dead.
func TestDeadPacerWithoutOwnShares(t *testing.T) {
	c := pacingCase(PacerNode, 940)
	c.Dies, c.OwnShare = 5*time.Minute+time.Second, false
	r := RunPacing(c)
	if got, want := r.MostAtOnce, 2*storeSlots; got > want {
		t.Errorf("got %d loads at once, want at most the dead pacer's and the next one's %d", got, want)
	}
	c.OwnShare = true
	own := RunPacing(c)
	t.Logf("waits p95 without own shares %.1f s, at once %d; with %.1f s, %d", r.Quantile(.95).Seconds(), r.MostAtOnce, own.Quantile(.95).Seconds(), own.MostAtOnce)
}
