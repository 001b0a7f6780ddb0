// Package serverload estimates the load of backend servers and the delay of a request at each of
// them, from the load reports in the servers' responses, the reports that other nodes share and the
// node's own send attempts. Package dispatch chooses servers with it; package entry carries the
// shared reports between nodes. The package does no I/O, reads no clock and starts no goroutine.
package serverload

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// ReportLifetime is how long a load report is used.
	ReportLifetime = 1500 * time.Millisecond
	// pacedLifetime is how long a server counts as one that reports its pace.
	pacedLifetime = time.Minute
	// serverLifetime is how long an unused server is kept, sweepInterval the time between two
	// searches for such servers.
	serverLifetime = 2 * time.Minute
	sweepInterval  = 10 * time.Second
	// loadChangeTime is the time in which the expected load goes from the report to the mean of
	// the last seconds by 63%, usualLoadTime the time constant of that mean. All nodes send more to
	// a server whose report was low, and less to one whose report was high: taking old reports for
	// true gave four times as many rejections (docs/design/server-load.md).
	loadChangeTime = 500 * time.Millisecond
	usualLoadTime  = 3 * time.Second
	// A report with more requests for each slot is implausible.
	maximumRunningPerSlot = 4
	maximumWaitingPerSlot = 64
	// minimumPace and maximumPace bound a plausible pace.
	minimumPace, maximumPace = 0.05, 50
)

// Key identifies one run of a server's process. Of 10,000 servers, two have the same key with a
// probability of 1.2%; each of them is then taken to have the load that either reported last.
type Key uint32

// KeyOf returns the key of a server.
func KeyOf(s *fleet.Server) Key {
	h := xxhash.Sum64String(string(s.ID)) ^ uint64(s.EngineState.StartedAtMs)*0x9E3779B97F4A7C15
	return Key(h ^ h>>32)
}

// Report is the load that a server reports.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at present, relative to the usual time; 0 if unknown.
	Pace float64
}

// isPlausible reports whether the numbers of a report can be true.
func (r Report) isPlausible() bool {
	return r.Slots > 0 && r.Running >= 0 && r.Waiting >= 0 && r.Running <= maximumRunningPerSlot*r.Slots && r.Waiting <= maximumWaitingPerSlot*r.Slots &&
		(r.Pace == 0 || r.Pace >= minimumPace && r.Pace <= maximumPace)
}

// expectedRequests returns the number of requests at the server without those that this node has
// begun and ended since the report. While the report ages, it goes to the mean of the last seconds.
func (s *server) expectedRequests(age time.Duration) float64 {
	return s.usualRequests + math.Exp(-float64(age)/float64(loadChangeTime))*(s.report.requests()-s.usualRequests)
}

// requests returns the number of requests at the server.
func (r Report) requests() float64 { return float64(r.Running + r.Waiting) }

// server is what a node knows of one run of a server's process.
type server struct {
	// report is the newest plausible report, made at reportedAt; zero if there is none.
	report     Report
	reportedAt time.Time
	// fullAt is when the server last rejected a request for lack of room.
	fullAt time.Time
	own    ownAttempts
	// ownAtReport is the number of the node's attempts in flight at reportedAt.
	ownAtReport int
	// usualRequests is the mean number of requests over the last seconds.
	usualRequests float64
	pace          paceAverage
	learned       learnedPace
	// isUnsent is true if the node's own report has not been sent to the owner. unsent are the
	// samples of the learned pace that have not been sent.
	isUnsent bool
	unsent   learnedPace
	// broadcast is what the owner has last sent to the other nodes.
	broadcast broadcastState
	cache     prefixCache
	usedAt    time.Time
}

// Table holds the load of the servers. The zero Table is ready for use. It is not safe for
// concurrent use.
type Table struct {
	servers  map[Key]*server
	services map[domain.ServiceName]*service
	sweptAt  time.Time
	// pacedAt is when a server last reported its pace.
	pacedAt time.Time
	// unsentParts are the uses of prompt parts that wait to be sent, the newest last.
	unsentParts []SharedPrefix
}

