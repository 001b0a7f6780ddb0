package arrivals

import "time"

// generatePlanned generates two days at the planned size, to measure the cost of the decisions.
// It has no adapters, because the replica of the base model serves them.
func (g *generator) generatePlanned() {
	g.setPeriod("AEST", 10)
	g.trace.ColdStartWeight, g.trace.IdleWeight = 1, 120
	g.trace.Length, g.trace.MeasuredFrom = 2*day, day
	g.addModelsAndServers("planned", 1500, 4000, "brisbane", "townsville", "toowoomba")
	for m := range g.trace.Models {
		g.eachPoissonArrival(.5*g.logNormal(1), 0, g.trace.Length, officeHoursShare, func(at time.Duration) {
			g.addSession(at, m, 4, 75)
		})
	}
}
