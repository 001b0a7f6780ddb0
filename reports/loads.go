package reports

import (
	"math/bits"

	"github.com/parsleylug/parsleylug/domain"
)

// concurrencySteps is the number of steps to which QuantiseRunning rounds request
// counts below the concurrency of a replica.
const concurrencySteps = 4

// Loads are the request counts of the replicas on one server. A replica that is not in
// Models has no requests.
type Loads struct {
	Server domain.ServerID
	Fence  domain.Fence
	// Sequence orders the loads under one fencing token; it is independent of the
	// sequence of the reports.
	Sequence uint64
	Models   []Load
}

// Load holds the numbers of requests that one replica runs and queues.
type Load struct {
	Model            domain.ModelName
	Running, Waiting int
}

// Version returns the version of the loads.
func (l Loads) Version() Version {
	return Version{Server: l.Server, Fence: l.Fence, Sequence: l.Sequence}
}

// Loads returns the request counts that the report contains, not quantised and without
// a sequence number.
func (s Server) Loads() Loads {
	l := Loads{Server: s.Server, Fence: s.Fence}
	for _, m := range s.Models {
		if m.Running > 0 || m.Waiting > 0 {
			l.Models = append(l.Models, Load{Model: m.Model, Running: m.Running, Waiting: m.Waiting})
		}
	}
	return l
}

// Total returns the loads with the sums over all models as the only element of Models;
// its model name is "".
func (l Loads) Total() Loads {
	var sum Load
	for _, m := range l.Models {
		sum.Running += m.Running
		sum.Waiting += m.Waiting
	}
	l.Models = []Load{sum}
	return l
}

// QuantiseRunning rounds a number of running requests down: below the concurrency to a
// multiple of a quarter of the concurrency, and otherwise to the concurrency times a
// power of two. So a full replica never appears to have a free slot, nor a replica with
// a free slot to be full.
func QuantiseRunning(n, concurrency int) int {
	if concurrency < 1 || n <= 0 {
		return max(n, 0)
	}
	if n < concurrency {
		step := max(concurrency/concurrencySteps, 1)
		return n / step * step
	}
	return concurrency * powerOfTwo(n/concurrency)
}

// QuantiseWaiting rounds waiting requests down to a power of two, or to 0.
func QuantiseWaiting(n int) int {
	if n <= 0 {
		return 0
	}
	return powerOfTwo(n)
}

// powerOfTwo returns the largest power of two up to n, which must be at least 1.
func powerOfTwo(n int) int { return 1 << (bits.Len(uint(n)) - 1) }

// Quantise returns the loads as subscribers receive them: with quantised counts and
// without the replicas whose counts are all 0. concurrency returns the number of slots
// of a model's replica.
func (l Loads) Quantise(concurrency func(domain.ModelName) int) Loads {
	out := l
	out.Models = nil
	for _, m := range l.Models {
		m.Running, m.Waiting = QuantiseRunning(m.Running, concurrency(m.Model)), QuantiseWaiting(m.Waiting)
		if m.Running > 0 || m.Waiting > 0 {
			out.Models = append(out.Models, m)
		}
	}
	return out
}
