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
	// simChanges is what an owner with a link of 10 Mbit/s may send to 86 nodes at once.
	simChanges = 30
	simNetwork = 6 * time.Millisecond
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
}

type simulation struct {
	random  *rand.Rand
	events  simEvents
	tables  [simNodes]Table
	servers [simServers]simServer
	// models are the servers that have each model.
	models [simModels][]Key
	// use is the work of the requests at the usual pace over the slots.
	use              float64
	sent, rejected   int
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
	s.send(now, &s.tables[s.random.IntN(simNodes)], s.models[s.random.IntN(simModels)], 3)
}

func (s *simulation) send(now time.Time, t *Table, candidates []Key, attempts int) {
	r := Request{Service: testService, Prompt: 1000, Size: 1100}
	var draw Draw
	for i, k := range candidates {
		state, rank := t.State(now, k, testService, simSlots), 0
		if !state.HasRoom(r) {
			rank = 1
		}
		draw.Consider(i, rank, state.FreeCapacity(r), 0, t.Estimate(state, r, 0, 0), s.random.Float64())
	}
	choice, _ := draw.Choose()
	k := candidates[choice.Index]
	t.Send(now, k, testService, r.Size)
	s.after(now, simNetwork, func(now time.Time) {
		server, measured := &s.servers[k], now.Sub(start) > simWarmUp
		if measured {
			s.sent++
		}
		if server.running == simSlots && len(server.queue) == simQueue {
			if measured {
				s.rejected++
			}
			report := s.report(k)
			s.after(now, simNetwork, func(now time.Time) {
				t.End(now, k, testService, r.Size)
				t.Record(now, k, report)
				t.RecordFull(now, k)
				if attempts > 1 {
					s.send(now, t, candidates, attempts-1)
				}
			})
			return
		}
		server.queue = append(server.queue, func(now time.Time) { s.run(now, t, k) })
		s.startQueued(now, server)
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
func (s *simulation) run(now time.Time, t *Table, k Key) {
	server := &s.servers[k]
	slowness := server.pace * (0.8 + 0.4*float64(server.running)/simSlots)
	s.after(now, time.Duration(slowness*80*float64(time.Millisecond)), func(now time.Time) {
		report := s.report(k)
		s.after(now, simNetwork, func(now time.Time) { t.Record(now, k, report) })
	})
	s.after(now, time.Duration(slowness*(0.5+s.random.Float64())*float64(simWork)), func(now time.Time) {
		server.running--
		s.startQueued(now, server)
		s.after(now, simNetwork, func(now time.Time) { t.End(now, k, testService, 1100) })
	})
}

// share lets a node report to the owner, node 0, which sends what has changed to all nodes.
func (s *simulation) share(now time.Time) {
	s.after(now, simShareEvery, s.share)
	changes := s.tables[0].TakeChanges(now, simChanges)
	for i := 1; i < simNodes; i++ {
		s.after(now, simNetwork, func(now time.Time) { s.tables[i].Apply(now, changes) })
		s.after(now, time.Duration(s.random.Int64N(int64(simShareEvery))), func(now time.Time) {
			own := s.tables[i].TakeOwn(now)
			s.after(now, simNetwork, func(now time.Time) { s.tables[0].Merge(now, own) })
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

// play returns the share of rejected sendings and the mean load of the busiest server over the mean.
func play(seed uint64, use float64, isShared bool) (rejected, busiest float64) {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), use: use}
	for i := range s.servers {
		s.servers[i].pace = 1
	}
	for m := range s.models {
		for _, k := range s.random.Perm(simServers)[:simReplicas] {
			s.models[m] = append(s.models[m], Key(k))
		}
	}
	s.after(start, 0, s.arrive)
	s.after(start, 0, s.change)
	if isShared {
		s.after(start, 0, s.share)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.Sub(start) > simTime {
			break
		}
		e.do(e.at)
	}
	return float64(s.rejected) / float64(s.sent), s.busiest / s.samples
}

// Pattern: 87 nodes send 720 or 864 requests a second to 60 servers of 24 slots, four servers for a
// model, paces between 0.6 and 1.6 that change three times a second. With the larger number, slots
// are in use to 0.7 on average and to more at the servers of five or more models. Guards against
// shared reports that make the nodes herd, and against missing the page's bounds.
func TestSharedReportsSpreadTheLoadOf87Nodes(t *testing.T) {
	const seeds = 3
	for _, use := range []float64{0.5, 0.6} {
		var rejected, busiest [2]float64
		for seed := range uint64(seeds) {
			for i, isShared := range []bool{false, true} {
				r, b := play(seed, use, isShared)
				rejected[i] += r / seeds
				busiest[i] += b / seeds
			}
		}
		t.Logf("use %.1f: rejected sendings %.4f without and %.4f with shared reports; busiest over mean %.2f and %.2f", use, rejected[0], rejected[1], busiest[0], busiest[1])
		if got, want := rejected[1], 0.03; got > want {
			t.Errorf("use %.1f: rejected sendings with shared reports: got %.4f, want %.2f at most", use, got, want)
		}
		if got, want := rejected[1], rejected[0]/3; got > want {
			t.Errorf("use %.1f: rejected sendings with shared reports: got %.4f, want a third of those without, %.4f, at most", use, got, want)
		}
		if got, want := busiest[1], 2.0; got > want {
			t.Errorf("use %.1f: busiest server over the mean with shared reports: got %.2f, want %.1f at most", use, got, want)
		}
	}
}
