package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// inFlightShare bounds the requests that count as wrongly refused although the owner was right: the
	// reference bucket is charged when a node learns of a grant, up to 15 ms after the owner's.
	inFlightShare = 0.0002
	// simBytesPerNode is what a node may spend on control, in bytes a second.
	simBytesPerNode = 17_000
)

// siteLimits returns limits as a deployment with 250 requests a second has them: three large
// workspaces and 13 small ones.
func siteLimits() []Limit {
	rates := []float64{240_000, 120_000, 60_000, 30_000, 16_000, 9_000, 9_000, 6_000, 6_000, 4_500, 4_500, 3_600, 3_600, 2_700, 2_700, 2_700}
	var limits []Limit
	for i, r := range rates {
		limits = append(limits, Limit{Workspace: domain.WorkspaceName(fmt.Sprintf("workspace-%02d", i)), Rate: r, Burst: r})
	}
	return limits
}

// scaledLimits returns limits for about a number of requests a second.
func scaledLimits(requests float64) []Limit {
	limits := siteLimits()
	sum := 0.0
	for _, l := range limits {
		sum += l.Rate * simUsualShare / simMeanSize
	}
	for i := range limits {
		limits[i].Rate *= max(1, requests/sum)
		limits[i].Burst = limits[i].Rate
	}
	return limits
}

// scales are the sizes of deployments in the tests.
var scales = []struct {
	nodes    int
	requests float64
	seconds  int
}{{7, 25, 40}, {87, 250, 40}, {295, 2000, 20}, {940, 10_000, 14}}

// playScale plays a scale whose even workspaces use a multiple of their usual from 3 s to 9 s.
func playScale(s *simulation, seconds int, burst float64) simResult {
	s.runFor(3 * time.Second)
	for i, w := range s.workspaces {
		if i%2 == 0 && burst > 1 {
			s.burst(w, burst)
		}
	}
	s.runFor(time.Duration(seconds-3) * time.Second)
	return s.result(time.Duration(seconds) * time.Second)
}

// Guards against a window beyond the bound, against requests below the limit that are refused, and
// against more messages than nodes may spend, from 7 to 940 nodes.
func TestQuotaHoldsAtEachScale(t *testing.T) {
	for _, c := range scales {
		for _, burst := range []float64{1, 6, 8} {
			s := newSimulation(1, c.nodes, scaledLimits(c.requests))
			r := playScale(s, c.seconds, burst)
			t.Logf("%3d nodes, %.0f times the usual use: worst window %.3f, refused %.4f, of those below the limit %.5f, %.0f bytes a node and second, %.0f reports a second",
				c.nodes, burst, r.worst, r.share(r.refused), r.share(r.wrong), r.bytesPerNode, r.reports)
			if r.worst > 1 {
				t.Errorf("%d nodes, %v times the usual use: the worst window is %.3f of the bound", c.nodes, burst, r.worst)
			}
			if r.share(r.wrong) > inFlightShare || r.unknown > 0 {
				t.Errorf("%d nodes, %v times the usual use: %d of %d requests below the limit refused, %d not known", c.nodes, burst, r.wrong, r.offered, r.unknown)
			}
			if r.bytesPerNode > simBytesPerNode {
				t.Errorf("%d nodes, %v times the usual use: %.0f bytes a node and second", c.nodes, burst, r.bytesPerNode)
			}
		}
	}
}

// Compares with the shares of package limits. Guards against keeping the worse of the two designs.
func TestQuotaComparedWithSharesOfLimits(t *testing.T) {
	for _, c := range scales {
		for _, burst := range []float64{1, 6} {
			ledger := playScale(newSimulation(1, c.nodes, scaledLimits(c.requests)), c.seconds, burst)
			s := newSimulation(1, c.nodes, scaledLimits(c.requests))
			s.useShares()
			shares := playScale(s, c.seconds, burst)
			t.Logf("%3d nodes, %.0f times the usual use: worst window %.3f with the ledger and %.3f with shares, refused below the limit %.5f and %.4f, bytes %.0f and %.0f",
				c.nodes, burst, ledger.worst, shares.worst, ledger.share(ledger.wrong), shares.share(shares.wrong), ledger.bytesPerNode, shares.bytesPerNode)
			if ledger.worst > 1 || ledger.share(ledger.wrong) > shares.share(shares.wrong) {
				t.Errorf("%d nodes, %v times the usual use: the shares of package limits are better", c.nodes, burst)
			}
		}
	}
}
