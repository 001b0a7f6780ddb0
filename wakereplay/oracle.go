package wakereplay

import (
	"cmp"
	"slices"
	"time"
)

// slack is what the oracle adds to a load from the weight store, for the queue there.
const slack = time.Second

// Oracle knows every later arrival. It keeps a replica where that is cheaper than
// waking it again, and evicts what is needed last. With ahead it also loads each model just
// before its callers come, which no policy can do that must guess.
func Oracle(ahead bool) Strategy {
	name := "oracle, keep only"
	if ahead {
		name = "oracle, keep and load ahead"
	}
	return Strategy{name, func(r *replay) strategy {
		o := &oracle{replay: r, ahead: ahead, at: make([]int, len(r.models))}
		return o
	}}
}

type oracle struct {
	*replay
	ahead bool
	// at is the index of each model's next arrival in future.
	at []int
}

func (o *oracle) arrived(m int) { o.at[m]++ }

// upcoming is when the model is needed next.
func (o *oracle) upcoming(m int) time.Duration {
	if o.at[m] < len(o.future[m]) {
		return o.future[m][o.at[m]]
	}
	return o.trace.Length
}

func (o *oracle) keep(m int) time.Duration {
	idle := o.upcoming(m) - o.now
	again := o.transfer(m, inMemory)
	cost := o.result.Weights.Cost(o.waits(m, again), 0)
	if o.ahead {
		cost = min(cost, o.result.Weights.Cost(0, again))
	}
	if o.result.Weights.Cost(0, idle) <= cost && o.at[m] < len(o.future[m]) {
		return forever
	}
	return 0
}

// waits is how long the callers of the next burst would wait together.
func (o *oracle) waits(m int, load time.Duration) time.Duration {
	var sum time.Duration
	first := o.upcoming(m)
	for i := o.at[m]; i < len(o.future[m]) && o.future[m][i] < first+load; i++ {
		sum += first + load - o.future[m][i]
	}
	return sum
}

func (o *oracle) due() []int { return nil }

// review returns when to look at a model that is not loaded: early enough for the
// slowest load, then for the load as it would be now.
func (o *oracle) review(m int) (at time.Duration, load bool) {
	if !o.ahead || o.at[m] >= len(o.future[m]) {
		return forever, false
	}
	s, _, ok := o.place(m)
	if !ok {
		return o.now + slack, false
	}
	takes := o.transfer(m, o.servers[s].tier(m))
	if o.servers[s].tier(m) == remote {
		takes += slack
	}
	begin := o.upcoming(m) - takes
	if o.now >= begin {
		gain := o.result.Weights.Cost(o.waits(m, takes), 0)
		return forever, gain > o.result.Weights.Cost(0, takes)
	}
	if early := o.upcoming(m) - o.transfer(m, remote) - slack; o.now < early {
		return early, false
	}
	return min(begin, o.now+slack), false
}

// place takes the nearest cache, then the least valuable room.
func (o *oracle) place(m int) (server int, victims []int, ok bool) {
	var best, most time.Duration
	for s := range o.servers {
		gone, found := o.last(s, m)
		if !found {
			continue
		}
		cost := o.transfer(m, o.servers[s].tier(m))
		for _, v := range gone {
			if o.upcoming(v) < o.now+time.Hour {
				cost += o.transfer(v, inMemory)
			}
		}
		room := o.diskRoom(s)
		if !ok || cost < best || cost == best && room > most {
			server, victims, ok, best, most = s, gone, true, cost, room
		}
	}
	return server, victims, ok
}

// diskRoom is when the checkpoint that a server's disk would drop next is needed.
func (o *oracle) diskRoom(s int) time.Duration {
	x := &o.servers[s]
	if len(x.disk) < x.diskSlots {
		return o.trace.Length + 1
	}
	return o.upcoming(x.disk[0])
}

// last makes room on a server with the replicas that are needed last.
func (o *oracle) last(s, m int) (victims []int, ok bool) {
	need := o.size(m) - o.servers[s].free
	if need <= 0 {
		return nil, true
	}
	idle := o.idleOn(s)
	slices.SortStableFunc(idle, func(a, b int) int { return cmp.Compare(o.upcoming(b), o.upcoming(a)) })
	for _, v := range idle {
		victims = append(victims, v)
		if need -= o.size(v); need <= 0 {
			return victims, true
		}
	}
	return nil, false
}

func (o *oracle) next(queue []int) int {
	best := 0
	for i, m := range queue {
		if o.upcoming(m) < o.upcoming(queue[best]) || len(o.models[m].waiting) > len(o.models[queue[best]].waiting) {
			best = i
		}
	}
	return best
}
