package serverload

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// The simulated load: simNodes nodes without a common queue send requests for models to the few
// servers that have each model.
const (
	simNodes      = 87
	simServers    = 60
	simSlots      = 24
	simQueue      = 4
	simModels     = 75
	simReplicas   = 4
	simWork       = time.Second
	simWarmUp     = 4 * time.Second
	simTime       = 16 * time.Second
	simShareEvery = 250 * time.Millisecond
	simNetwork    = 6 * time.Millisecond
	// simChanges is what an owner with a link of 10 Mbit/s may send to 86 nodes at once, and
	// simPrefixes what it sends in place of an eighth of them.
	simChanges  = 30
	simPrefixes = 5
	// Each prompt has simSharedPart tokens that one in simPrompts of its model share, and
	// simPrivatePart of its own. A response has simOutput tokens.
	simPrompts     = 12
	simSharedPart  = 700
	simPrivatePart = 300
	simOutput      = 100
	simSize        = simSharedPart + simPrivatePart + simOutput
	simCacheTokens = 90_000
)

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Time
	do func(now time.Time)
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simServer runs simSlots requests at once, each slower the more there are.
type simServer struct {
	running int
	queue   []func(time.Time)
	pace    float64
	// tokensRead counts the tokens added to the cache; readAt is its value at the last use of each
	// shared part.
	tokensRead int
	readAt     map[uint64]int
}

// read adds a prompt to the cache, and returns the tokens of its shared part that were not there.
// The parts that were not used for the longest time yield.
func (s *simServer) read(part uint64) int {
	uncached := 0
	if at, ok := s.readAt[part]; !ok || s.tokensRead-at > simCacheTokens-simSize*s.running {
		uncached = simSharedPart
	}
	s.tokensRead += uncached + simPrivatePart + simOutput
	s.readAt[part] = s.tokensRead
	return uncached
}

// simMode says what nodes share and use.
type simMode struct{ sharesLoads, usesCaches, sharesCaches bool }

// simResult has the share of rejected sendings, the load of the busiest server over the mean and the
// share of the tokens of shared parts that were read anew.
type simResult struct{ rejected, busiest, reread float64 }

type simulation struct {
	random  *rand.Rand
	events  simEvents
	tables  [simNodes]Table
	servers [simServers]simServer
	// models are the servers that have each model.
	models [simModels][]Key
	// use is the work of the requests at the usual pace over the slots.
	use              float64
	mode             simMode
	sent, rejected   int
	read, reread     int
	samples, busiest float64
}

func (s *simulation) after(now time.Time, d time.Duration, do func(time.Time)) {
	heap.Push(&s.events, simEvent{at: now.Add(d), do: do})
}

func (s *simulation) report(k Key) Report {
	server := &s.servers[k]
	return Report{Running: server.running, Waiting: len(server.queue), Slots: simSlots, Pace: server.pace}
}

// arrive sends a request for a random model from a random node, again after a rejection.
func (s *simulation) arrive(now time.Time) {
	rate := s.use * simServers * simSlots
	s.after(now, time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), s.arrive)
	m := s.random.IntN(simModels)
	part := uint64(m*simPrompts + s.random.IntN(simPrompts))
	r := &Request{Service: testService, Prompt: simSharedPart + simPrivatePart, Size: simSize, CacheTokens: simCacheTokens}
	if s.mode.usesCaches {
		r.Prefixes = NewPrefixes("m", "")
		r.Prefixes.Add(part, simSharedPart, false)
		r.Prefixes.Add(s.random.Uint64(), simPrivatePart, true)
	}
	s.send(now, &s.tables[s.random.IntN(simNodes)], s.models[m], r, part, 3)
}

