package admission

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// Ranks is the number of ranks. Rank 0 is the most urgent one.
	Ranks = 10
	// arrivalPeriod is the period over which recent arrivals count. A node of a large deployment
	// gets two or three requests a second over all models.
	arrivalPeriod = 15 * time.Second
	// minimumArrivals is the weighted number of arrivals from which a rank counts as seen.
	minimumArrivals = 0.1
	// reservedShare is the share of the slots that is reserved where nearly all requests are more
	// urgent. It covers what they use in the delay of the load reports: 0.5 s of running times of
	// 2 to 4 s.
	reservedShare = 0.15
	// queueShare is the number of requests that the most urgent rank may queue at a server, as a
	// share of its slots. minimumQueue is the lower bound of that number.
	queueShare   = 0.125
	minimumQueue = 2.0
	// queueGoalShare is the share of the latency goal that a request may spend in the queue of a
	// server.
	queueGoalShare = 0.5
	// starvationRefusals is the number of refusals of a rank in a row after which one of its
	// requests may use the slots that are reserved for more urgent ones.
	starvationRefusals = 8
	// sendingPeriod is the period over which recent sendings count for the shares of workspaces.
	sendingPeriod = 10 * time.Second
	// fairShareTolerance is how much of its fair share a workspace may use before its requests are
	// ordered behind others, and minimumSendings the number of its recent sendings.
	fairShareTolerance = 1.25
	minimumSendings    = 3.0
	// maximumWorkspaces bounds the workspaces whose sendings are counted.
	maximumWorkspaces = 4096
	// initialHoldTime is the assumed running time of requests before any has ended.
	initialHoldTime = time.Second
	// timeWeight is the weight of a new sample in the averages of running times.
	timeWeight = 0.1
)

// Contender is a request that needs room at a server of its service.
type Contender struct {
	// Rank is from 0, the most urgent, to 9.
	Rank      int
	Workspace domain.WorkspaceName
	// Model is the model of the request. Requests for one model need room at the same servers.
	Model domain.ModelName
	// ArrivedAt is when this node received the request, GoalAt when its response should begin and
	// Deadline when its caller gives up.
	ArrivedAt, GoalAt, Deadline time.Time
	// IsRetried is true if this node has refused a request with the same content shortly before.
	IsRetried bool
}

// goal returns the latency goal.
func (r *Contender) goal() time.Duration { return r.GoalAt.Sub(r.ArrivedAt) }

// rank returns the rank within its bounds.
func (r *Contender) rank() int { return max(0, min(r.Rank, Ranks-1)) }

// ServerLoad is what a node knows of the load of one server.
type ServerLoad struct {
	Server domain.ServerID
	// IsKnown is false if there is no recent report. InUse then counts the requests of this node.
	IsKnown bool
	// InUse is the number of running and waiting requests.
	InUse float64
	Slots int
	// Pace is how long work takes relative to the usual time; 0 if it is not known.
	Pace float64
	// Wait is the time until a new request begins to run; 0 if it is not known.
	Wait time.Duration
}

// Contention holds what one node knows of the competition for the servers of one service, and the
// requests that wait for room there. It decides which requests may be sent to which servers, and
// which are refused. The zero Contention is ready for use. It is not safe for concurrent use.
type Contention struct {
	arrivals [Ranks]decayingCount
	// refusals is the number of refusals of each rank since its last sending.
	refusals [Ranks]int
	sendings map[domain.WorkspaceName]*decayingCount
	// holdTime is the moving average of the running time of requests, firstEventTime that of the
	// time to the first event. They are 0 before the first sample.
	holdTime, firstEventTime time.Duration
	// inflows are those of servers that were full.
	inflows map[domain.ServerID]*serverInflow
	// waiting are the requests that wait for room, in no order.
	waiting []*Contender
}

// RecordArrival records a request that arrived for the service.
func (c *Contention) RecordArrival(now time.Time, r *Contender) {
	c.arrivals[r.rank()].add(now, arrivalPeriod)
}

