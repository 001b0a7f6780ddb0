package arrivals

import "time"

// generateImnar generates the requests of parishes: bursts in the minutes before services, some
// of which do not take place, feast days on irregular weekdays, priests who work in the late
// evening, and translations for people abroad at any hour.
func (g *generator) generateImnar() {
	g.setPeriod("EEST", 3)
	g.trace.ColdStartWeight, g.trace.IdleWeight = 1, 12
	g.addModelsAndServers("imnar", 105, 9, "transilvania", "muntenia", "moldova") //nolint:misspell // The region's own name.
	feasts := g.feastDays()
	for m := range g.trace.Models {
		if g.chance(.4) {
			g.addParishServices(m, feasts)
		}
		g.eachPoissonArrival(.05*g.logNormal(1), 0, g.trace.Length, eveningShare, func(at time.Duration) {
			g.addSession(at, m, 5, 90)
		})
		if g.chance(.2) {
			g.eachPoissonArrival(.08*g.logNormal(.7), 0, g.trace.Length, constantShare, func(at time.Duration) {
				g.addSession(at, m, 3, 60)
			})
		}
	}
}

// feastDays returns the days with a service other than Sundays, about one a week.
func (g *generator) feastDays() []time.Duration {
	var out []time.Duration
	for d := range time.Duration(weeks * 7) {
		if d%7 != 6 && g.chance(1./6) {
			out = append(out, d*day)
		}
	}
	return out
}

// addParishServices adds the services of the parishes that use a model. The hours of the services
// differ between models.
func (g *generator) addParishServices(m int, feasts []time.Duration) {
	liturgy := 8*time.Hour + 30*time.Minute + time.Duration(g.rand.IntN(6))*30*time.Minute
	vespers := 17*time.Hour + time.Duration(g.rand.IntN(5))*30*time.Minute
	cantors := 5 + 10*g.logNormal(.5)
	hasVespers, weekday := g.chance(.5), time.Duration(g.rand.IntN(12))
	for w := range time.Duration(weeks) {
		g.addService(m, w*week+6*day+liturgy, cantors, .9)
		if hasVespers {
			g.addService(m, w*week+5*day+vespers, cantors/2, .85)
		}
		if weekday < 5 {
			g.addService(m, w*week+weekday*day+vespers, cantors/3, .75)
		}
	}
	for _, f := range feasts {
		g.addService(m, f+liturgy, cantors, .6)
	}
}

// addService adds the requests before a service, which takes place with a probability. They are
// spread over the 10 to 30 minutes before its start.
func (g *generator) addService(m int, start time.Duration, cantors, heldProbability float64) {
	if !g.chance(heldProbability) {
		return
	}
	calls := int(cantors * g.logNormal(.4))
	first := time.Duration(10+g.rand.IntN(20))*time.Minute + g.normal(4*time.Minute)
	g.addBurst(start-first, m, calls, first)
}

func constantShare(time.Duration) float64 { return 1 }

// eveningShare returns the share of the usual rate at which priests send requests, highest in
// the evenings from Thursday to Saturday.
func eveningShare(at time.Duration) float64 {
	hour := (at % day).Hours()
	share := .1
	if hour >= 18 && hour < 23 {
		share = 1
	}
	if d := at % week; d < 3*day || d >= 6*day {
		share *= .4
	}
	return share
}
