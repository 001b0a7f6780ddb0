package reports

import (
	"math/bits"

	"github.com/parsleylug/parsleylug/domain"
)

// concurrencySteps is the number of steps into which the concurrency of a replica is
// quantised.
const concurrencySteps = 4

// Loads are the counts of requests on one server. A replica that is not in Models
// has none.
type Loads struct {
	Server domain.ServerID
	Fence  domain.Fence
	// Sequence orders the loads under one fencing token; it is independent of the
	// sequence of the reports.
	Sequence uint64
	Models   []Load
}

// Load holds the counts of requests of one replica.
type Load struct {
	Model            domain.ModelName
	Running, Waiting int
}

// Version returns the version of the loads.
func (l Loads) Version() Version {
	return Version{Server: l.Server, Fence: l.Fence, Sequence: l.Sequence}
}

// Loads returns the loads that a report contains, not quantised.
func (s Server) Loads() Loads {
	l := Loads{Server: s.Server, Fence: s.Fence}
	for _, m := range s.Models {
		if m.Running > 0 || m.Waiting > 0 {
			l.Models = append(l.Models, Load{Model: m.Model, Running: m.Running, Waiting: m.Waiting})
		}
	}
	return l
}

// Total returns the loads with one sum over all models in place of the models.
func (l Loads) Total() Loads {
	var sum Load
	for _, m := range l.Models {
		sum.Running += m.Running
		sum.Waiting += m.Waiting
	}
	l.Models = []Load{sum}
	return l
}

// QuantiseRunning rounds running requests down: below the concurrency to steps of a
// quarter of it, from there on to the concurrency times a power of two. A full
// replica never looks as if it had room, nor the reverse.
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

// Quantise returns the loads as subscribers receive them: quantised, without the
// replicas that have none.
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
