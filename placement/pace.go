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
	// ownShare is the part of the weight store's pace that an owner uses, firstShare
	// that in its first window, when loads of its predecessor may still count.
	ownShare   = 0.9
	firstShare = 0.15
	// defaultWindow is taken where no window is set.
	defaultWindow = 5 * time.Second
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

// storePace bounds the loads from the weight store: how many run at once, since
// beyond a number that the platform does not tell each takes longer in proportion,
// and how many begin within a window. The zero storePace is ready for use.
type storePace struct {
	running []storeLoad
	limit   int
	// starts are when the loads of the last window began.
	starts []time.Time
	// termBegan is when this node became owner: what its predecessor began is not
	// known.
	termBegan time.Time
}

func (s *storePace) reset(now time.Time) {
	s.running, s.starts, s.termBegan = nil, nil, now
}

func (s *storePace) allowed() int {
	if s.limit == 0 {
		return firstConcurrency
	}
	return s.limit
}

// room tells whether a load may begin at now, where the weight store allows rate
// loads a second over a window.
func (s *storePace) room(now time.Time, rate float64, window time.Duration) bool {
	if len(s.running) >= s.allowed() {
		return false
	}
	share := ownShare
	if now.Sub(s.termBegan) < window {
		share = firstShare
	}
	s.starts = slices.DeleteFunc(s.starts, func(t time.Time) bool { return now.Sub(t) > window })
	return len(s.starts) < max(1, int(share*rate*window.Seconds()))
}

func (s *storePace) started(now time.Time, o domain.ServerID, m domain.ModelName) {
	s.starts = append(s.starts, now)
	s.running = append(s.running, storeLoad{server: o, model: m, began: now})
}

func (s *storePace) cancelled(o Order) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return l.server == o.Server.ID && l.model == o.Model })
}

// finished takes in how long a load took, and learns how many run at full speed.
func (s *storePace) finished(_ time.Time, o Order, took time.Duration, m fleet.Model) {
	if o.Operation != Load || o.Adapter != "" || o.tier != fleet.InStore {
		return
	}
	atOnce := len(s.running)
	s.cancelled(o)
	if m.StoreLoadTime <= 0 || took < m.StoreLoadTime/2 {
		return
	}
	ratio := took.Seconds() / m.StoreLoadTime.Seconds()
	if ratio > slowLoad {
		s.limit = max(1, int(float64(atOnce)/ratio+0.5))
	}
}

func (s *storePace) expire(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return now.Sub(l.began) > forgottenLoad })
}
