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

// listedBookings is how many of the latest bookings GET /bookings returns.
const listedBookings = 1000

// ledger holds the bookings that all services share.
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

func (l *ledger) book(key string) wireBooking {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	b := wireBooking{Booking: "booking-" + strconv.Itoa(l.count), Key: key}
	l.bookings = append(l.bookings, b)
	l.bookings = l.bookings[max(0, len(l.bookings)-listedBookings):]
	return b
}

func (l *ledger) latest() []wireBooking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]wireBooking{}, l.bookings...)
}

// bookingService runs every booking that reaches it, also one with a key that it
// has seen, and counts the runs.
type bookingService struct {
	id       string
	region   domain.Region
	restart  time.Duration
	ledger   *ledger
	observer *observer
	chance   *chance
	server   *server
	pause    gate

	mu     sync.Mutex
	faults serviceFaults
	// alive ends with a crash; nil between a crash and the restart.
	alive context.Context
	end   context.CancelFunc
	gone  bool
}

type serviceFaults struct {
	delay       time.Duration
	loseAnswers float64
}

func (s *bookingService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBook)
	mux.HandleFunc("GET /bookings", s.serveList)
	return countCrossing(s.region, s.observer, mux)
}

func (s *bookingService) serveBook(w http.ResponseWriter, r *http.Request) {
	if _, err := readBody(r); err != nil {
		breakOff()
	}
	// A command that arrived runs, whether its caller stays or not, unless the
	// service crashes before.
	ctx := s.life()
	if ctx == nil || !s.pause.wait(ctx) {
		breakOff()
	}
	key := r.Header.Get("Idempotency-Key")
	s.observer.ran(r.Header.Get("X-Request-Id"))
	s.observer.commandRan(key)
	b := s.ledger.book(key)
	faults := s.currentFaults()
	if !pause.For(ctx, faults.delay, nil) || s.chance.hit(faults.loseAnswers) {
		breakOff()
	}
	answer(w, http.StatusCreated, b)
}

func (s *bookingService) serveList(w http.ResponseWriter, r *http.Request) {
	if !s.pause.wait(r.Context()) || !pause.For(r.Context(), s.currentFaults().delay, nil) {
		breakOff()
	}
	s.observer.ran(r.Header.Get("X-Request-Id"))
	answer(w, http.StatusOK, wireBookings{Bookings: s.ledger.latest()})
}

func (s *bookingService) currentFaults() serviceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *bookingService) setFaults(change func(*serviceFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// begin starts a life, unless the service is gone for good.
func (s *bookingService) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gone {
		s.alive, s.end = context.WithCancel(context.Background())
	}
}

func (s *bookingService) life() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

// stop ends the life; false means that there was none.
func (s *bookingService) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alive == nil {
		return false
	}
	s.end()
	s.alive = nil
	return true
}

// crash resets every connection and comes back after the restart time.
func (s *bookingService) crash() {
	if !s.stop() {
		return
	}
	s.server.crash()
	go func() {
		time.Sleep(s.restart)
		s.server.restart()
		s.begin()
	}()
}

// reclaim ends the service for good.
func (s *bookingService) reclaim() {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	s.stop()
	s.server.close()
}
