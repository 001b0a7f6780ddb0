package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// silenceAllowance is added to the time that an attempt is expected to take, because a
	// backend server may be silent for a second and go on.
	silenceAllowance = time.Second
	// maximumShutdownWait is how long a request that has not run waits for a server after the
	// signal to stop. Other nodes can let it wait for longer.
	maximumShutdownWait = 300 * time.Millisecond
	// maximumShutdownRetryAfter bounds the random Retry-After of a request that is refused
	// because this node shuts down.
	maximumShutdownRetryAfter = 50 * time.Millisecond
	// minimumDurations is the least number of requests from which a duration is estimated.
	minimumDurations = 5
	// fewDurationsAllowance is divided by the number of requests that an estimate is based on;
	// it is the share of the estimate that is added to it.
	fewDurationsAllowance = 2.0
	// retryableCutShare and otherCutShare are the shares of the requests that may be expected
	// to last beyond the end of the node: of those that the caller may repeat, and of the
	// others.
	retryableCutShare = 0.05
	otherCutShare     = 0.01
	// lateCutShare is that share once callers have had the time to go to other nodes.
	lateCutShare = 0.002
	// usualShare is the share of the requests that take longer than usual.
	usualShare = 0.5
)

// Shutdown is the schedule of this node's shutdown.
//
// A request that has not run is refused at once unless it is expected to end before EndsAt,
// because other nodes can serve it. Until WaitUntil, a small share of the recent requests of its
// route may have been slower than that. After WaitUntil, callers have had the time to go to other
// nodes: a request is started only if its deadline is before EndsAt, an idempotent one until the
// middle between WaitUntil and EndsAt also if the slowest recent one would end in time. Recent
// requests do not say how long a single one takes, and only what is idempotent may be repeated.
type Shutdown struct {
	// BegunAt is when the node got the signal to stop.
	BegunAt time.Time
	// WaitUntil is when the requests stop waiting for a server, so that their callers retry
	// at other nodes.
	WaitUntil time.Time
	// EndsAt is when the node cancels the requests in flight.
	EndsAt time.Time
}

// Drain tells the dispatcher that this node shuts down.
func (d *Dispatcher) Drain(s Shutdown) {
	d.shutdown.Store(&s)
	d.Views.Refresh()
}

// logShutdown adds to a log line, while this node shuts down, the time from the start of the
// shutdown until an event. It is negative for an event before.
func (d *Dispatcher) logShutdown(line *zerolog.Event, name string, at time.Time) {
	if s := d.shutdown.Load(); s != nil {
		line.Int64(name, at.Sub(s.BegunAt).Milliseconds())
	}
}

// endsInTime reports whether an attempt that starts now is expected to end before this node
// cancels the requests in flight. It is true for a node that does not shut down.
func (s *session) endsInTime(now time.Time) bool {
	shutdown := s.dispatcher.shutdown.Load()
	return shutdown == nil || !now.After(s.latestStart(now, shutdown))
}

// latestStart returns the time until which an attempt may start on a node that shuts down. An
// attempt that ends at its deadline in any case may always start. It returns the zero time if
// nothing is known of how long the request takes, unless it may have run: then no attempt would
// be worse.
func (s *session) latestStart(now time.Time, shutdown *Shutdown) time.Time {
	if !s.request.Deadline.After(shutdown.EndsAt) {
		return s.request.Deadline
	}
	durations := s.dispatcher.durations.distribution(now, s.request.durationKey())
	if s.mayHaveRun {
		usual, _ := durations.exceededBy(usualShare)
		return shutdown.EndsAt.Add(-s.remaining(usual) - silenceAllowance)
	}
	return later(s.latestEarlyStart(durations, shutdown), s.latestLateStart(durations, shutdown))
}

// latestEarlyStart returns the time until which a request may start that has not run, while its
// caller may not know that this node stops.
func (s *session) latestEarlyStart(d *durationDistribution, shutdown *Shutdown) time.Time {
	share := otherCutShare
	if s.request.Route.IsRetryable() {
		share = retryableCutShare
	}
	expected, ok := d.expected(share)
	if !ok {
		return time.Time{}
	}
	return earlier(shutdown.WaitUntil, shutdown.EndsAt.Add(-expected))
}

// latestLateStart returns the time until which a request may start that has not run, although
// its caller has had the time to go to another node and its deadline is after EndsAt.
func (s *session) latestLateStart(d *durationDistribution, shutdown *Shutdown) time.Time {
	expected, ok := d.expected(lateCutShare)
	if !ok || s.request.Route.Kind != fleet.Idempotent {
		return time.Time{}
	}
	middle := shutdown.WaitUntil.Add(shutdown.EndsAt.Sub(shutdown.WaitUntil) / 2)
	return earlier(middle, shutdown.EndsAt.Add(-max(expected, d.longest())-silenceAllowance))
}

// expected returns the time that at most the given share of the requests is expected to exceed.
// It returns false if too little is known.
func (d *durationDistribution) expected(share float64) (time.Duration, bool) {
	count := d.servedCount()
	if count < minimumDurations {
		return 0, false
	}
	bound, ok := d.exceededBy(share)
	return time.Duration(float64(bound) * (1 + fewDurationsAllowance/float64(count))), ok
}

// remaining returns how much of a duration is left for a stream that the caller has received in
// part.
func (s *session) remaining(d time.Duration) time.Duration {
	if s.headSent {
		d -= s.lastWriteAt.Sub(s.responseStartedAt)
	}
	return max(0, d)
}

// shutdownWaitDeadline returns the time until which the request waits for a server on a node that
// shuts down.
func (s *session) shutdownWaitDeadline(now time.Time, shutdown *Shutdown) time.Time {
	deadline := earlier(shutdown.WaitUntil, s.latestStart(now, shutdown))
	if s.mayHaveRun {
		return deadline
	}
	return earlier(deadline, later(s.begunAt, shutdown.BegunAt).Add(maximumShutdownWait))
}

// refuseShutdown returns the refusal of a request that this node cannot complete before it
// ends. Other nodes can, so that its caller need not wait. The log tells what was known then.
func (s *session) refuseShutdown(now time.Time) *verdict.Error {
	retryAfter := time.Duration(rand.Float64() * float64(maximumShutdownRetryAfter))
	e := verdict.Refuse(verdict.Draining, "the node shuts down before the request can be completed").WithRetryAfter(retryAfter)
	e.Cause = s.dispatcher.durations.distribution(now, s.request.durationKey()).describe()
	return e
}

// describe says how long the requests are expected to take, as the cause of a refusal.
func (d *durationDistribution) describe() error {
	usual, isUsualKnown := d.exceededBy(usualShare)
	long, isLongKnown := d.exceededBy(retryableCutShare)
	return fmt.Errorf("of the route's recent requests, %d were served; half take up to %v (known: %t), 95 %% up to %v (known: %t)", d.servedCount(), usual, isUsualKnown, long, isLongKnown)
}
