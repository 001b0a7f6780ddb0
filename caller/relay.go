package caller

import (
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
)

// relayStep says what becomes of one part of an answer.
type relayStep int

const (
	// deliver parts go to the caller.
	deliver relayStep = iota
	// discard parts are late or doubled.
	discard
	// gap parts show that something before them was lost; the attempt ends.
	gap
)

// relay lets each token of an answer through once and in order, whichever
// attempt makes it. The zero relay expects token 0 of no attempt.
type relay struct {
	attempt domain.AttemptID
	next    domain.Tokens
}

// begin makes attempt the only one whose parts count.
func (r *relay) begin(attempt domain.AttemptID) { r.attempt = attempt }

func (r *relay) accept(t engine.Token) relayStep {
	if t.Attempt != r.attempt || t.Index < r.next {
		return discard
	}
	if t.Index > r.next {
		return gap
	}
	r.next++
	return deliver
}
