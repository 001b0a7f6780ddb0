package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// lateRefusal is how long a refused request has waited if its log line describes its timing.
	lateRefusal = 250 * time.Millisecond
	// nearChangePeriod is how long after a version of the configuration has come into force the
	// end of a request counts as near that change.
	nearChangePeriod = 3500 * time.Millisecond
)

// InForce is the configuration that a node uses at one moment.
type InForce struct {
	Version fleet.Version
	// Since is when it came into force; zero if there is no configuration.
	Since time.Time
}

// Timing is what tells a request that was ended at its time limit from one that was ended
// earlier, and whether the node changed beside it.
type Timing struct {
	ArrivedAt time.Time
	// CallerTimeout is the caller's time limit and RouteTimeout that of the route, 0 for none.
	CallerTimeout, RouteTimeout time.Duration
	// InForce is the configuration at the arrival.
	InForce InForce
	// LinkDelay is Request.LinkDelay.
	LinkDelay time.Duration
}

// limit returns the shorter of the time limits, 0 for none.
func (t Timing) limit() time.Duration {
	if t.CallerTimeout > 0 && t.RouteTimeout > 0 {
		return min(t.CallerTimeout, t.RouteTimeout)
	}
	return max(t.CallerTimeout, t.RouteTimeout)
}

// usedPercent returns the share of the time limit that has passed, rounded down: 100 or more
// means that the limit was reached.
func (t Timing) usedPercent(now time.Time) int64 {
	if limit := t.limit(); limit > 0 {
		return int64(100 * now.Sub(t.ArrivedAt) / limit)
	}
	return 0
}

// Timing returns the timing of the request.
func (r *Request) Timing() Timing {
	return Timing{ArrivedAt: r.ArrivedAt, CallerTimeout: r.CallerTimeout, RouteTimeout: r.Route.Timeout, InForce: r.InForce, LinkDelay: r.LinkDelay}
}

// RecordReload records that the node has read its settings again.
func (d *Dispatcher) RecordReload(now time.Time) { d.reloadedAt.Store(&now) }

// LogTiming adds to the line of a request that ends now its time limits, and the time since the
// node's last changes: the version in force at its arrival and at its end, the latest reload of
// the settings and the start of the shutdown.
func (d *Dispatcher) LogTiming(line *zerolog.Event, t Timing) {
	now, inForce := time.Now(), d.Views.Get().InForce()
	line.Int64("CallerLimitMs", t.CallerTimeout.Milliseconds()).Int64("RouteLimitMs", t.RouteTimeout.Milliseconds()).Int64("UsedPercent", t.usedPercent(now)).
		Int64("ArrivedVersion", int64(t.InForce.Version)).Int64("Version", int64(inForce.Version))
	if !t.InForce.Since.IsZero() {
		line.Int64("ArrivedAfterVersionMs", t.ArrivedAt.Sub(t.InForce.Since).Milliseconds())
	}
	if !inForce.Since.IsZero() {
		line.Int64("AfterVersionMs", now.Sub(inForce.Since).Milliseconds())
	}
	if at := d.reloadedAt.Load(); at != nil {
		line.Int64("AfterReloadMs", now.Sub(*at).Milliseconds())
	}
	if t.LinkDelay > 0 {
		line.Int64("LinkDelayMs", t.LinkDelay.Milliseconds())
	}
	d.logShutdown(line, "AfterStopMs", now)
}

// isNearChange reports whether the configuration came into force shortly before now.
func (f InForce) isNearChange(now time.Time) bool {
	return !f.Since.IsZero() && now.Sub(f.Since) < nearChangePeriod
}

// countEnd counts the end of the request beside a change of the configuration or at another
// time, and whether this node ended it early.
func (s *session) countEnd(now time.Time, o Outcome) {
	isNearChange := s.dispatcher.Views.Get().InForce().isNearChange(now)
	s.dispatcher.CountEnd(isNearChange)
	if (o == Broken || o == Failed) && now.Before(s.request.Deadline) {
		s.dispatcher.CountEndedEarly(s.latestEnd, isNearChange)
	}
}

// isTimingLogged reports whether the line about the end of a request describes its timing: if
// the caller has no response of a server and was not refused soon.
func (s *session) isTimingLogged(o Outcome) bool {
	switch o {
	case Served, FailedThere:
		return false
	case Refused:
		return time.Since(s.request.ArrivedAt) >= lateRefusal
	}
	return true
}
