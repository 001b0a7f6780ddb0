// Package streams decides which parts of streamed answers reach a caller and when
// a connection is silent. It has no input, output or clock.
package streams

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Step says what becomes of one part of an answer.
type Step int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Step -output=step_string.go

// The steps.
const (
	// Deliver parts go to the caller.
	Deliver Step = iota
	// Discard parts are late or doubled, or belong to another attempt.
	Discard
	// Gap parts show that something before them was lost; the attempt ends.
	Gap
)

// Sequencer lets each token of an answer through once and in order, whichever
// attempt makes it. The zero Relay expects token 0 of no attempt.
type Sequencer struct {
	attempt domain.AttemptID
	next    domain.Tokens
}

// StartAttempt makes an attempt the only one whose parts count.
func (r *Sequencer) StartAttempt(attempt domain.AttemptID) { r.attempt = attempt }

// NextIndex is the index of the token that the caller needs next, which is also how
// many it has.
func (r *Sequencer) NextIndex() domain.Tokens { return r.next }

// Accept decides on the part with an index of an attempt.
func (r *Sequencer) Accept(attempt domain.AttemptID, index domain.Tokens) Step {
	if attempt != r.attempt || index < r.next {
		return Discard
	}
	if index > r.next {
		return Gap
	}
	r.next++
	return Deliver
}

// Progress timeouts of a connection to an engine. The first token may wait in
// the engine's queue, so its timeout is a share of what is left.
const (
	TokenGapTimeout   = 2 * time.Second
	FirstTokenMinimum = time.Second
	FirstTokenMaximum = 10 * time.Second
	firstTokenShare   = 4
)

// ProgressTimeout returns how long an attempt may bring nothing, given whether it
// has brought a part and what was left of the deadline when it began.
func ProgressTimeout(begun bool, left time.Duration) time.Duration {
	if begun {
		return TokenGapTimeout
	}
	return min(max(left/firstTokenShare, FirstTokenMinimum), FirstTokenMaximum)
}
