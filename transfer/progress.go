// Package transfer makes HTTP calls with responses that may take long to arrive: it ends a call
// whose response does not begin or stops arriving, but not one that makes progress. It records
// in a Progress when the response began, how many bytes have arrived and when the last one did.
// The clients of the platform's store and log use it. It retries nothing.
package transfer

import (
	"sync"
	"time"
)

// Progress is how far one call has come. The zero Progress belongs to a call that has not been
// sent. A nil *Progress ignores what is recorded. It is safe for concurrent use.
type Progress struct {
	mu    sync.Mutex
	state State
}

// State is a Progress at one moment. A time is zero while its event has not occurred.
type State struct {
	// SentAt is when the call was sent, BegunAt when its response header arrived, and
	// LastByteAt when a part of the body last arrived.
	SentAt, BegunAt, LastByteAt time.Time
	// Status is the HTTP status, or 0 before the response begins.
	Status int
	// Bytes is the number of bytes of the body that have arrived.
	Bytes int64
}

// State returns the current state.
func (p *Progress) State() State {
	if p == nil {
		return State{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// HasBegun reports whether the response has begun to arrive.
func (p *Progress) HasBegun() bool { return !p.State().BegunAt.IsZero() }

// RecordSent records that a call is sent now. If the Progress belongs to several calls in a
// row, the times are those of the last one, and Bytes is the sum.
func (p *Progress) RecordSent() {
	p.update(func(s *State) { *s = State{SentAt: time.Now(), Bytes: s.Bytes} })
}

// RecordBegun records that a response header with the given HTTP status has arrived.
func (p *Progress) RecordBegun(status int) {
	p.update(func(s *State) { s.BegunAt, s.Status = time.Now(), status })
}

// RecordBytes records that n bytes of the body have arrived.
func (p *Progress) RecordBytes(n int) {
	p.update(func(s *State) {
		s.Bytes += int64(n)
		s.LastByteAt = time.Now()
	})
}

func (p *Progress) update(f func(*State)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.state)
}

// WaitTime returns the time from sending the call to the beginning of its response, or 0 if it
// has not begun.
func (s State) WaitTime() time.Duration { return between(s.SentAt, s.BegunAt) }

// ReadTime returns the time from the beginning of the response to its last byte, or 0 if no
// byte has arrived.
func (s State) ReadTime() time.Duration { return between(s.BegunAt, s.LastByteAt) }

func between(start, end time.Time) time.Duration {
	if start.IsZero() || end.IsZero() {
		return 0
	}
	return end.Sub(start)
}
