package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/retries"
)

const (
	// crowdingCost is what a full set of slots costs a request, and neighbourCost
	// the least that each other request at the server costs it: its prompt is read
	// between the tokens of the others.
	crowdingCost  = 150 * time.Millisecond
	neighbourCost = 8 * time.Millisecond
	// waitingCost is what each request that waits at a server costs, in slots.
	waitingCost = 2.0
	// distantCost is the price of a server in another region, nearCost that of one
	// in another availability zone.
	distantCost = 25 * time.Millisecond
	nearCost    = 2 * time.Millisecond
	// coldCost is the price of a server that has just started.
	coldCost = 100 * time.Millisecond
	// prefixGain is what a server that has read the prompt's beginning saves.
	prefixGain = 12 * time.Millisecond
	// reportMemory is how long a server's own word about its load is used.
	reportMemory = 1500 * time.Millisecond
	// delayMemory is the time constant in which a slow answer is forgotten.
	delayMemory = 3 * time.Second
	// delayShare is the weight of the newest answer's delay.
	delayShare = 0.3
	// spreadCost is the range of the random price by which nodes that know nothing of
	// each other's requests spread over servers that look alike.
	spreadCost = 8 * time.Millisecond
	// silentDelay is taken for a server that did not answer at all.
	silentDelay = 2 * time.Second
	// lackMemory is how long a server counts as without what it did not have.
	lackMemory = 700 * time.Millisecond
	// prefixesKept bounds the prompt beginnings remembered for one server.
	prefixesKept = 256
)

// load is what this node knows of the load of one server.
type load struct {
	inFlight int
	// others is the load that the server reported beyond this node's.
	others   float64
	reported time.Time
	// delay is the average time to an answer, as of delayed.
	delay   time.Duration
	delayed time.Time
	// prefixes are prompt beginnings that were sent there.
	prefixes map[string]time.Time
	// lacks holds what the server did not have when it was asked, and when.
	lacks map[placement.ModelKey]time.Time
}

// chooser picks servers by expected delay. The zero chooser is ready for use.
type chooser struct {
	mu       sync.Mutex
	loads    map[domain.ServerID]*load
	breakers retries.Breakers
}

func (c *chooser) of(id domain.ServerID) *load {
	if c.loads == nil {
		c.loads = map[domain.ServerID]*load{}
	}
	l := c.loads[id]
	if l == nil {
		l = &load{}
		c.loads[id] = l
	}
	return l
}

// place is where this node stands.
type place struct {
	zone    domain.Zone
	regions map[domain.Zone]domain.Region
}

func (p place) cost(z domain.Zone) time.Duration {
	switch {
	case z == p.zone:
		return 0
	case p.regions[z] == p.regions[p.zone]:
		return nearCost
	}
	return distantCost
}

// choose returns the best of the candidates and counts a request in flight
// there, or nil where there is none. Servers in avoid are taken only if there is
// no other; servers that keep failing are left out unless all do.
func (c *chooser) choose(now time.Time, p place, candidates []*fleet.Server, prefix string, avoid map[domain.ServerID]bool) (*fleet.Server, choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *fleet.Server
	var bestCost time.Duration
	bestRank := 0
	usual := c.usualDelay(now, candidates)
	for _, s := range candidates {
		rank := 0
		if avoid[s.ID] {
			rank += 2
		}
		if c.breakers.IsEjected(now, s.ID) {
			rank++
		}
		cost := c.cost(now, p, s, prefix, usual) + rand.N(spreadCost)
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestCost, bestRank = s, cost, rank
		}
	}
	if best == nil {
		return nil, choice{}
	}
	l := c.of(best.ID)
	chosen := choice{candidates: len(candidates), inFlight: l.inFlight, others: l.others, age: min(now.Sub(l.reported), time.Hour)}
	l.inFlight++
	l.remember(now, prefix)
	return best, chosen
}

