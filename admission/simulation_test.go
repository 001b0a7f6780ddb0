package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// The simulated deployment: each model has its servers. A server admits its queue by rank. Nodes
// see all loads as of one report interval before, and their own sendings since.
const (
	simNodes, simModels, simServersOfModel = 80, 5, 3
	simSlots, simQueue                     = 24, 8
	simStep, simReportInterval             = 10 * time.Millisecond, 250 * time.Millisecond
	simWarmUp, simTime                     = 10 * time.Second, 40 * time.Second
	simGoal, simDeadline                   = time.Second, 8 * time.Second
	simFirstEvent                          = 200 * time.Millisecond
	simMeanHold                            = 3500 * time.Millisecond
	simTries                               = 3
)

type simRequest struct {
	Contender
	callerDeadline, callerGoal, retryAt time.Time
	node, tries, server                 int
	hold, backoff, wait                 time.Duration
	runsUntil, estimatedAt, triesAt     time.Time
	isReviewed                          bool
}

func simServerID(i int) domain.ServerID { return domain.ServerID(fmt.Sprint(i)) }

type simServer struct{ running, queue []*simRequest }

func (s *simServer) load() int { return len(s.running) + len(s.queue) }

// advance ends and starts requests, and cuts those whose deadlines have passed.
func (s *simServer) advance(now time.Time, ended, cut func(*simRequest)) {
	s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool {
		isEnded, isCut := !r.runsUntil.After(now), !r.callerDeadline.After(now)
		if isEnded {
			ended(r)
		} else if isCut {
			cut(r)
		}
		return isEnded || isCut
	})
	slices.SortStableFunc(s.queue, func(a, b *simRequest) int { return cmp.Compare(a.Rank, b.Rank) })
	for len(s.queue) > 0 && len(s.running) < simSlots {
		r := s.queue[0]
		s.queue, s.running = s.queue[1:], append(s.running, r)
		r.runsUntil = now.Add(r.hold)
	}
}

type simNode struct {
	contention Contention
	waiting    []*simRequest
	// since is the number of sendings to each server since the reports.
	since [simModels * simServersOfModel]int
}

// simResult counts the requests of one rank by their ends.
type simResult struct{ inGoal, late, refused, cut int }

type simulation struct {
	// arrivals gives the same requests with and without the change, random all else.
	arrivals, random   *rand.Rand
	isChanged          bool
	now, start         time.Time
	nodes              [simNodes]simNode
	servers            [simModels * simServersOfModel]simServer
	reports, next      [simModels * simServersOfModel]int
	retries            []*simRequest
	results            [2]simResult
	sendings, rejected int
	lateRefusals       int
}

func (s *simulation) count(r *simRequest, f func(*simResult)) {
	if r.callerDeadline.Add(-simDeadline).Sub(s.start) > simWarmUp {
		f(&s.results[min(1, r.Rank)])
	}
}

func (s *simulation) ended(r *simRequest) {
	c := &s.nodes[r.node].contention
	c.RecordHoldTime(r.hold)
	c.RecordFirstEvent(simFirstEvent)
	s.count(r, func(x *simResult) {
		if r.runsUntil.Add(simFirstEvent - r.hold).After(r.callerGoal) {
			x.late++
		} else {
			x.inGoal++
		}
	})
}

func (s *simulation) cut(r *simRequest) { s.count(r, func(x *simResult) { x.cut++ }) }

func (s *simulation) loads(r *simRequest) (list []ServerLoad, first int) {
	fmt.Sscan(string(r.Model), &first)
	first *= simServersOfModel
	for i := first; i < first+simServersOfModel; i++ {
		list = append(list, ServerLoad{Server: simServerID(i), IsKnown: true, InUse: float64(s.reports[i] + s.nodes[r.node].since[i]), Slots: simSlots})
	}
	return list, first
}

// send sends a request to a server and returns false if that rejects it.
func (s *simulation) send(r *simRequest, server int) bool {
	n := &s.nodes[r.node]
	n.contention.RecordSending(s.now, &r.Contender)
	s.sendings++
	n.since[server]++
	if s.servers[server].load() >= simSlots+simQueue {
		s.rejected++
		n.since[server] += simSlots
		n.contention.RecordRejection(s.now, ServerLoad{Server: simServerID(server)})
		return false
	}
	r.server = server
	s.servers[server].queue = append(s.servers[server].queue, r)
	return true
}

