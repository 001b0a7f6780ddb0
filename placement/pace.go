package placement

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// firstConcurrency is how many loads from the weight store run at once before
	// any was measured.
	firstConcurrency = 4
	// slowLoad is the ratio of measured to stated time above which the weight store
	// is taken to be shared by too many loads.
	slowLoad = 1.25
	// forgottenLoad is after how long a load that nobody heard of again stops
	// counting.
	forgottenLoad = 30 * time.Second
)

// storeLoad is a load from the weight store.
type storeLoad struct {
	server domain.ServerID
	model  domain.ModelName
	began  time.Time
}

// storePace bounds the loads from the weight store that run at once. Beyond a
// number that the platform does not tell, each load takes longer in proportion,
// so that more at once serve nobody sooner. The zero storePace is ready for use.
type storePace struct {
	running []storeLoad
	limit   int
}

func (s *storePace) reset() { s.running = nil }

func (s *storePace) allowed() int {
	if s.limit == 0 {
		return firstConcurrency
	}
	return s.limit
}

// room tells whether a load may begin. A load for callers may go beyond the
// limit by one, so that it need not wait for loads ahead of callers.
func (s *storePace) room() bool { return len(s.running) < s.allowed() }

func (s *storePace) started(now time.Time, o domain.ServerID, m domain.ModelName) {
	s.running = append(s.running, storeLoad{server: o, model: m, began: now})
}

func (s *storePace) cancelled(o Order) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return l.server == o.Server.ID && l.model == o.Model })
}

// finished takes in how long a load took, and learns how many run at full speed.
func (s *storePace) finished(_ time.Time, o Order, took time.Duration, m fleet.Model) {
	if o.Operation != Load || o.Adapter != "" || o.tier != Store {
		return
	}
	atOnce := len(s.running)
	s.cancelled(o)
	if m.FromStore <= 0 || took < m.FromStore/2 {
		return
	}
	ratio := took.Seconds() / m.FromStore.Seconds()
	if ratio > slowLoad {
		s.limit = max(1, int(float64(atOnce)/ratio+0.5))
	}
}

func (s *storePace) expire(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return now.Sub(l.began) > forgottenLoad })
}
