package admission

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// demandPeriod is the time constant of the average of the requests per second that a server gets.
	demandPeriod = 500 * time.Millisecond
	// fillPeriod is the time in which the free places of a server should be used.
	fillPeriod = 500 * time.Millisecond
	// minimumObservation is the shortest time between two observations of a server, and
	// maximumObservation the longest one after which its inflow can still be computed.
	minimumObservation = 100 * time.Millisecond
	maximumObservation = 2 * time.Second
	// minimumInflowShare is the least number of requests per second that is wanted, as a share of
	// those that end.
	minimumInflowShare = 0.1
	// urgentTakeFactor is how much more probable it is that a request of the most urgent rank seen
	// uses a place. Requests of this rank are thinned out only when hardly any others are sent.
	urgentTakeFactor = 50.0
	minimumTakeShare = 0.01
	// ampleRoom is the free share of the slots of its servers from which a request uses a free place
	// in any case.
	ampleRoom = 0.3
	// A rejection by a server multiplies its take share by rejectionDecrease, at most once in
	// rejectionInterval.
	rejectionDecrease = 0.7
	rejectionInterval = 250 * time.Millisecond
	// maximumTakeShares bounds the servers with take shares.
	maximumTakeShares = 16384
)

// serverInflow is what a node knows of the requests that all nodes send to one server. All nodes see
// the same free places in the same reports and do not see each other's requests; if each of them
// used what it sees, all would use the same place.
type serverInflow struct {
	// inUse is the number of requests at the server when it was last observed.
	inUse      float64
	observedAt time.Time
	// rejectedAt is when a rejection last lowered the take share.
	rejectedAt time.Time
	// takeShare is the probability with which a request uses a free place.
	takeShare float64
	// rate is the moving average of the number of requests per second that the server gets, and
	// usedShare that of the take share. Their quotient is what it would get if each request used
	// the first free place that it sees.
	rate, usedShare float64
}

// inflowOf returns the inflow of a server, which it adds if needed.
func (c *Contention) inflowOf(l ServerLoad) *serverInflow {
	f := c.inflows[l.Server]
	if f != nil {
		return f
	}
	if c.inflows == nil || len(c.inflows) >= maximumTakeShares {
		c.inflows = map[domain.ServerID]*serverInflow{}
	}
	f = &serverInflow{takeShare: 1, usedShare: 1}
	c.inflows[l.Server] = f
	return f
}

// takeShare returns the probability with which a request uses a free place of a server.
func (c *Contention) takeShare(now time.Time, r *Contender, l ServerLoad) float64 {
	f := c.inflows[l.Server]
	if f == nil {
		return 1
	}
	if c.seenRanks(now) > 1 && c.moreUrgentShare(now, r) == 0 {
		return min(1, f.takeShare*urgentTakeFactor)
	}
	return f.takeShare
}

// Observe adapts the take share of a server to its load: by how much more or less it got since the
// last observation than what would fill its free places.
func (c *Contention) Observe(now time.Time, l ServerLoad) {
	if !l.IsKnown || c.inflows[l.Server] == nil && l.InUse < float64(l.Slots) {
		return
	}
	f := c.inflowOf(l)
	elapsed := now.Sub(f.observedAt)
	if elapsed < minimumObservation {
		return
	}
	previous := f.inUse
	f.inUse, f.observedAt = l.InUse, now
	limit, ends := c.leastLimit(now, l), min(l.InUse, float64(l.Slots))/c.hold(l).Seconds()
	if elapsed > maximumObservation {
		// What happened between two observations so far apart is not known.
		f.rate, f.usedShare = ends, 1
	}
	f.rate = approach(f.rate, max(0, (l.InUse-previous)/elapsed.Seconds()+ends), elapsed, demandPeriod)
	f.usedShare = approach(f.usedShare, f.takeShare, elapsed, demandPeriod)
	wanted := max(minimumInflowShare*ends, ends+(limit-l.InUse)/fillPeriod.Seconds())
	demand := max(0.01, f.rate/f.usedShare)
	f.takeShare = max(minimumTakeShare, min(1, wanted/demand))
	if f.takeShare == 1 && l.InUse < float64(l.Slots)/2 {
		delete(c.inflows, l.Server)
	}
}

// leastLimit returns the number of requests up to which the least urgent requests may fill a server.
func (c *Contention) leastLimit(now time.Time, l ServerLoad) float64 {
	return min(float64(l.Slots), c.Limit(now, &Contender{Rank: Ranks - 1}, l))
}

// Roominess returns the lower bound of the probability with which a request uses a free place: the
// share of the slots of its servers that it may use, relative to ampleRoom.
func (c *Contention) Roominess(now time.Time, r *Contender, servers []ServerLoad) float64 {
	room, slots := 0.0, 0.0
	for _, l := range servers {
		room += max(0, c.Limit(now, r, l)-l.InUse)
		slots += float64(l.Slots)
	}
	x := min(1, room/max(1, ampleRoom*slots))
	return x * x
}

// MayTake reports whether a request may use the room of a server now. random is a random number in
// [0,1).
func (c *Contention) MayTake(now time.Time, r *Contender, l ServerLoad, roominess, random float64) bool {
	return c.HasRoom(now, r, l) && random < max(roominess, c.takeShare(now, r, l))
}

// RecordRejection records that a server had no room for a request that was sent to it. Of several
// rejections in rejectionInterval, the first counts: the others were sent by the same report.
func (c *Contention) RecordRejection(now time.Time, l ServerLoad) {
	f := c.inflowOf(l)
	if now.Sub(f.rejectedAt) < rejectionInterval {
		return
	}
	f.rejectedAt = now
	f.takeShare = max(minimumTakeShare, rejectionDecrease*f.takeShare)
}
