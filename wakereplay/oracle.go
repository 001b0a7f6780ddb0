package wakereplay

import (
	"cmp"
	"slices"
	"time"
)

// storeQueueMargin is the time that the oracle adds to a load from the weight store for the
// queue there.
const storeQueueMargin = time.Second

// Oracle returns a strategy that knows all future arrivals. It keeps an idle replica until its
// next request if that costs no more than another load, and evicts by Belady's algorithm. With
// prewarm, it also starts loads just before the next arrival, which no strategy without this
// knowledge can match.
func Oracle(prewarm bool) Strategy {
	name := "oracle, keep only"
	if prewarm {
		name = "oracle, keep and load ahead"
	}
	return Strategy{name, func(r *replay) strategy {
		o := &oracle{replay: r, prewarms: prewarm, nextIndex: make([]int, len(r.models))}
		return o
	}}
}

type oracle struct {
	*replay
	prewarms bool
	// nextIndex is the index of each model's next arrival in arrivalTimes.
	nextIndex []int
}

func (o *oracle) recordArrival(m int) { o.nextIndex[m]++ }

// nextArrival returns the time of a model's next arrival, or the end of the trace if there is
// none.
func (o *oracle) nextArrival(m int) time.Duration {
	if o.nextIndex[m] < len(o.arrivalTimes[m]) {
		return o.arrivalTimes[m][o.nextIndex[m]]
	}
	return o.trace.Length
}

func (o *oracle) keepAlive(m int) time.Duration {
	idle := o.nextArrival(m) - o.now
	reload := o.transferTime(m, inMemory)
	cost := o.result.Weights.Cost(o.burstWait(m, reload), 0)
	if o.prewarms {
		cost = min(cost, o.result.Weights.Cost(0, reload))
	}
	if o.result.Weights.Cost(0, idle) <= cost && o.nextIndex[m] < len(o.arrivalTimes[m]) {
		return forever
	}
	return 0
}

// burstWait returns the total wait of the requests that arrive during a load which begins with
// the next arrival.
func (o *oracle) burstWait(m int, load time.Duration) time.Duration {
	var sum time.Duration
	first := o.nextArrival(m)
	for i := o.nextIndex[m]; i < len(o.arrivalTimes[m]) && o.arrivalTimes[m][i] < first+load; i++ {
		sum += first + load - o.arrivalTimes[m][i]
	}
	return sum
}

func (o *oracle) modelsToPrewarm() []int { return nil }

// prewarmTime reports, once the load must start to end by the next arrival, whether pre-warming
// saves more than it costs. Until then it returns the time of the next check: the start of the
// slowest possible load, and after that a time at most storeQueueMargin ahead.
func (o *oracle) prewarmTime(m int) (at time.Duration, load bool) {
	if !o.prewarms || o.nextIndex[m] >= len(o.arrivalTimes[m]) {
		return forever, false
	}
	s, _, ok := o.place(m)
	if !ok {
		return o.now + storeQueueMargin, false
	}
	loadTime := o.transferTime(m, o.servers[s].tier(m))
	if o.servers[s].tier(m) == inStore {
		loadTime += storeQueueMargin
	}
	start := o.nextArrival(m) - loadTime
	if o.now >= start {
		gain := o.result.Weights.Cost(o.burstWait(m, loadTime), 0)
		return forever, gain > o.result.Weights.Cost(0, loadTime)
	}
	if earliest := o.nextArrival(m) - o.transferTime(m, inStore) - storeQueueMargin; o.now < earliest {
		return earliest, false
	}
	return min(start, o.now+storeQueueMargin), false
}

// place selects the server with the lowest cost. The cost is the transfer time of m, plus the
// reload time of each victim with an arrival within the next hour. Between servers of equal cost,
// place selects the one where the checkpoint displaced from disk has the latest next arrival.
func (o *oracle) place(m int) (server int, victims []int, ok bool) {
	var lowestCost, latestUse time.Duration
	for s := range o.servers {
		evicted, fits := o.beladyVictims(s, m)
		if !fits {
			continue
		}
		cost := o.transferTime(m, o.servers[s].tier(m))
		for _, v := range evicted {
			if o.nextArrival(v) < o.now+time.Hour {
				cost += o.transferTime(v, inMemory)
			}
		}
		nextUse := o.displacedNextUse(s)
		if !ok || cost < lowestCost || cost == lowestCost && nextUse > latestUse {
			server, victims, ok, lowestCost, latestUse = s, evicted, true, cost, nextUse
		}
	}
	return server, victims, ok
}

// displacedNextUse returns the next arrival for the checkpoint that the server's disk would
// displace, or a time after the end of the trace if a slot is free.
func (o *oracle) displacedNextUse(s int) time.Duration {
	x := &o.servers[s]
	if len(x.disk) < x.diskSlots {
		return o.trace.Length + 1
	}
	return o.nextArrival(x.disk[0])
}

// beladyVictims selects the idle replicas whose next arrivals are furthest away until m fits on
// the server.
func (o *oracle) beladyVictims(s, m int) (victims []int, ok bool) {
	need := o.size(m) - o.servers[s].freeMemory
	if need <= 0 {
		return nil, true
	}
	idle := o.idleReplicas(s)
	slices.SortStableFunc(idle, func(a, b int) int { return cmp.Compare(o.nextArrival(b), o.nextArrival(a)) })
	for _, v := range idle {
		victims = append(victims, v)
		if need -= o.size(v); need <= 0 {
			return victims, true
		}
	}
	return nil, false
}

// nextLoad prefers loads with an earlier next arrival or with more waiting requests.
func (o *oracle) nextLoad(queue []int) int {
	best := 0
	for i, m := range queue {
		if o.nextArrival(m) < o.nextArrival(queue[best]) || len(o.models[m].waiting) > len(o.models[queue[best]].waiting) {
			best = i
		}
	}
	return best
}
