package serverload

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// fullServerShare is how much longer a request takes at a server with every slot in use, as a
	// share of the service time. The requests of a batch slow each other down.
	fullServerShare = 0.15
	// minimumFullServerCost is the lower bound of that time: the next request at a full server is
	// rejected and has to be sent again, possibly to another region.
	minimumFullServerCost = 60 * time.Millisecond
	// minimumGain is by how much the estimate of the second of the two servers drawn must be lower.
	// Where a model has few servers, the lower estimate would nearly always be that of the server
	// with the lowest report, and all nodes would choose it.
	minimumGain = 100 * time.Millisecond
)

// State is the estimated load of a server.
type State struct {
	// IsKnown is true if the server has reported its load within ReportLifetime. Otherwise
	// Requests counts this node's own attempts only.
	IsKnown bool
	// ReportAge is the age of the report, if IsKnown.
	ReportAge time.Duration
	// Requests is the estimated number of running and waiting requests.
	Requests float64
	Slots    int
	// Pace is how long work takes, relative to the usual time.
	Pace float64
	// Tokens is the estimated memory in use by requests, in tokens.
	Tokens float64
	// IsFull is true if the server has rejected a request since its report.
	IsFull bool
}

// Request is what an estimate needs to know of a request.
type Request struct {
	Service domain.ServiceName
	// Prompt is the number of prompt tokens, Size the number of tokens that the request needs
	// memory for. Both are 0 if they are unknown.
	Prompt, Size domain.Tokens
	// CacheTokens is the memory of one server of the service in tokens, 0 if it is unknown.
	CacheTokens domain.Tokens
	Prefixes    Prefixes
}

// Estimate is the estimated delay of a request at a server as the sum of its terms.
type Estimate struct {
	// Queue is the delay by other requests, Prefill the time to read the prompt tokens that the
	// server does not have cached and Distance the network delay.
	Queue, Prefill, Distance time.Duration
}

// Total returns the sum of the terms.
func (e Estimate) Total() time.Duration { return e.Queue + e.Prefill + e.Distance }

// State returns the estimated load of a server of a service that has registered a number of slots.
func (t *Table) State(now time.Time, k Key, name domain.ServiceName, slots int) State {
	state := State{Slots: max(1, slots), Pace: 1}
	s := t.servers[k]
	if s == nil {
		return state
	}
	state.Requests = float64(s.own.count)
	if age := now.Sub(s.reportedAt); !s.reportedAt.IsZero() && age < ReportLifetime {
		state.IsKnown, state.ReportAge, state.Slots = true, max(0, age), s.report.Slots
		state.Requests = max(state.Requests, s.expectedRequests(state.ReportAge)+float64(s.own.count-s.ownAtReport))
	}
	state.IsFull = now.Sub(s.fullAt) < ReportLifetime && !s.fullAt.Before(s.reportedAt)
	if t.IsPaced(now, k) {
		state.Pace = s.pace.value(now)
	} else if pace := s.learned.value(now); pace > 0 {
		state.Pace = pace
	}
	state.Tokens = s.own.tokens
	if service := t.services[name]; service != nil {
		state.Tokens += (state.Requests - float64(s.own.count)) * service.size.value
	}
	return state
}

// InUse returns the number of slots in use, or the share of the server's memory in use as a number
// of slots if that is more: the next request finds no room if either is used up.
func (s State) InUse(cacheTokens domain.Tokens) float64 {
	if cacheTokens <= 0 {
		return s.Requests
	}
	return max(s.Requests, float64(s.Slots)*s.Tokens/float64(cacheTokens))
}

// HasRoom reports whether the server has a free slot and enough free memory for a request.
func (s State) HasRoom(r *Request) bool {
	if s.IsFull || s.Requests >= float64(s.Slots) {
		return false
	}
	return r.CacheTokens <= 0 || s.Tokens+float64(r.Size) <= float64(r.CacheTokens)
}

// FreeCapacity returns the rate of requests that the server can take beyond its present ones,
// relative to that of one slot at the usual pace. It is positive also if the server is full.
func (s State) FreeCapacity(r *Request) float64 {
	const least = 0.25
	return max(least, float64(s.Slots)-s.InUse(r.CacheTokens)) / s.Pace
}

