package caller

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/limits"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// limiter applies the rate and concurrency limits of teams and models at this node. The
// zero limiter is ready for use.
type limiter struct {
	mu       sync.Mutex
	registry limits.Registry
	inFlight map[domain.TeamName]int
}

const secondsPerMinute = 60

// acquireLimits checks the limits of a call's team and model and counts the call against
// them. When the call ends, release must be called with the number of tokens in the
// response, which are then charged to the team.
func (a *API) acquireLimits(c *chatCall) (release func(domain.Tokens), err error) {
	lim, now, nodes := &a.limiter, time.Now(), a.ActiveNodes()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	team := "team/" + string(c.team.Name)
	if maximum := float64(c.team.TokensPerMinute) / secondsPerMinute; maximum > 0 {
		l := lim.registry.Limit(now, limits.Name(team+"/tokens"))
		if !l.IsOutOfDebt(now, maximum, nodes) {
			return nil, limitReached("tokens of the team", l.RetryAfter(now, maximum, nodes, 0))
		}
	}
	if maximum := c.team.Concurrency; maximum > 0 {
		l := lim.registry.Limit(now, limits.Name(team+"/concurrency"))
		if !l.AllowConcurrent(now, float64(maximum), nodes, lim.inFlight[c.team.Name]) {
			return nil, limitReached("requests of the team at once", time.Second)
		}
	}
	if err := lim.allowRequest(now, limits.Name(team+"/requests"), c.team.RequestsPerSecond, nodes); err != nil {
		return nil, err
	}
	if err := lim.allowRequest(now, limits.Name("model/"+string(c.model.Name)+"/requests"), c.model.RequestsPerSecond, nodes); err != nil {
		return nil, err
	}
	if lim.inFlight == nil {
		lim.inFlight = make(map[domain.TeamName]int)
	}
	lim.inFlight[c.team.Name]++
	return func(t domain.Tokens) { lim.release(c, t) }, nil
}

func (lim *limiter) allowRequest(now time.Time, n limits.Name, maximum float64, nodes int) error {
	if maximum <= 0 {
		return nil
	}
	l := lim.registry.Limit(now, n)
	if l.Allow(now, maximum, nodes, 1) {
		return nil
	}
	return limitReached("requests a second", l.RetryAfter(now, maximum, nodes, 1))
}

func limitReached(limit string, retryAfter time.Duration) error {
	return verdict.Refuse(verdict.LimitReached, "the limit on "+limit+" is reached").WithRetryAfter(retryAfter)
}

func (lim *limiter) release(c *chatCall, tokens domain.Tokens) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := time.Now()
	lim.inFlight[c.team.Name]--
	if lim.inFlight[c.team.Name] == 0 {
		delete(lim.inFlight, c.team.Name)
	}
	if c.team.TokensPerMinute > 0 && tokens > 0 {
		lim.registry.Limit(now, limits.Name("team/"+string(c.team.Name)+"/tokens")).Charge(now, float64(tokens))
	}
	if c.team.Concurrency > 0 {
		lim.registry.Limit(now, limits.Name("team/"+string(c.team.Name)+"/concurrency")).SetRunning(lim.inFlight[c.team.Name])
	}
}

// Usage returns the demand and use of this node's callers for each limit. The node sends
// it to the other nodes about once a second.
func (a *API) Usage() peer.Usage {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	counters := a.limiter.registry.Counters(time.Now())
	u := peer.Usage{Counters: make([]peer.UsageCounter, len(counters))}
	for i, c := range counters {
		u.Counters[i] = peer.UsageCounter{Name: string(c.Name), Demand: c.Demand, Used: c.Used}
	}
	return u
}

// ApplyUsage applies the usage of another node, or the sum of several nodes without this
// one that a relay computed.
func (a *API) ApplyUsage(from domain.NodeID, u peer.Usage) {
	counters := make([]limits.Counter, len(u.Counters))
	for i, c := range u.Counters {
		counters[i] = limits.Counter{Name: limits.Name(c.Name), Demand: c.Demand, Used: c.Used}
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.registry.ApplyCounters(time.Now(), from, counters)
}
