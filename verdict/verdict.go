// Package verdict tells callers whether a refused or failed request may have
// run. Every failure that a caller sees carries a Verdict.
package verdict

import (
	stderrors "errors"
	"time"

	"github.com/pkg/errors"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Verdict,Reason -output=verdict_string.go

// Verdict says whether a request may have run at a backend server.
type Verdict int

// The verdicts. The zero Verdict is MayHaveRun, so that a forgotten verdict
// never claims that a request did not run.
const (
	// MayHaveRun means that nobody can tell whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server ran or will run any part of it.
	NotRun
	// Ran means that a backend server ran it, though the answer is incomplete
	// or lost.
	Ran
)

// Reason is a stable code for why a request was refused or failed.
type Reason int

// The reasons, each with the HTTP status that package caller gives it.
const (
	Unknown           Reason = iota // 500
	BadRequest                      // 400: the request cannot be understood
	BodyTooLarge                    // 413
	Unauthenticated                 // 401
	Forbidden                       // 403
	UnknownModel                    // 404
	UnknownService                  // 404
	DeadlineTooShort                // 503: the estimated wait passes the deadline
	DeadlinePassed                  // 504
	QueueFull                       // 503
	LimitReached                    // 429: a limit of the team or the model
	NoCapacity                      // 503: no permit or memory can be had in time
	LogUnavailable                  // 503: the platform's log is needed and down
	Draining                        // 503: this node is stopping
	Quarantined                     // 422: the request crashed backend servers
	BackendFailed                   // 502
	StreamBroken                    // 502: an answer broke off and could not be resumed
	CommandInProgress               // 409: the same key is running now
	CommandInDoubt                  // 409: the same key may have run; its outcome is lost
	KeyReused                       // 422: the same key came with another body
	NotReady                        // 503: no configuration can be shown to be current
	ModelPaused                     // 503: an operator paused the model
)

// Error is a failure with its verdict. The zero Error is an unknown failure of
// a request that may have run.
type Error struct {
	// Verdict is NotRun only where no backend server can have run the request,
	// now or later.
	Verdict Verdict
	// Reason is the stable code that callers and metrics use.
	Reason Reason
	// Message is one sentence for a person. It holds no prompt, key or body.
	Message string
	// RetryAfter is how long the caller should wait before it tries again; zero
	// means that no estimate is given.
	RetryAfter time.Duration
	// Cause is the error beneath, or nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Reason.String() + " (" + e.Verdict.String() + "): " + e.Message
	}
	return e.Reason.String() + " (" + e.Verdict.String() + "): " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns an error for a request that no backend server ran or will run.
func Refuse(r Reason, message string) *Error {
	return &Error{Verdict: NotRun, Reason: r, Message: message}
}

// UnknownOutcome returns an error for a request that may have run.
func UnknownOutcome(r Reason, message string, cause error) *Error {
	return &Error{Verdict: MayHaveRun, Reason: r, Message: message, Cause: cause}
}

// WithRetryAfter returns a copy of e with a Retry-After estimate.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the verdict error in err's chain. An error without one becomes an
// unknown failure that may have run.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return UnknownOutcome(Unknown, "unexpected failure", errors.WithStack(err))
}

// CanRetry tells whether a request that failed with err may be sent again.
// Idempotent work may always be; other work only where it did not run.
func CanRetry(err error, idempotent bool) bool {
	return err != nil && (idempotent || Of(err).Verdict == NotRun)
}
