package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PollInterval is how often a waiting request checks for room, beside each event that may free some.
	PollInterval = 100 * time.Millisecond
	// competitionFactor is the time until 95 of 100 waiting requests have used a free place, in mean
	// times until one does.
	competitionFactor = 3.0
)

// Add adds a request to those that wait for room.
func (c *Contention) Add(r *Contender) { c.waiting = append(c.waiting, r) }

// Remove removes a request from those that wait for room.
func (c *Contention) Remove(r *Contender) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Contender) bool { return w == r })
}

// Waiting returns the number of requests of each rank that wait for room.
func (c *Contention) Waiting() [Ranks]int {
	var counts [Ranks]int
	for _, r := range c.waiting {
		counts[r.rank()]++
	}
	return counts
}

// Order returns the requests that wait for room, in the order in which they get it.
func (c *Contention) Order(now time.Time) []*Contender {
	exceeding := map[*Contender]bool{}
	for _, r := range c.waiting {
		exceeding[r] = c.ExceedsFairShare(now, r.Workspace)
	}
	list := slices.Clone(c.waiting)
	slices.SortStableFunc(list, func(a, b *Contender) int { return compare(a, b, exceeding[a], exceeding[b]) })
	return list
}

// compare orders two requests: by rank, then those of workspaces within their fair share, then
// retried ones, then by the slack to the goal, then by arrival.
func compare(a, b *Contender, aExceeds, bExceeds bool) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		compareFlags(aExceeds, bExceeds),
		compareFlags(b.IsRetried, a.IsRetried),
		a.GoalAt.Compare(b.GoalAt),
		a.ArrivedAt.Compare(b.ArrivedAt),
	)
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ahead returns the number of waiting requests for the same model that go before a request.
func (c *Contention) ahead(now time.Time, r *Contender) int {
	exceeds, n := c.ExceedsFairShare(now, r.Workspace), 0
	for _, w := range c.waiting {
		if w != r && w.Model == r.Model && compare(w, r, c.ExceedsFairShare(now, w.Workspace), exceeds) <= 0 {
			n++
		}
	}
	return n
}

// estimateWait estimates the time until one of the servers has room for a request, if no other node
// has waiting requests.
func (c *Contention) estimateWait(now time.Time, r *Contender, servers []ServerLoad) time.Duration {
	var best time.Duration
	rate := 0.0
	for i, l := range servers {
		serverRate := float64(max(1, l.Slots)) / float64(c.hold(l))
		excess := max(1, l.InUse+1-c.Limit(now, r, l))
		wait := max(time.Duration(excess/serverRate), l.Wait)
		if i == 0 || wait < best {
			best = wait
		}
		rate += serverRate
	}
	if rate == 0 {
		return 0
	}
	return best + time.Duration(float64(c.ahead(now, r))/rate)
}

// estimateCompetition estimates the time for which the requests of other nodes use the free places.
// It is long where the take shares are low.
func (c *Contention) estimateCompetition(now time.Time, r *Contender, servers []ServerLoad) time.Duration {
	draws := 0.0
	for _, l := range servers {
		draws += c.takeShare(now, r, l)
	}
	polls := float64(1+c.ahead(now, r)) * max(0, 1/max(minimumTakeShare, draws)-1)
	return time.Duration(competitionFactor * polls * float64(PollInterval))
}
