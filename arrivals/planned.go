package arrivals

import "time"

// planned makes two days at the planned size, for the cost of decisions. Its
// adapters are not part of it: an adapter is served by its base model's replica.
func (g *generator) planned() {
	g.run("AEST", 10)
	g.trace.ColdStartWeight, g.trace.IdleWeight = 1, 120
	g.trace.Length, g.trace.Measured = 2*day, day
	g.machines("planned", 1500, 4000, "brisbane", "townsville", "toowoomba")
	for m := range g.trace.Models {
		g.poisson(.5*g.logNormal(1), 0, g.trace.Length, officeHours, func(at time.Duration) {
			g.session(at, m, 4, 75)
		})
	}
}
