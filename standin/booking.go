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

// maximumListedBookings is the number of latest bookings that GET /bookings returns.
const maximumListedBookings = 1000

// ledger holds the bookings of all services.
type ledger struct {
	mu       sync.Mutex
	count    int
	bookings []wireBooking
}

type wireBooking struct {
	Booking string
	Key     string
}

type wireBookings struct{ Bookings []wireBooking }

func (l *ledger) addBooking(key string) wireBooking {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	b := wireBooking{Booking: "booking-" + strconv.Itoa(l.count), Key: key}
	l.bookings = append(l.bookings, b)
	l.bookings = l.bookings[max(0, len(l.bookings)-maximumListedBookings):]
	return b
}

func (l *ledger) latest() []wireBooking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]wireBooking{}, l.bookings...)
}

// bookingService runs and counts every booking command that it receives. It ignores
// repeated idempotency keys: a repeated command runs again.
type bookingService struct {
	id          string
	region      domain.Region
	restartTime time.Duration
	ledger      *ledger
	observer    *observer
	random      *randomSource
	server      *server
	pause       pauseGate

	mu     sync.Mutex
	faults serviceFaults
	// incarnation ends with a crash; it is nil between a crash and the restart.
	incarnation context.Context
	cancel      context.CancelFunc
	reclaimed   bool
}

type serviceFaults struct {
	delay             time.Duration
	lostResponseShare float64
}

func (s *bookingService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBook)
	mux.HandleFunc("GET /bookings", s.serveList)
	return countCrossRegionBytes(s.region, s.observer, mux)
}

func (s *bookingService) serveBook(w http.ResponseWriter, r *http.Request) {
	if _, err := readBody(r); err != nil {
		abortConnection()
	}
	// A received command runs even if its caller disconnects, unless the service crashes
	// first.
	ctx := s.currentIncarnation()
	if ctx == nil || !s.pause.wait(ctx) {
		abortConnection()
	}
	key := r.Header.Get("Idempotency-Key")
	s.observer.recordRequestRun(r.Header.Get("X-Request-Id"))
	s.observer.recordCommandRun(key)
	b := s.ledger.addBooking(key)
	faults := s.currentFaults()
	if !pause.For(ctx, faults.delay, nil) || s.random.occurs(faults.lostResponseShare) {
		abortConnection()
	}
	writeJSON(w, http.StatusCreated, b)
}

func (s *bookingService) serveList(w http.ResponseWriter, r *http.Request) {
	if !s.pause.wait(r.Context()) || !pause.For(r.Context(), s.currentFaults().delay, nil) {
		abortConnection()
	}
	s.observer.recordRequestRun(r.Header.Get("X-Request-Id"))
	writeJSON(w, http.StatusOK, wireBookings{Bookings: s.ledger.latest()})
}

func (s *bookingService) currentFaults() serviceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *bookingService) setFaults(update func(*serviceFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.faults)
}

// startIncarnation starts a new incarnation, unless the service was reclaimed.
func (s *bookingService) startIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reclaimed {
		s.incarnation, s.cancel = context.WithCancel(context.Background())
	}
}

func (s *bookingService) currentIncarnation() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// endIncarnation ends the current incarnation. It reports false if none was running.
func (s *bookingService) endIncarnation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == nil {
		return false
	}
	s.cancel()
	s.incarnation = nil
	return true
}

// crash resets every connection and schedules the restart.
func (s *bookingService) crash() {
	if !s.endIncarnation() {
		return
	}
	s.server.crash()
	go func() {
		time.Sleep(s.restartTime)
		s.server.restart()
		s.startIncarnation()
	}()
}

// reclaim stops the service permanently.
func (s *bookingService) reclaim() {
	s.mu.Lock()
	s.reclaimed = true
	s.mu.Unlock()
	s.endIncarnation()
	s.server.close()
}
