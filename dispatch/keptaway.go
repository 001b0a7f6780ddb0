package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// maximumLoggedServers bounds the servers that a log line names.
	maximumLoggedServers = 3
	// reopeningJitter is the random part that is added to the time until a server takes
	// requests again, as a share of it. Callers that are refused together must not retry
	// together, and none may retry too early.
	reopeningJitter = 0.1
)

// keptAway is what keeps one request away from servers that could serve it otherwise.
type keptAway struct {
	// servers are the restricted servers of the latest choice.
	servers []fleet.RestrictedServer
	// isCounted says which restrictions were counted for the request.
	isCounted [fleet.RetryLater + 1]bool
}

// permittedServers returns the servers of a list that may be sent the request now. Every
// attempt passes it: the first, retries, hedges, those after a wait and resumed streams.
// Leaving servers are included only if the request has tried all others in vain.
func (s *session) permittedServers(now time.Time, servers []*fleet.Server) []*fleet.Server {
	selection := s.dispatcher.Notices.Select(now, s.request.ArrivedAt, servers)
	if s.hasUntried(selection.Open) {
		s.recordKeptAway(append(selection.Restricted, selection.LastResort...))
		return selection.Open
	}
	s.recordKeptAway(selection.Restricted)
	permitted := slices.Clip(selection.Open)
	for _, r := range selection.LastResort {
		permitted = append(permitted, r.Server)
	}
	return permitted
}

// hasUntried reports whether a list has a server that has neither failed nor refused the
// request since the last refusal backoff.
func (s *session) hasUntried(servers []*fleet.Server) bool {
	return slices.ContainsFunc(servers, func(c *fleet.Server) bool { return !s.avoidedServers[c.ID] })
}

// recordKeptAway records the restricted servers for the log and counts the request once
// for each restriction.
func (s *session) recordKeptAway(servers []fleet.RestrictedServer) {
	s.keptAway.servers = servers
	for _, r := range servers {
		if !s.keptAway.isCounted[r.Restriction] {
			s.keptAway.isCounted[r.Restriction] = true
			s.dispatcher.CountKeptAway(r.Restriction)
		}
	}
}

// untilReopening returns the time until the first of the restricted servers may be sent
// the request, or false if none of them ever may.
func (k *keptAway) untilReopening(now time.Time) (time.Duration, bool) {
	var first time.Time
	for _, r := range k.servers {
		if r.Restriction == fleet.RetryLater && (first.IsZero() || r.Until.Before(first)) {
			first = r.Until
		}
	}
	return max(0, first.Sub(now)), !first.IsZero()
}

// text describes the restricted servers for the log; it is empty if there are none.
func (k *keptAway) text(now time.Time) string {
	var parts []string
	for _, r := range k.servers[:min(len(k.servers), maximumLoggedServers)] {
		if r.Restriction == fleet.Leaving {
			parts = append(parts, fmt.Sprintf("%s leaving for %d ms", r.Server.ID, now.Sub(r.Since).Milliseconds()))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s wants no requests for %d ms", r.Server.ID, r.Until.Sub(now).Milliseconds()))
	}
	if n := len(k.servers) - len(parts); n > 0 {
		parts = append(parts, fmt.Sprintf("%d more", n))
	}
	return strings.Join(parts, ", ")
}

// newReopeningRefusal returns an error for a request that did not run because every server
// that could serve it wants no requests for the given time. Its Retry-After is not
// shortened to the caller's deadline: an earlier retry at this node would be refused too.
func newReopeningRefusal(wait time.Duration) *verdict.Error {
	jitter := time.Duration(reopeningJitter * rand.Float64() * float64(wait))
	return verdict.Refuse(verdict.NoCapacity, "every server that can serve the request asks for no requests for a time").WithRetryAfter(wait + jitter)
}
