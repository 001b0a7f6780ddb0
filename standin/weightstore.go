package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	fullSpeedTransfers  = 4
	fullSpeedStarts     = 5
	startWindow         = time.Second
	speedUpdateInterval = 10 * time.Millisecond
	// loadTimeCheckpointSize is the checkpoint size that Options.LoadTime refers to.
	loadTimeCheckpointSize = 16 * domain.Gibibyte
)

// weightStore simulates checkpoint transfers: at full speed while at most 4 run and at
// most 5 have started in the last second, and proportionally slower with more.
type weightStore struct {
	loadTime time.Duration

	mu            sync.Mutex
	slowdown      float64
	active        int
	peakActive    int
	transferCount int
	recentStarts  []time.Time
}

func newWeightStore(o Options) *weightStore {
	return &weightStore{loadTime: o.LoadTime, slowdown: 1}
}

func (s *weightStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /checkpoints/{model}", s.serve)
	return mux
}

func (s *weightStore) serve(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || bytes < 0 {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	if !s.transfer(r.Context(), domain.Bytes(bytes)) {
		return
	}
	writeJSON(w, http.StatusOK, struct{ Model string }{r.PathValue("model")})
}

// transfer blocks for the duration of a checkpoint transfer. It reports false if ctx ended
// first.
func (s *weightStore) transfer(ctx context.Context, size domain.Bytes) bool {
	s.startTransfer()
	defer s.endTransfer()
	remaining := time.Duration(float64(s.loadTime) * float64(size) / float64(loadTimeCheckpointSize))
	for remaining > 0 {
		speed := s.speed()
		step := min(speedUpdateInterval, time.Duration(float64(remaining)/speed)+1)
		start := time.Now()
		if !pause.For(ctx, step, nil) {
			return false
		}
		remaining -= time.Duration(float64(time.Since(start)) * speed)
	}
	return true
}

func (s *weightStore) startTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.transferCount++
	s.peakActive = max(s.peakActive, s.active)
	s.recentStarts = append(s.recentStarts, time.Now())
}

func (s *weightStore) endTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// speed returns the current fraction of full speed for each transfer.
func (s *weightStore) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := time.Now().Add(-startWindow)
	for len(s.recentStarts) > 0 && s.recentStarts[0].Before(oldest) {
		s.recentStarts = s.recentStarts[1:]
	}
	speed := 1 / s.slowdown
	if s.active > fullSpeedTransfers {
		speed *= float64(fullSpeedTransfers) / float64(s.active)
	}
	if len(s.recentStarts) > fullSpeedStarts {
		speed *= float64(fullSpeedStarts) / float64(len(s.recentStarts))
	}
	return speed
}