func (s *simulation) refuse(r *simRequest, retryAfter time.Duration) {
	if s.now.Sub(r.ArrivedAt) > simGoal/8+2*simStep {
		s.lateRefusals++
	}
	s.nodes[r.node].contention.RecordRefusal(&r.Contender)
	if r.tries++; r.tries >= simTries || s.now.Add(retryAfter+simMeanHold).After(r.callerDeadline) {
		s.count(r, func(x *simResult) { x.refused++ })
		return
	}
	r.retryAt = s.now.Add(retryAfter)
	s.retries = append(s.retries, r)
}

// stepWithout is one step of a waiting request without the change: it goes to the least loaded
// server, and waits for the refusal backoff if that rejects it. It returns true if it has ended.
func (s *simulation) stepWithout(r *simRequest) bool {
	if s.now.Before(r.estimatedAt) {
		return false
	}
	if s.now.Sub(r.ArrivedAt) > 4*simGoal || s.now.Add(150*time.Millisecond).After(r.Deadline) {
		s.refuse(r, time.Second)
		return true
	}
	loads, first := s.loads(r)
	best := s.random.IntN(len(loads))
	for i, l := range loads {
		if l.InUse < loads[best].InUse {
			best = i
		}
	}
	r.backoff = min(800*time.Millisecond, max(60*time.Millisecond, 2*r.backoff))
	r.estimatedAt = s.now.Add(r.backoff)
	return s.send(r, first+best)
}

// stepWith is one step with the change.
func (s *simulation) stepWith(r *simRequest) bool {
	c := &s.nodes[r.node].contention
	loads, first := s.loads(r)
	best := -1
	for i, l := range loads {
		if !s.now.Before(r.triesAt) && (best < 0 || l.InUse < loads[best].InUse) && c.MayTake(s.now, &r.Contender, l, c.Roominess(s.now, &r.Contender, loads), s.random.Float64()) {
			best = i
		}
	}
	if !s.now.Before(r.triesAt) {
		r.triesAt = s.now.Add(PollInterval)
	}
	if best >= 0 && s.send(r, first+best) {
		if !r.estimatedAt.IsZero() {
			c.Remove(&r.Contender)
		}
		return true
	}
	isDue := !r.isReviewed && !s.now.Before(r.ReviewAt())
	isRefused := !s.now.Before(c.WaitsUntil(&r.Contender))
	if r.estimatedAt.IsZero() || isDue {
		r.isReviewed = isDue
		outlook, wait := c.Assess(s.now, &r.Contender, loads, isDue)
		isRefused, r.wait = outlook == NotServable, wait
	}
	if r.estimatedAt.IsZero() && !isRefused {
		r.estimatedAt = s.now
		c.Add(&r.Contender)
	}
	if isRefused {
		if !r.estimatedAt.IsZero() {
			c.Remove(&r.Contender)
		}
		s.refuse(r, c.RetryAfter(s.now, &r.Contender, r.wait, s.random.Float64()))
	}
	return isRefused
}

// arrive gives a request to a random node.
func (s *simulation) arrive(r *simRequest) {
	r.node, r.ArrivedAt, r.GoalAt, r.Deadline = s.random.IntN(simNodes), s.now, s.now.Add(simGoal), r.callerDeadline
	r.backoff, r.estimatedAt, r.triesAt, r.isReviewed = 0, time.Time{}, time.Time{}, false
	n := &s.nodes[r.node]
	n.contention.RecordArrival(s.now, &r.Contender)
	n.waiting = append(n.waiting, r)
}

// stepNodes lets the requests at the nodes go on, in the order of the waiting requests.
func (s *simulation) stepNodes() {
	for i := range s.nodes {
		n := &s.nodes[i]
		slices.SortStableFunc(n.waiting, func(a, b *simRequest) int { return compare(&a.Contender, &b.Contender, false, false) })
		n.waiting = slices.DeleteFunc(n.waiting, func(r *simRequest) bool {
			if s.isChanged {
				return s.stepWith(r)
			}
			return s.stepWithout(r)
		})
	}
}

