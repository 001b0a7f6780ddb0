// Package streams decides which tokens of a streamed response are forwarded to the caller,
// so that each arrives once and in order even if several attempts produce it. It also sets
// the timeouts after which a stream counts as stalled. Package caller uses it.
//
// Package streams has no input, output or clock.
package streams

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Decision is the decision on one token of a response.
type Decision int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Decision -output=decision_string.go

// The decisions.
const (
	// Deliver means that the token is sent to the caller.
	Deliver Decision = iota
	// Discard means that the caller already has the token or that it belongs to another
	// attempt.
	Discard
	// Gap means that the tokens between the previous token and this one are lost, so that
	// the attempt has to end.
	Gap
)

// Sequencer lets each token of a response through once and in order, whichever attempt
// produces it. The zero Sequencer expects token 0 and accepts the zero attempt ID only.
type Sequencer struct {
	// attempt is the only attempt whose tokens are accepted.
	attempt domain.AttemptID
	// next is the index of the next token to deliver.
	next domain.Tokens
}

// StartAttempt makes an attempt the only one whose tokens are accepted.
func (r *Sequencer) StartAttempt(attempt domain.AttemptID) { r.attempt = attempt }

// NextIndex returns the index of the next token to deliver, which is also the number of
// tokens delivered.
func (r *Sequencer) NextIndex() domain.Tokens { return r.next }

// Accept decides on one token of an attempt. If the decision is Deliver, the next index
// becomes NextIndex.
func (r *Sequencer) Accept(attempt domain.AttemptID, index domain.Tokens) Decision {
	if attempt != r.attempt || index < r.next {
		return Discard
	}
	if index > r.next {
		return Gap
	}
	r.next++
	return Deliver
}

// Timeouts for the next token of an engine. A request may wait in the engine's queue before
// its first token. The timeout for the first token is therefore the time until the
// deadline divided by firstTokenDivisor, within bounds. None is below the second or so for
// which a sound engine may be silent.
const (
	TokenGapTimeout          = 2 * time.Second
	FirstTokenMinimumTimeout = 2 * time.Second
	FirstTokenMaximumTimeout = 10 * time.Second
	firstTokenDivisor        = 4
)

// ProgressTimeout returns how long an attempt may go without a token. producedToken is
// true once the attempt has produced a token; remaining is the time until the deadline at
// the start of the attempt.
func ProgressTimeout(producedToken bool, remaining time.Duration) time.Duration {
	if producedToken {
		return TokenGapTimeout
	}
	return min(max(remaining/firstTokenDivisor, FirstTokenMinimumTimeout), FirstTokenMaximumTimeout)
}
