package admission

import "time"

const (
	// freeHoldShare is the share of the latency goal for which a request may be held before it is
	// refused without a cost to its caller.
	freeHoldShare = 0.125
	// lateHoldShare is the share of the latency goal for which a request waits that is expected to
	// be served late.
	lateHoldShare = 0.5
	// minimumRoomRetryAfter is the lower bound of a Retry-After before the jitter is subtracted, if the
	// deadline permits it.
	minimumRoomRetryAfter = 150 * time.Millisecond
	// retryAfterShare is the upper bound of a Retry-After, as a share of the time until the deadline.
	retryAfterShare = 0.3
	// rankRetryFactor is how much longer the Retry-After of the least urgent rank is.
	rankRetryFactor = 1.0
	// retryAfterJitter is the share of a Retry-After that is random.
	retryAfterJitter = 1.0 / 3
)

// Outlook says whether a request is expected to be served if it waits for room.
type Outlook int

// The outlooks.
const (
	// NotServable requests would not get room early enough.
	NotServable Outlook = iota
	// InTime requests are expected to meet their latency goal.
	InTime
	// Late requests are expected to miss it, and to be complete before the deadline.
	Late
)

// Assess returns the outlook of a request without room, and the estimated wait. isReview is true
// for the assessment at ReviewAt, which takes the requests of other nodes into account: until then a
// request is held without a cost to its caller.
func (c *Contention) Assess(now time.Time, r *Contender, servers []ServerLoad, isReview bool) (Outlook, time.Duration) {
	wait := c.estimateWait(now, r, servers)
	if isReview {
		wait += c.estimateCompetition(now, r, servers)
	}
	startsAt := now.Add(wait)
	switch {
	case !now.Before(c.WaitsUntil(r)):
		return NotServable, wait
	case startsAt.Add(max(c.hold(ServerLoad{}), c.firstEventTime)).After(r.Deadline):
		return NotServable, wait
	case !startsAt.Add(c.firstEventTime).After(r.GoalAt):
		return InTime, wait
	case startsAt.Sub(r.ArrivedAt) < time.Duration(lateHoldShare*float64(r.goal())):
		return Late, wait
	}
	return NotServable, wait
}

// ReviewAt returns when the outlook of a waiting request is assessed again.
func (r *Contender) ReviewAt() time.Time {
	return r.ArrivedAt.Add(time.Duration(freeHoldShare * float64(r.goal())))
}

// WaitsUntil returns when a request that has got no room is refused in any case: when it can no
// longer meet its goal and half of it is spent, or when it would not be complete at its deadline.
func (c *Contention) WaitsUntil(r *Contender) time.Time {
	until := r.GoalAt.Add(-c.firstEventTime)
	if half := r.ArrivedAt.Add(time.Duration(lateHoldShare * float64(r.goal()))); half.After(until) {
		until = half
	}
	if last := r.Deadline.Add(-c.hold(ServerLoad{})); last.Before(until) {
		until = last
	}
	return until
}

// RetryAfter returns when the caller of a refused request should retry: when the requests before
// it have got room, later for less urgent ranks. random is a random number in [0,1); it spreads
// callers that are refused at once.
func (c *Contention) RetryAfter(now time.Time, r *Contender, wait time.Duration, random float64) time.Duration {
	longest := time.Duration(retryAfterShare * float64(max(0, r.Deadline.Sub(now))))
	factor := 1 + rankRetryFactor*float64(r.rank())/(Ranks-1)
	d := min(longest, max(minimumRoomRetryAfter, time.Duration(factor*float64(wait))))
	return d - time.Duration(retryAfterJitter*random*float64(d))
}
