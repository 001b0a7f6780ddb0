package arrivals

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	day  = 24 * time.Hour
	week = 7 * day
	// weeks is the length of the imnar and coral traces. Figures are taken from the last week.
	weeks = 4
)

// Names returns the names of the traces that Generate knows.
func Names() []string { return []string{"coral", "imnar", "planned"} }

// Generate generates the trace with a name.
func Generate(name string, seed uint64) (*Trace, error) {
	g := &generator{rand: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	g.trace.Name, g.trace.Seed = name, seed
	switch name {
	case "coral":
		g.generateCoral()
	case "imnar":
		g.generateImnar()
	case "planned":
		g.generatePlanned()
	default:
		return nil, errors.Errorf("unknown trace %q, want one of %v", name, Names())
	}
	slices.SortStableFunc(g.trace.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return &g.trace, nil
}

type generator struct {
	rand  *rand.Rand
	trace Trace
}

// setPeriod sets the period of the trace, which starts on a Monday.
func (g *generator) setPeriod(zone string, offsetHours int) {
	g.trace.Start = time.Date(2026, 9, 7, 0, 0, 0, 0, time.FixedZone(zone, offsetHours*3600))
	g.trace.Length = weeks * week
	g.trace.MeasuredFrom = (weeks - 1) * week
}

// addModelsAndServers adds models and servers. The memory of a server holds two to four models.
func (g *generator) addModelsAndServers(prefix string, models, servers int, regions ...domain.Region) {
	for i := range models {
		g.trace.Models = append(g.trace.Models, Model{
			Name:   domain.ModelName(fmt.Sprintf("%s-%04d", prefix, i)),
			Size:   domain.Bytes(12+4*g.rand.IntN(5)) * domain.Gibibyte,
			Region: regions[g.rand.IntN(len(regions))],
		})
	}
	for i := range servers {
		s := Server{
			ID:          domain.ServerID(fmt.Sprintf("engine-%04d", i)),
			Region:      regions[i%len(regions)],
			Memory:      56 * domain.Gibibyte,
			DiskSlots:   4 + g.rand.IntN(20),
			MemorySlots: 1 + g.rand.IntN(3),
		}
		s.OnDisk = g.rand.Perm(models)[:min(models, g.rand.IntN(s.DiskSlots+1))]
		g.trace.Servers = append(g.trace.Servers, s)
	}
}

// addRequest adds a request if it is within the trace.
func (g *generator) addRequest(at time.Duration, model int) {
	if at < 0 || at >= g.trace.Length {
		return
	}
	g.trace.Requests = append(g.trace.Requests, Request{
		At:           at,
		Model:        model,
		ResponseTime: time.Duration((2 + g.rand.ExpFloat64()*6) * float64(time.Second)),
		Timeout:      time.Minute,
	})
}

// addSession adds the requests of one user who works with a model for a while.
func (g *generator) addSession(at time.Duration, model int, meanRequests, meanPauseSeconds float64) {
	for {
		g.addRequest(at, model)
		if g.rand.Float64() < 1/meanRequests {
			return
		}
		at += g.exponential(meanPauseSeconds)
	}
}

// addBurst adds the requests of many users, spread evenly over a period.
func (g *generator) addBurst(at time.Duration, model, requests int, length time.Duration) {
	for range requests {
		g.addRequest(at+time.Duration(g.rand.Float64()*float64(length)), model)
	}
}

// exponential returns an exponentially distributed duration.
func (g *generator) exponential(meanSeconds float64) time.Duration {
	return time.Duration(g.rand.ExpFloat64() * meanSeconds * float64(time.Second))
}

// normal returns a normally distributed duration with mean zero.
func (g *generator) normal(standardDeviation time.Duration) time.Duration {
	return time.Duration(g.rand.NormFloat64() * float64(standardDeviation))
}

// logNormal returns a log-normally distributed factor with median 1.
func (g *generator) logNormal(sigma float64) float64 {
	return math.Exp(g.rand.NormFloat64() * sigma)
}

// eachPoissonArrival calls f for each arrival of a Poisson process between from and until.
// share thins the process: it returns the share of ratePerHour at a time of the trace.
func (g *generator) eachPoissonArrival(ratePerHour float64, from, until time.Duration, share func(time.Duration) float64, f func(time.Duration)) {
	if ratePerHour <= 0 {
		return
	}
	for at := from + g.exponential(3600/ratePerHour); at < until; at += g.exponential(3600 / ratePerHour) {
		if g.rand.Float64() < share(at) {
			f(at)
		}
	}
}

func (g *generator) chance(p float64) bool { return g.rand.Float64() < p }