// choose returns the server for a request.
func (s *simulation) choose(now time.Time, t *Table, candidates []Key, r *Request) Key {
	var draw Draw
	for i, k := range candidates {
		state := t.State(now, k, testService, simSlots)
		cached := t.Cached(now, k, state, r)
		c := Candidate{Index: i, Weight: state.FreeCapacity(r), Estimate: t.Estimate(state, r, cached, 0), Cached: cached, MayPreferCache: state.MayPreferCache(r), HomeOrder: r.Prefixes.HomeOrder(k)}
		if !state.HasRoom(r) {
			c.Rank = 1
		}
		draw.Consider(&c, s.random.Float64())
	}
	chosen, _, _ := draw.Choose(t.Saving(r))
	return candidates[chosen.Index]
}

func (s *simulation) send(now time.Time, t *Table, candidates []Key, r *Request, part uint64, attempts int) {
	k := s.choose(now, t, candidates, r)
	t.Send(now, k, testService, r.Size)
	s.after(now, simNetwork, func(now time.Time) {
		server := &s.servers[k]
		isRejected := server.running == simSlots && len(server.queue) == simQueue
		if now.Sub(start) > simWarmUp {
			s.sent++
			if isRejected {
				s.rejected++
			}
		}
		if !isRejected {
			server.queue = append(server.queue, func(now time.Time) { s.run(now, t, k, r, part) })
			s.startQueued(now, server)
			return
		}
		report := s.report(k)
		s.after(now, simNetwork, func(now time.Time) {
			t.End(now, k, testService, r.Size)
			t.Record(now, k, report)
			t.RecordFull(now, k)
			if attempts > 1 {
				s.send(now, t, candidates, r, part, attempts-1)
			}
		})
	})
}

func (s *simulation) startQueued(now time.Time, server *simServer) {
	for server.running < simSlots && len(server.queue) > 0 {
		begin := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		begin(now)
	}
}

// run runs a request. The node hears of the server's load with the first event.
func (s *simulation) run(now time.Time, t *Table, k Key, r *Request, part uint64) {
	server := &s.servers[k]
	uncached := server.read(part)
	if now.Sub(start) > simWarmUp {
		s.read += simSharedPart
		s.reread += uncached
	}
	slowness := server.pace * (0.8 + 0.4*float64(server.running)/simSlots)
	firstEvent := time.Duration(slowness * float64(30+(uncached+simPrivatePart)/20) * float64(time.Millisecond))
	s.after(now, firstEvent, func(now time.Time) {
		report := s.report(k)
		s.after(now, simNetwork, func(now time.Time) {
			t.Record(now, k, report)
			t.RecordRead(now, k, simSlots, r)
		})
	})
	s.after(now, firstEvent+time.Duration(slowness*(0.5+s.random.Float64()-0.08)*float64(simWork)), func(now time.Time) {
		server.running--
		s.startQueued(now, server)
		s.after(now, simNetwork, func(now time.Time) { t.End(now, k, testService, r.Size) })
	})
}

// share lets each node report to the owner, node 0, which sends to all nodes what has changed.
func (s *simulation) share(now time.Time) {
	s.after(now, simShareEvery, s.share)
	var prefixes []SharedPrefix
	if s.mode.sharesCaches {
		prefixes = s.tables[0].TakePrefixes(now, simPrefixes)
	}
	changes := s.tables[0].TakeChanges(now, simChanges-len(prefixes)*3/4)
	for i := 1; i < simNodes; i++ {
		s.after(now, simNetwork, func(now time.Time) {
			s.tables[i].Apply(now, changes)
			s.tables[i].ApplyPrefixes(now, prefixes, false)
		})
		s.after(now, time.Duration(s.random.Int64N(int64(simShareEvery))), func(now time.Time) {
			loads, read := s.tables[i].TakeOwn(now), s.tables[i].TakePrefixes(now, simPrefixes)
			s.after(now, simNetwork, func(now time.Time) {
				s.tables[0].Merge(now, loads)
				s.tables[0].ApplyPrefixes(now, read, true)
			})
		})
	}
}