// Wait returns the time until a new request at a server of the service begins to run.
func (t *Table) Wait(s State, name domain.ServiceName) time.Duration {
	ahead := s.Requests - float64(s.Slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * s.Pace * float64(t.service(name).meanServiceTime()) / float64(s.Slots))
}

// Estimate estimates the delay of a request at a server at the given distance that has a number of
// its prompt tokens cached.
func (t *Table) Estimate(s State, r *Request, cached domain.Tokens, distance time.Duration) Estimate {
	service := t.service(r.Service)
	full := max(minimumFullServerCost, time.Duration(fullServerShare*float64(service.meanServiceTime())))
	share := min(1, s.InUse(r.CacheTokens)/float64(s.Slots))
	e := Estimate{Distance: distance, Queue: t.Wait(s, r.Service) + time.Duration(s.Pace*share*share*float64(full))}
	uncached := float64(max(0, r.Prompt-cached))
	e.Prefill = time.Duration(s.Pace * uncached / service.prefill.rate() * float64(time.Millisecond))
	return e
}

// Candidate is a server that a Draw considers.
type Candidate struct {
	Index int
	// Rank goes before everything else; the lowest is chosen.
	Rank int
	// Weight is positive.
	Weight   float64
	Estimate Estimate
	// Cached is the number of prompt tokens that the server has probably cached. MayPreferCache is
	// true if it may be chosen for them.
	Cached         domain.Tokens
	MayPreferCache bool
	// HomeOrder orders the servers by how probably other nodes send them prompts with the same
	// beginning; the lowest first. It is 0 if the prompt has no part that others share.
	HomeOrder uint64
}

// Draw chooses one of the servers that it is given one after the other: it draws two at random in
// proportion to their weights, among those of the lowest rank, and takes the second one if its
// estimate is lower by minimumGain. Nodes that have the same view thus choose different servers. The
// zero Draw is ready for use.
type Draw struct {
	// first and second have the lowest keys so far. Of those that may be preferred for their cache,
	// cached has the lowest estimate and home comes first in the HomeOrder.
	first, second, cached, home drawn
}

// drawn is one server in a Draw. The zero drawn is none.
type drawn struct {
	Candidate
	isSet bool
	key   float64
}

// Consider adds a server. The random number is in [0,1).
func (d *Draw) Consider(c *Candidate, random float64) {
	if d.first.isSet && c.Rank > d.first.Rank {
		return
	}
	if d.first.isSet && c.Rank < d.first.Rank {
		*d = Draw{}
	}
	if d.first.isSet && c.Index == d.first.Index || d.second.isSet && c.Index == d.second.Index {
		// Of many candidates, one may be considered twice.
		return
	}
	// The two lowest of such keys are a weighted draw without replacement.
	next := drawn{Candidate: *c, isSet: true, key: -math.Log(1-random) / c.Weight}
	switch {
	case !d.first.isSet || next.key < d.first.key:
		d.first, d.second = next, d.first
	case !d.second.isSet || next.key < d.second.key:
		d.second = next
	}
	if c.Cached > 0 && c.MayPreferCache && (!d.cached.isSet || c.Estimate.Total() < d.cached.Estimate.Total()) {
		d.cached = next
	}
	if c.HomeOrder > 0 && c.MayPreferCache && (!d.home.isSet || c.HomeOrder < d.home.HomeOrder) {
		d.home = next
	}
}

// Rank returns the lowest rank of the servers considered, 0 if there were none.
func (d *Draw) Rank() int { return d.first.Rank }

// Choose returns the chosen server, or false if there was none. Beside the two drawn ones, it
// considers the best one with a beginning of the prompt in its cache, and the home of the prompt, at
// which a delay by the given saving is accepted; isByCache is true if one of these
// was chosen.
func (d *Draw) Choose(saving time.Duration) (chosen Candidate, isByCache, ok bool) {
	best := &d.first
	if d.second.isSet && d.second.Estimate.Total()+minimumGain < best.Estimate.Total() {
		best = &d.second
	}
	if d.cached.isSet && d.cached.Cached > best.Cached && d.cached.Estimate.Total() < best.Estimate.Total() {
		return d.cached.Candidate, true, true
	}
	if d.home.isSet && best.Cached == 0 && d.home.Estimate.Total() < best.Estimate.Total()+saving {
		return d.home.Candidate, true, true
	}
	return best.Candidate, false, best.isSet
}