// run plays arrivals at factor times the capacity, three in ten of rank 0 and the others of rank 5.
func (s *simulation) run(factor float64) {
	rate := factor * simModels * simServersOfModel * simSlots / simMeanHold.Seconds()
	nextArrival := s.start
	for s.now = s.start; s.now.Sub(s.start) < simWarmUp+simTime+simDeadline; s.now = s.now.Add(simStep) {
		for i := range s.servers {
			s.servers[i].advance(s.now, s.ended, s.cut)
		}
		if s.now.Sub(s.start)%simReportInterval == 0 {
			s.reports = s.next
			for i := range s.servers {
				s.next[i] = s.servers[i].load()
			}
			for i := range s.nodes {
				s.nodes[i].since = [simModels * simServersOfModel]int{}
				for server, load := range s.reports {
					s.nodes[i].contention.Observe(s.now, ServerLoad{Server: simServerID(server), IsKnown: true, InUse: float64(load), Slots: simSlots})
				}
			}
		}
		for ; !nextArrival.After(s.now) && s.now.Sub(s.start) < simWarmUp+simTime; nextArrival = nextArrival.Add(time.Duration(s.arrivals.ExpFloat64() / rate * float64(time.Second))) {
			r := &simRequest{callerDeadline: s.now.Add(simDeadline), callerGoal: s.now.Add(simGoal), hold: time.Second + time.Duration(s.arrivals.Float64()*float64(5*time.Second))}
			r.Model = domain.ModelName(fmt.Sprint(s.arrivals.IntN(simModels)))
			if s.arrivals.Float64() >= 0.3 {
				r.Rank = 5
			}
			s.arrive(r)
		}
		s.retries = slices.DeleteFunc(s.retries, func(r *simRequest) bool {
			if r.retryAt.After(s.now) {
				return false
			}
			s.arrive(r)
			return true
		})
		s.stepNodes()
	}
}

func (r simResult) shares() [4]float64 {
	total := float64(max(1, r.inGoal+r.late+r.refused+r.cut)) / 100
	return [4]float64{float64(r.inGoal) / total, float64(r.late) / total, float64(r.refused) / total, float64(r.cut) / total}
}

// The load patterns are a normal load, a lasting overload of all ranks, and twice the capacity. Without
// the change, urgent requests wait behind others and most sendings are rejected.
func TestRanksUnderLoad(t *testing.T) {
	for _, factor := range []float64{0.8, 1.2, 2} {
		var inGoal [2][2]float64
		for i, isChanged := range []bool{false, true} {
			s := &simulation{arrivals: rand.New(rand.NewPCG(1, 1)), random: rand.New(rand.NewPCG(1, 2)), isChanged: isChanged, start: time.Unix(0, 0)}
			s.run(factor)
			for rank, r := range s.results {
				x := r.shares()
				inGoal[i][rank] = x[0]
				t.Logf("load %.1f, changed %-5v rank %d: in goal %5.1f%%, late %5.1f%%, refused %5.1f%%, cut %5.1f%%", factor, isChanged, 5*rank, x[0], x[1], x[2], x[3])
			}
			rejected := 100 * float64(s.rejected) / float64(s.sendings)
			t.Logf("  rejected %.1f%% of %d sendings, refused after more than an eighth of the goal: %d", rejected, s.sendings, s.lateRefusals)
			if isChanged && rejected > 10 {
				t.Errorf("load %.1f: servers rejected %.1f%% of the sendings, want at most 10%%", factor, rejected)
			}
		}
		if got, want := inGoal[1][0], 90.0; got < want {
			t.Errorf("load %.1f: %.1f%% of the urgent requests in their goal, want at least %.1f%%", factor, got, want)
		}
		if got, want := inGoal[1][1], 0.95*inGoal[0][1]; got < want {
			t.Errorf("load %.1f: %.1f%% of the other requests in their goal, want at least %.1f%%", factor, got, want)
		}
	}
}