// RecordSending records that a request was sent to a server.
func (c *Contention) RecordSending(now time.Time, r *Contender) {
	c.refusals[r.rank()] = 0
	count := c.sendings[r.Workspace]
	if count == nil {
		if c.sendings == nil || len(c.sendings) >= maximumWorkspaces {
			c.sendings = map[domain.WorkspaceName]*decayingCount{}
		}
		count = &decayingCount{}
		c.sendings[r.Workspace] = count
	}
	count.add(now, sendingPeriod)
}

// RecordRefusal records that a request was refused for lack of room.
func (c *Contention) RecordRefusal(r *Contender) { c.refusals[r.rank()]++ }

// RecordHoldTime records for how long a server ran a request.
func (c *Contention) RecordHoldTime(d time.Duration) { c.holdTime = average(c.holdTime, d) }

// RecordFirstEvent records the time from a sending to the beginning of its response.
func (c *Contention) RecordFirstEvent(d time.Duration) {
	c.firstEventTime = average(c.firstEventTime, d)
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(timeWeight*float64(sample-mean))
}

// moreUrgentShare returns the share of the recent arrivals that go before a request: those of
// more urgent ranks, and those of its rank if its workspace exceeds its fair share.
func (c *Contention) moreUrgentShare(now time.Time, r *Contender) float64 {
	last := r.rank()
	if c.ExceedsFairShare(now, r.Workspace) {
		last++
	}
	total, moreUrgent := 0.0, 0.0
	for rank := range c.arrivals {
		n := c.arrivals[rank].read(now, arrivalPeriod)
		if n < minimumArrivals {
			continue
		}
		total += n
		if rank < last {
			moreUrgent += n
		}
	}
	if moreUrgent == 0 {
		return 0
	}
	return moreUrgent / total
}

// seenRanks returns the number of ranks of the recent arrivals.
func (c *Contention) seenRanks(now time.Time) int {
	n := 0
	for _, a := range c.arrivals {
		if a.read(now, arrivalPeriod) >= minimumArrivals {
			n++
		}
	}
	return n
}

// Limit returns the number of requests up to which a request may be sent to a server.
func (c *Contention) Limit(now time.Time, r *Contender, l ServerLoad) float64 {
	slots := float64(l.Slots)
	if !l.IsKnown {
		return slots
	}
	share := c.moreUrgentShare(now, r)
	if share > 0 && c.refusals[r.rank()] < starvationRefusals {
		return slots * (1 - reservedShare*share)
	}
	inGoal := queueGoalShare * float64(r.goal()) / float64(c.hold(l)) * slots
	return slots + max(1, min(max(minimumQueue, queueShare*slots), inGoal))
}

// HasRoom reports whether a request may be sent to a server.
func (c *Contention) HasRoom(now time.Time, r *Contender, l ServerLoad) bool {
	return l.InUse+1 <= c.Limit(now, r, l)
}

// ExceedsFairShare reports whether a workspace takes more than its fair share of the recent
// sendings. It removes the workspaces without recent ones.
func (c *Contention) ExceedsFairShare(now time.Time, w domain.WorkspaceName) bool {
	count := c.sendings[w]
	if count == nil {
		return false
	}
	own := count.read(now, sendingPeriod)
	if own < minimumSendings {
		return false
	}
	total, workspaces := 0.0, 0.0
	for name, other := range c.sendings {
		n := other.read(now, sendingPeriod)
		if n < minimumArrivals && name != w {
			delete(c.sendings, name)
			continue
		}
		total += n
		workspaces++
	}
	return workspaces > 1 && own > fairShareTolerance*total/workspaces
}

// hold returns the expected running time of a request at a server.
func (c *Contention) hold(l ServerLoad) time.Duration {
	hold := c.holdTime
	if hold == 0 {
		hold = initialHoldTime
	}
	if l.Pace > 0 {
		hold = time.Duration(float64(hold) * l.Pace)
	}
	return max(time.Millisecond, hold)
}
