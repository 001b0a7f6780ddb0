package arrivals

import "time"

// generateCoral generates the requests of a franchise network: office hours and long idle
// times, weekly reports that are sometimes skipped, and batches at random times. A tenth of the
// models come into use or fall out of use within the trace.
func (g *generator) generateCoral() {
	g.setPeriod("AEST", 10)
	g.trace.ColdStartWeight, g.trace.IdleWeight = 1, 240
	g.addModelsAndServers("coral", 100, 9, "brisbane", "townsville", "toowoomba")
	for m := range g.trace.Models {
		from, until := g.randomLifetime()
		rate := .12 * g.logNormal(1.2)
		g.eachPoissonArrival(rate, from, until, officeHoursShare, func(at time.Duration) {
			g.addSession(at, m, 4, 75)
		})
		if g.chance(.25) {
			g.addWeeklyReports(m, from, until)
		}
	}
	g.eachPoissonArrival(5./7/24, 0, g.trace.Length, func(time.Duration) float64 { return 1 }, g.addBatch)
}

// randomLifetime returns the period in which a model is used: the whole trace for nine of ten
// models.
func (g *generator) randomLifetime() (from, until time.Duration) {
	until = g.trace.Length
	switch p := g.rand.Float64(); {
	case p < .05:
		from = time.Duration(g.rand.Float64() * float64(until))
	case p < .1:
		until = time.Duration(g.rand.Float64() * float64(until))
	}
	return from, until
}

// officeHoursShare returns the share of the usual rate at a time of the week.
func officeHoursShare(at time.Duration) float64 {
	hour := (at % day).Hours()
	share := .03
	switch {
	case hour >= 8 && hour < 12, hour >= 13 && hour < 17:
		share = 1
	case hour >= 7 && hour < 18:
		share = .5
	}
	if at%week >= 5*day {
		share *= .12
	}
	return share
}

// addWeeklyReports adds a session at about the same time each week. Every fifth on average is
// skipped.
func (g *generator) addWeeklyReports(m int, from, until time.Duration) {
	usualTime := time.Duration(g.rand.IntN(5))*day + 8*time.Hour + time.Duration(g.rand.Float64()*9*float64(time.Hour))
	for w := range time.Duration(weeks) {
		at := w*week + usualTime + g.normal(20*time.Minute)
		if at < from || at > until || g.chance(.2) {
			continue
		}
		g.addSession(at, m, 10, 40)
	}
}

// addBatch adds bursts of requests for one to three models.
func (g *generator) addBatch(at time.Duration) {
	for range 1 + g.rand.IntN(3) {
		m := g.rand.IntN(len(g.trace.Models))
		g.addBurst(at+g.exponential(120), m, 20+g.rand.IntN(60), time.Duration(4+g.rand.IntN(16))*time.Minute)
	}
}