// server returns the entry of a server and creates it if needed.
func (t *Table) server(now time.Time, k Key) *server {
	s := t.servers[k]
	if s == nil {
		t.sweep(now)
		if t.servers == nil {
			t.servers = map[Key]*server{}
		}
		s = &server{}
		t.servers[k] = s
	}
	s.usedAt = now
	return s
}

// sweep removes the servers that were not used for serverLifetime.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for k, s := range t.servers {
		if now.Sub(s.usedAt) > serverLifetime && s.own.count == 0 {
			delete(t.servers, k)
		}
	}
}

// service returns the statistics of a service and creates them if needed.
func (t *Table) service(name domain.ServiceName) *service {
	s := t.services[name]
	if s == nil {
		if t.services == nil {
			t.services = map[domain.ServiceName]*service{}
		}
		s = &service{}
		t.services[name] = s
	}
	return s
}

// Send counts an attempt of this node at a server. The size is 0 if it is unknown.
func (t *Table) Send(now time.Time, k Key, name domain.ServiceName, size domain.Tokens) {
	service := t.service(name)
	if size > 0 {
		service.size.add(float64(size))
	}
	t.server(now, k).own.begin(now, t.sizeOr(service, size))
}

// End removes an attempt of this node at a server, with the size that Send was given.
func (t *Table) End(now time.Time, k Key, name domain.ServiceName, size domain.Tokens) {
	t.server(now, k).own.end(now, t.sizeOr(t.service(name), size))
}

// sizeOr returns the size of a request, or the mean size of the service's requests if it is unknown.
func (t *Table) sizeOr(s *service, size domain.Tokens) float64 {
	if size > 0 {
		return float64(size)
	}
	return s.size.value
}

// Record records the report of a server in a response that this node has received. An implausible
// report makes the load of the server unknown.
func (t *Table) Record(now time.Time, k Key, r Report) {
	s := t.server(now, k)
	if !r.isPlausible() {
		s.report, s.reportedAt, s.isUnsent = Report{}, time.Time{}, false
		return
	}
	t.apply(s, now, r)
	s.isUnsent = true
}

// RecordFull records that a server has rejected a request for lack of room. It counts as full until
// a later report, or for ReportLifetime.
func (t *Table) RecordFull(now time.Time, k Key) { t.server(now, k).fullAt = now }

// apply applies a report of a server that was made at the given time.
func (t *Table) apply(s *server, at time.Time, r Report) {
	weight := 1 - math.Exp(-max(0, float64(at.Sub(s.reportedAt)))/float64(usualLoadTime))
	if s.reportedAt.IsZero() {
		weight = 1
	}
	s.usualRequests += weight * (r.requests() - s.usualRequests)
	s.report, s.reportedAt, s.ownAtReport = r, at, s.own.countAt(at)
	if r.Pace > 0 {
		s.pace.add(at, r.Pace)
		t.pacedAt = at
	}
}

// isShared reports whether nodes share the load of servers: where none reports its pace, the choice
// does not use the loads of other nodes.
func (t *Table) isShared(now time.Time) bool {
	return !t.pacedAt.IsZero() && now.Sub(t.pacedAt) < pacedLifetime
}

// IsPaced reports whether a server has reported its pace recently.
func (t *Table) IsPaced(now time.Time, k Key) bool {
	s := t.servers[k]
	return s != nil && !s.pace.at.IsZero() && now.Sub(s.pace.at) < pacedLifetime
}

// UsualPace returns the mean pace of a server over the last seconds, or 0 if it is unknown.
func (t *Table) UsualPace(now time.Time, k Key) float64 {
	if !t.IsPaced(now, k) {
		return 0
	}
	return t.servers[k].pace.usual
}

// LearnedPace returns the pace of a server that reports none, as learned from enough samples, or 0.
func (t *Table) LearnedPace(now time.Time, k Key) float64 {
	s := t.servers[k]
	if s == nil {
		return 0
	}
	return s.learned.value(now)
}
