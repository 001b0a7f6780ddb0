package arrivals

import "time"

// imnar makes weeks of parishes: bursts minutes before services, some of which
// are not held, feast days that follow no week, priests who write on late
// evenings, and translations for people abroad at any hour.
func (g *generator) imnar() {
	g.run("EEST", 3)
	g.trace.ColdStartWeight, g.trace.IdleWeight = 1, 12
	g.machines("imnar", 105, 9, "transilvania", "muntenia", "moldova")
	feasts := g.feasts()
	for m := range g.trace.Models {
		if g.chance(.4) {
			g.parish(m, feasts)
		}
		g.poisson(.05*g.logNormal(1), 0, g.trace.Length, evenings, func(at time.Duration) {
			g.session(at, m, 5, 90)
		})
		if g.chance(.2) {
			g.poisson(.08*g.logNormal(.7), 0, g.trace.Length, anyHour, func(at time.Duration) {
				g.session(at, m, 3, 60)
			})
		}
	}
}

// feasts are the days with a service beside Sundays, about one a week.
func (g *generator) feasts() []time.Duration {
	var out []time.Duration
	for d := range time.Duration(weeks * 7) {
		if d%7 != 6 && g.chance(1./6) {
			out = append(out, d*day)
		}
	}
	return out
}

// parish adds the services of the parishes that use a model. Each parish has hours
// of its own, and cantors call from half an hour before until the bell.
func (g *generator) parish(m int, feasts []time.Duration) {
	liturgy := 8*time.Hour + 30*time.Minute + time.Duration(g.rand.IntN(6))*30*time.Minute
	vespers := 17*time.Hour + time.Duration(g.rand.IntN(5))*30*time.Minute
	singers := 5 + 10*g.logNormal(.5)
	hasVespers, weekday := g.chance(.5), time.Duration(g.rand.IntN(12))
	for w := range time.Duration(weeks) {
		g.service(m, w*week+6*day+liturgy, singers, .9)
		if hasVespers {
			g.service(m, w*week+5*day+vespers, singers/2, .85)
		}
		if weekday < 5 {
			g.service(m, w*week+weekday*day+vespers, singers/3, .75)
		}
	}
	for _, f := range feasts {
		g.service(m, f+liturgy, singers, .6)
	}
}

// service adds the calls before a service that is held with a probability.
func (g *generator) service(m int, bell time.Duration, singers, held float64) {
	if !g.chance(held) {
		return
	}
	calls := int(singers * g.logNormal(.4))
	first := time.Duration(10+g.rand.IntN(20))*time.Minute + g.normal(4*time.Minute)
	g.burst(bell-first, m, calls, first)
}

func anyHour(time.Duration) float64 { return 1 }

// evenings is when priests write, most on the days before Sunday.
func evenings(at time.Duration) float64 {
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