func (l *load) remember(now time.Time, prefix string) {
	if prefix == "" {
		return
	}
	if l.prefixes == nil || len(l.prefixes) >= prefixesKept {
		l.prefixes = map[string]time.Time{}
	}
	l.prefixes[prefix] = now
}

// known tells whether the server has lately answered, so that its delay is one.
func (l *load) known(now time.Time) bool {
	return l.delay != silentDelay && now.Sub(l.delayed) < delayMemory
}

// usualDelay is the mean time to an answer of those servers of which it is known
// lately. The caller holds mu.
func (c *chooser) usualDelay(now time.Time, candidates []*fleet.Server) time.Duration {
	var sum time.Duration
	known := 0
	for _, s := range candidates {
		if l := c.of(s.ID); l.known(now) {
			sum += l.delay
			known++
		}
	}
	return sum / time.Duration(max(1, known))
}

// cost is the price of a server. Usual is the delay that is taken for a server that
// did not answer lately: not to know one is no reason to prefer it.
func (c *chooser) cost(now time.Time, p place, s *fleet.Server, prefix string, usual time.Duration) time.Duration {
	l := c.of(s.ID)
	busy := float64(l.inFlight)
	if now.Sub(l.reported) < reportMemory {
		busy += l.others
	}
	cost := p.cost(s.Zone) + time.Duration(busy*float64(max(neighbourCost, crowdingCost/time.Duration(max(1, s.Slots)))))
	if s.WarmUpRemaining > 0 {
		cost += coldCost
	}
	fresh := max(0, 1-float64(now.Sub(l.delayed))/float64(delayMemory))
	cost += time.Duration(fresh*float64(l.delay)+(1-fresh)*float64(usual)) / 2
	if _, ok := l.prefixes[prefix]; ok && prefix != "" {
		cost -= prefixGain
	}
	return cost
}

// lacking notes that a server did not have what it is said to hold.
func (c *chooser) lacking(now time.Time, id domain.ServerID, k placement.ModelKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.of(id)
	if l.lacks == nil {
		l.lacks = map[placement.ModelKey]time.Time{}
	}
	l.lacks[k] = now
}

// lacks tells whether a server lately did not have something.
func (c *chooser) lacks(now time.Time, id domain.ServerID, k placement.ModelKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.of(id)
	at, ok := l.lacks[k]
	if ok && now.Sub(at) >= lackMemory {
		delete(l.lacks, k)
		return false
	}
	return ok
}

// done takes a request off a server's count.
func (c *chooser) done(id domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(id).inFlight--
}

// answered takes in what an answer shows: how long it took and what the server
// says of its load.
func (c *chooser) answered(now time.Time, id domain.ServerID, took time.Duration, said Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordSuccess(now, id)
	l := c.of(id)
	if l.delayed.IsZero() || now.Sub(l.delayed) > delayMemory {
		l.delay = took
	} else {
		l.delay += time.Duration(delayShare * float64(took-l.delay))
	}
	l.delayed = now
	if said.Known {
		l.others = max(0, float64(said.Running)+waitingCost*float64(said.Waiting)-float64(l.inFlight))
		l.reported = now
	}
}

// silent notes that a server did not answer a request at all: others go first for
// a while.
func (c *chooser) silent(now time.Time, id domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordFailure(now, id, false)
	l := c.of(id)
	l.delay, l.delayed = silentDelay, now
}

// delay is a server's usual time to an answer, 0 where it is not known.
func (c *chooser) delay(now time.Time, id domain.ServerID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.of(id)
	if !l.known(now) {
		return 0
	}
	return l.delay
}

// failed counts a failure of a server.
func (c *chooser) failed(now time.Time, id domain.ServerID, unreached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordFailure(now, id, unreached)
}

// full notes that a server refused for want of room.
func (c *chooser) full(now time.Time, s *fleet.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.of(s.ID)
	l.others = max(l.others, waitingCost*float64(s.Slots))
	l.reported = now
}

// running counts the requests in flight of this node.
func (c *chooser) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, l := range c.loads {
		n += l.inFlight
	}
	return n
}
