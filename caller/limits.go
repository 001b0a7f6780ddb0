package caller

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/limits"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// shares are the limits of teams and models at this node. The zero shares are
// ready for use.
type shares struct {
	mu     sync.Mutex
	limits limits.Registry
	held   map[domain.TeamName]int
}

const secondsPerMinute = 60

// enter checks the limits of a call's team and model and takes from them. The
// result must be called with the tokens of the answer once it is over.
func (a *API) enter(c *chatCall) (leave func(domain.Tokens), err error) {
	s, now, nodes := &a.shares, time.Now(), a.ActiveNodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	team := "team/" + string(c.team.Name)
	if most := float64(c.team.TokensPerMinute) / secondsPerMinute; most > 0 {
		l := s.limits.Limit(now, limits.Name(team+"/tokens"))
		if !l.IsOutOfDebt(now, most, nodes) {
			return nil, limitReached("tokens of the team", l.RetryAfter(now, most, nodes, 0))
		}
	}
	if most := c.team.Concurrency; most > 0 {
		l := s.limits.Limit(now, limits.Name(team+"/concurrency"))
		if !l.AllowConcurrent(now, float64(most), nodes, s.held[c.team.Name]) {
			return nil, limitReached("requests of the team at once", time.Second)
		}
	}
	if err := s.take(now, limits.Name(team+"/requests"), c.team.RequestsPerSecond, nodes); err != nil {
		return nil, err
	}
	if err := s.take(now, limits.Name("model/"+string(c.model.Name)+"/requests"), c.model.RequestsPerSecond, nodes); err != nil {
		return nil, err
	}
	if s.held == nil {
		s.held = make(map[domain.TeamName]int)
	}
	s.held[c.team.Name]++
	return func(t domain.Tokens) { s.leave(c, t) }, nil
}

func (s *shares) take(now time.Time, n limits.Name, most float64, nodes int) error {
	if most <= 0 {
		return nil
	}
	l := s.limits.Limit(now, n)
	if l.Allow(now, most, nodes, 1) {
		return nil
	}
	return limitReached("requests a second", l.RetryAfter(now, most, nodes, 1))
}

func limitReached(what string, after time.Duration) error {
	return verdict.Refuse(verdict.LimitReached, "the limit on "+what+" is reached").WithRetryAfter(after)
}

func (s *shares) leave(c *chatCall, t domain.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.held[c.team.Name]--
	if s.held[c.team.Name] == 0 {
		delete(s.held, c.team.Name)
	}
	if c.team.TokensPerMinute > 0 && t > 0 {
		s.limits.Limit(now, limits.Name("team/"+string(c.team.Name)+"/tokens")).Charge(now, float64(t))
	}
	if c.team.Concurrency > 0 {
		s.limits.Limit(now, limits.Name("team/"+string(c.team.Name)+"/concurrency")).SetRunning(s.held[c.team.Name])
	}
}

// Usage is what this node's callers asked for, to be sent to the other nodes about
// once a second.
func (a *API) Usage() peer.Usage {
	a.shares.mu.Lock()
	defer a.shares.mu.Unlock()
	counters := a.shares.limits.Counters(time.Now())
	u := peer.Usage{Counters: make([]peer.UsageCounter, len(counters))}
	for i, c := range counters {
		u.Counters[i] = peer.UsageCounter{Name: string(c.Name), Demand: c.Demand, Used: c.Used}
	}
	return u
}

// ApplyUsage takes in the usage of another node, or of several that a relay added
// up without this one.
func (a *API) ApplyUsage(from domain.NodeID, u peer.Usage) {
	counters := make([]limits.Counter, len(u.Counters))
	for i, c := range u.Counters {
		counters[i] = limits.Counter{Name: limits.Name(c.Name), Demand: c.Demand, Used: c.Used}
	}
	a.shares.mu.Lock()
	defer a.shares.mu.Unlock()
	a.shares.limits.ApplyCounters(time.Now(), from, counters)
}