// change gives a server another pace, and samples the load of the busiest server.
func (s *simulation) change(now time.Time) {
	s.after(now, 5*time.Millisecond, s.change)
	s.servers[s.random.IntN(simServers)].pace = 0.6 + s.random.Float64()
	if now.Sub(start) < simWarmUp {
		return
	}
	total, most := 0, 0
	for k := range s.servers {
		n := s.servers[k].running + len(s.servers[k].queue)
		total, most = total+n, max(most, n)
	}
	s.samples++
	s.busiest += float64(most) * simServers / float64(max(1, total))
}

// play plays the load with one use of the slots.
func play(seed uint64, use float64, mode simMode) simResult {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), use: use, mode: mode}
	for i := range s.servers {
		s.servers[i].pace, s.servers[i].readAt = 1, map[uint64]int{}
	}
	for m := range s.models {
		for _, k := range s.random.Perm(simServers)[:simReplicas] {
			s.models[m] = append(s.models[m], Key(k))
		}
	}
	s.after(start, 0, s.arrive)
	s.after(start, 0, s.change)
	if mode.sharesLoads {
		s.after(start, 0, s.share)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.Sub(start) > simTime {
			break
		}
		e.do(e.at)
	}
	return simResult{float64(s.rejected) / float64(s.sent), s.busiest / s.samples, float64(s.reread) / float64(s.read)}
}

// playSeeds returns the mean of three seeds.
func playSeeds(use float64, mode simMode) simResult {
	const seeds = 3
	var sum simResult
	for seed := range uint64(seeds) {
		r := play(seed, use, mode)
		sum.rejected += r.rejected / seeds
		sum.busiest += r.busiest / seeds
		sum.reread += r.reread / seeds
	}
	return sum
}

// Pattern: 87 nodes send 720 or 864 requests a second to 60 servers of 24 slots, four servers for a
// model, paces between 0.6 and 1.6 that change three times a second. With the larger number, slots
// are in use to 0.7 on average and to more at the servers of five or more models. Guards against
// shared reports that make the nodes herd, and against missing the page's bounds.
func TestSharedReportsSpreadTheLoadOf87Nodes(t *testing.T) {
	for _, use := range []float64{0.5, 0.6} {
		without, with := playSeeds(use, simMode{}), playSeeds(use, simMode{sharesLoads: true})
		t.Logf("use %.1f: without shared reports %.4f, with them %.4f", use, without, with)
		if got, want := with.rejected, 0.03; got > want {
			t.Errorf("use %.1f: rejected sendings with shared reports: got %.4f, want %.2f at most", use, got, want)
		}
		if got, want := with.rejected, without.rejected/3; got > want {
			t.Errorf("use %.1f: rejected sendings with shared reports: got %.4f, want a third of those without, %.4f, at most", use, got, want)
		}
		if got, want := with.busiest, 2.0; got > want {
			t.Errorf("use %.1f: busiest server over the mean with shared reports: got %.2f, want %.1f at most", use, got, want)
		}
	}
}

// Pattern: as above, where a server keeps what it has read for some seconds. Guards against caches
// that are not used, and against nodes that herd at the server with the cached part.
func TestCachesAreUsedWithoutHerding(t *testing.T) {
	for _, use := range []float64{0.3, 0.5, 0.6} {
		without := playSeeds(use, simMode{sharesLoads: true})
		own := playSeeds(use, simMode{sharesLoads: true, usesCaches: true})
		shared := playSeeds(use, simMode{sharesLoads: true, usesCaches: true, sharesCaches: true})
		if got, want := shared.rejected, max(0.03, without.rejected); got > want {
			t.Errorf("use %.1f: rejected sendings: got %.4f, want %.4f at most", use, got, want)
		}
		if got, want := shared.reread, 1.1*without.reread; got > want {
			t.Errorf("use %.1f: shared tokens read anew: got %.4f, want %.4f at most", use, got, want)
		}
		if got, want := shared.reread, without.reread/2; use < 0.4 && got > want {
			t.Errorf("use %.1f: shared tokens read anew: got %.4f, want half of those without caches, %.4f, at most", use, got, want)
		}
		t.Logf("use %.1f: caches not used %.4f, own knowledge %.4f, shared knowledge %.4f", use, without, own, shared)
	}
}
