package wakereplay

import (
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"
)

// firstSeed is the default first seed. The policy was tuned on seeds 1 to 6, 112 and 113, so
// the acceptance runs use others.
const firstSeed = 101

// seeds returns the seeds to run: PARSLEYLUG_SEEDS of them (2 by default), from
// PARSLEYLUG_FIRST_SEED on.
func seeds(t *testing.T) []uint64 {
	first := intFromEnvironment(t, "PARSLEYLUG_FIRST_SEED", firstSeed)
	var out []uint64
	for i := range intFromEnvironment(t, "PARSLEYLUG_SEEDS", 2) {
		out = append(out, uint64(first+i))
	}
	return out
}

func intFromEnvironment(t *testing.T, variable string, fallback int) int {
	v := os.Getenv(variable)
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestImnar requires at most half the 99th percentile wait of a fixed keep-alive of 10 minutes,
// at no more idle time.
func TestImnar(t *testing.T) { compareWithBaseline(t, "imnar", Fixed(10*time.Minute), 2, 1) }

// TestCoral requires at most half the idle time of a fixed keep-alive of 10 minutes, at no
// longer 99th percentile wait.
func TestCoral(t *testing.T) { compareWithBaseline(t, "coral", Fixed(10*time.Minute), 1, 2) }

// TestImnarPermitsRest and TestCoralPermitsRest require the same against a baseline whose
// models return to the server that loaded them last.
func TestImnarPermitsRest(t *testing.T) {
	compareWithBaseline(t, "imnar", FixedWithPermits(10*time.Minute), 2, 1)
}

func TestCoralPermitsRest(t *testing.T) {
	compareWithBaseline(t, "coral", FixedWithPermits(10*time.Minute), 1, 2)
}

// compareWithBaseline requires the policy's 99th percentile wait and idle time to be at most
// the baseline's, divided by waitDivisor and idleDivisor.
func compareWithBaseline(t *testing.T, name string, baseline Strategy, waitDivisor, idleDivisor time.Duration) {
	t.Parallel()
	for _, seed := range seeds(t) {
		trace := generateTrace(t, name, seed)
		p, base := Run(trace, Policy()), Run(trace, baseline)
		if got, want := p.Quantile(.99), base.Quantile(.99)/waitDivisor; got > want {
			t.Errorf("seed %d: got a p99 wait of %v, want at most %v", seed, got, want)
		}
		if got, want := p.Idle, base.Idle/idleDivisor; got > want {
			t.Errorf("seed %d: got %v idle, want at most %v", seed, got, want)
		}
		t.Logf("seed %d: p99 %v of %v, idle %.1f of %.1f hours", seed, p.Quantile(.99), base.Quantile(.99), p.Idle.Hours(), base.Idle.Hours())
	}
}

// TestOracleOfKeeping requires a weighted cost of at most 1.5 times that of an oracle that
// knows the length of every idle period but does not pre-warm.
func TestOracleOfKeeping(t *testing.T) { compareWithOracle(t, Oracle(false)) }

// TestOracle requires the same against an oracle that also pre-warms just before each arrival.
func TestOracle(t *testing.T) { compareWithOracle(t, Oracle(true)) }

func compareWithOracle(t *testing.T, o Strategy) {
	t.Parallel()
	for _, name := range []string{"imnar", "coral"} {
		for _, seed := range seeds(t) {
			trace := generateTrace(t, name, seed)
			p, optimum := Run(trace, Policy()), Run(trace, o)
			if got, want := p.Cost(), 1.5*optimum.Cost(); got > want {
				t.Errorf("%s, seed %d: got a cost of %.0f, want at most %.0f", name, seed, got, want)
			}
			t.Logf("%s, seed %d: %.3f times the oracle's cost", name, seed, p.Cost()/optimum.Cost())
		}
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	trace := generateTrace(t, "imnar", firstSeed)
	got, want := Run(trace, Policy()), Run(trace, Policy())
	if !reflect.DeepEqual(got, want) {
		t.Error("two replays of one trace differ")
	}
}
