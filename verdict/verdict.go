// Package verdict defines the error of refused and failed requests. Its
// Verdict says whether a backend server may have run the request, so that callers know
// whether a retry can run it twice.
//
// Nearly every package that handles requests creates these errors; packages caller and
// platform map their reasons to HTTP statuses. Package verdict sends and retries nothing
// itself.
package verdict

import (
	stderrors "errors"
	"time"

	"github.com/pkg/errors"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Verdict,Reason -output=verdict_string.go

// Verdict says whether a backend server may have run a request.
type Verdict int

// The verdicts. The zero Verdict is MayHaveRun, so that an error without an explicit
// verdict never claims that the request did not run.
const (
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has run or will run any part of the request.
	NotRun
	// Ran means that a backend server ran the request, but the response is incomplete or
	// lost.
	Ran
)

// Reason is a stable code for the cause of a refusal or failure.
type Reason int

// The reasons, each with the HTTP status that package caller maps it to.
const (
	Unknown           Reason = iota // 500
	BadRequest                      // 400: the request is malformed
	BodyTooLarge                    // 413
	Unauthenticated                 // 401
	Forbidden                       // 403
	UnknownModel                    // 404
	UnknownService                  // 404
	DeadlineTooShort                // 503: the estimated wait exceeds the deadline
	DeadlinePassed                  // 504
	QueueFull                       // 503
	LimitReached                    // 429: a limit of the team, the workspace or the model is reached
	NoCapacity                      // 503: no permit or memory is available in time
	LogUnavailable                  // 503: the request needs the platform's log, which is down
	Draining                        // 503: this node is shutting down
	Quarantined                     // 422: the request crashed backend servers
	BackendFailed                   // 502
	StreamBroken                    // 502: a response broke off and could not be resumed
	CommandInProgress               // 409: a request with the same idempotency key is running
	CommandInDoubt                  // 409: a request with the same idempotency key may have run; its outcome is unknown
	KeyReused                       // 422: the idempotency key was used with another body
	NotReady                        // 503: no configuration is confirmed to be current
	ModelPaused                     // 503: an operator paused the model
	QuotaUnknown                    // 503: this node does not know whether the quota has room
)

// Error is the error of a refused or failed request. The zero Error has the reason
// Unknown and the verdict MayHaveRun.
type Error struct {
	// Verdict is NotRun only if no backend server has run the request or can run it
	// later.
	Verdict Verdict
	// Reason is the code that callers receive and metrics count.
	Reason Reason
	// Message is one sentence for people. It contains no prompt, access key or body.
	Message string
	// RetryAfter is how long the caller should wait before a retry, or 0 if there is no
	// estimate.
	RetryAfter time.Duration
	// Cause is the wrapped error or nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Reason.String() + " (" + e.Verdict.String() + "): " + e.Message
	}
	return e.Reason.String() + " (" + e.Verdict.String() + "): " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns an error with the verdict NotRun.
func Refuse(r Reason, message string) *Error {
	return &Error{Verdict: NotRun, Reason: r, Message: message}
}

// UnknownOutcome returns an error with the verdict MayHaveRun.
func UnknownOutcome(r Reason, message string, cause error) *Error {
	return &Error{Verdict: MayHaveRun, Reason: r, Message: message, Cause: cause}
}

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the first *Error in the chain of err. If there is none, Of wraps err in an
// Error with the reason Unknown and the verdict MayHaveRun.
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

// CanRetry reports whether a request that failed with err may be sent again: an idempotent
// request always, any other only if it did not run.
func CanRetry(err error, idempotent bool) bool {
	return err != nil && (idempotent || Of(err).Verdict == NotRun)
}
