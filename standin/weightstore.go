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
	fullSpeedTransfers = 4
	fullSpeedStarts    = 5
	startWindow        = time.Second
	transferStep       = 10 * time.Millisecond
	// loadTimeBytes is the checkpoint size that Options.LoadTime stands for.
	loadTimeBytes = 16 * domain.Gibibyte
)

// weightStore sends checkpoints: at full speed while at most 4 transfers run and
// at most 5 began in the last second, and proportionally slower beyond.
type weightStore struct {
	loadTime time.Duration

	mu       sync.Mutex
	slowdown float64
	active   int
	most     int
	loads    int
	starts   []time.Time
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
		fail(w, http.StatusBadRequest, "BadRequest")
		return
	}
	if !s.transfer(r.Context(), domain.Bytes(bytes)) {
		return
	}
	answer(w, http.StatusOK, struct{ Model string }{r.PathValue("model")})
}

// transfer takes as long as the checkpoint takes; false means that ctx ended.
func (s *weightStore) transfer(ctx context.Context, size domain.Bytes) bool {
	s.begin()
	defer s.end()
	left := time.Duration(float64(s.loadTime) * float64(size) / float64(loadTimeBytes))
	for left > 0 {
		speed := s.speed()
		step := min(transferStep, time.Duration(float64(left)/speed)+1)
		before := time.Now()
		if !pause.For(ctx, step, nil) {
			return false
		}
		left -= time.Duration(float64(time.Since(before)) * speed)
	}
	return true
}

func (s *weightStore) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.loads++
	s.most = max(s.most, s.active)
	s.starts = append(s.starts, time.Now())
}

func (s *weightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// speed is the share of full speed that each transfer has now.
func (s *weightStore) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := time.Now().Add(-startWindow)
	for len(s.starts) > 0 && s.starts[0].Before(oldest) {
		s.starts = s.starts[1:]
	}
	speed := 1 / s.slowdown
	if s.active > fullSpeedTransfers {
		speed *= float64(fullSpeedTransfers) / float64(s.active)
	}
	if len(s.starts) > fullSpeedStarts {
		speed *= float64(fullSpeedStarts) / float64(len(s.starts))
	}
	return speed
}
