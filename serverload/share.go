package serverload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// echoTolerance is by how much a shared report must be newer than the one at hand to replace it.
	// A node's own report comes back from the owner with an age that lacks its time on the way.
	echoTolerance = 40 * time.Millisecond
	// minimumChange is the least change that the owner sends: the change of the load as a share of
	// the slots plus that of the pace. A report without it is sent again after refreshInterval, so
	// that the other nodes know that it still holds.
	minimumChange   = 0.03
	refreshInterval = 800 * time.Millisecond
	// minimumLearnedChange is the least change of a learned pace that the owner sends. It varies
	// by its samples.
	minimumLearnedChange = 0.1
	// maximumOwnLoads bounds the reports of servers that a node sends to the owner in one message.
	maximumOwnLoads = 256
)

// Shared is the load of a server as nodes tell each other.
type Shared struct {
	Server Key
	// Report is zero if the load is not known. Age is the time since it was made.
	Report
	Age time.Duration
	// LearnedPace is the mean of the times to the first event over the expected ones, in Samples
	// samples; 0 if there are none.
	LearnedPace float64
	Samples     int
}

// broadcastState is what the owner has last sent of a server.
type broadcastState struct {
	report      Report
	learnedPace float64
	at          time.Time
	reportedAt  time.Time
}

// TakeOwn returns what this node has heard of servers in responses since the last call, the newest
// of each. It leaves out reports that are too old to be of use.
func (t *Table) TakeOwn(now time.Time) []Shared {
	var list []Shared
	isShared := t.isShared(now)
	for k, s := range t.servers {
		if !s.isUnsent && s.unsent.samples < 1 {
			continue
		}
		if len(list) == maximumOwnLoads {
			break
		}
		shared := Shared{Server: k}
		if age := now.Sub(s.reportedAt); isShared && s.isUnsent && age < ReportLifetime {
			shared.Report, shared.Age = s.report, max(0, age)
		}
		shared.LearnedPace, shared.Samples = s.unsent.mean, int(s.unsent.samples)
		s.isUnsent, s.unsent = false, learnedPace{}
		if shared.Slots > 0 || shared.Samples > 0 {
			list = append(list, shared)
		}
	}
	return list
}

// Merge applies what another node has sent to this one, the owner.
func (t *Table) Merge(now time.Time, list []Shared) {
	for _, shared := range list {
		s := t.server(now, shared.Server)
		t.applyShared(s, now, shared)
		if shared.Samples > 0 {
			s.learned.add(now, shared.LearnedPace, float64(shared.Samples))
		}
	}
}

// Apply applies what the owner has sent to this node. The learned pace from all nodes replaces that
// of this one.
func (t *Table) Apply(now time.Time, list []Shared) {
	for _, shared := range list {
		s := t.server(now, shared.Server)
		t.applyShared(s, now, shared)
		if shared.Samples > 0 {
			s.learned = learnedPace{mean: shared.LearnedPace, samples: float64(shared.Samples), at: now}
		}
	}
}

// applyShared applies a shared report if it is newer than the one at hand.
func (t *Table) applyShared(s *server, now time.Time, shared Shared) {
	at := now.Add(-shared.Age)
	if shared.Age >= ReportLifetime || !shared.isPlausible() || at.Sub(s.reportedAt) <= echoTolerance {
		return
	}
	t.apply(s, at, shared.Report)
	s.isUnsent = false
}

// change is a server's load that the owner may send, with the size of its change.
type change struct {
	shared Shared
	server *server
	size   float64
}

// TakeChanges returns the loads that the owner sends to all nodes now, at most the given number,
// those that have changed most. It counts them as sent.
func (t *Table) TakeChanges(now time.Time, maximum int) []Shared {
	var changes []change
	isShared := t.isShared(now)
	for k, s := range t.servers {
		if size, ok := s.changeSinceBroadcast(now, isShared); ok {
			changes = append(changes, change{shared: s.share(now, k, isShared), server: s, size: size})
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.shared.Server, b.shared.Server))
	})
	changes = changes[:min(len(changes), maximum)]
	list := make([]Shared, 0, len(changes))
	for _, c := range changes {
		c.server.broadcast = broadcastState{report: c.shared.Report, learnedPace: c.shared.LearnedPace, at: now, reportedAt: c.server.reportedAt}
		list = append(list, c.shared)
	}
	return list
}

// share returns the load of a server for the other nodes.
func (s *server) share(now time.Time, k Key, isShared bool) Shared {
	shared := Shared{Server: k}
	if age := now.Sub(s.reportedAt); isShared && age < ReportLifetime {
		shared.Report, shared.Age = s.report, max(0, age)
	}
	if pace := s.learned.value(now); pace > 0 && s.pace.at.IsZero() {
		shared.LearnedPace, shared.Samples = pace, int(math.Ceil(s.learned.samples))
	}
	return shared
}

// changeSinceBroadcast returns the size of the change since the last broadcast, or false if there is
// nothing to send.
func (s *server) changeSinceBroadcast(now time.Time, isShared bool) (float64, bool) {
	b, size := &s.broadcast, 0.0
	if pace := s.learned.value(now); pace > 0 && s.pace.at.IsZero() {
		if change := math.Abs(pace - b.learnedPace); change >= minimumLearnedChange {
			size += change
		}
	}
	isNew := s.reportedAt.After(b.reportedAt) && now.Sub(s.reportedAt) < ReportLifetime && isShared
	if isNew {
		size += math.Abs(s.report.requests()-b.report.requests())/float64(max(1, s.report.Slots)) + math.Abs(s.report.Pace-b.report.Pace)
	}
	return size, size >= minimumChange || isNew && now.Sub(b.at) >= refreshInterval
}
