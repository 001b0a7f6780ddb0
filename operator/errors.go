package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// Reason is a stable code for why the administration API refused.
type Reason int

// The reasons.
const (
	// Internal failures are faults of the node.
	Internal Reason = iota
	// BadRequest requests cannot be understood.
	BadRequest
	// TooLarge bodies pass the limit.
	TooLarge
	// Unauthenticated requests have no key or a wrong one.
	Unauthenticated
	// KeyExpired keys were right once.
	KeyExpired
	// Forbidden requests need another role.
	Forbidden
	// UnknownObject requests name something that is not configured.
	UnknownObject
	// VersionConflict changes expected another version.
	VersionConflict
	// LogUnavailable changes could not be written; nothing was changed.
	LogUnavailable
	// OutcomeUnknown changes may be in the log.
	OutcomeUnknown
	// Unavailable answers need a node that did not answer in time.
	Unavailable
)

// status returns the HTTP status of a reason.
func (r Reason) status() int {
	switch r {
	case BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Unauthenticated, KeyExpired:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case UnknownObject:
		return http.StatusNotFound
	case VersionConflict:
		return http.StatusConflict
	case LogUnavailable, Unavailable:
		return http.StatusServiceUnavailable
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	case Internal:
	}
	return http.StatusInternalServerError
}

// Error is a refusal of the administration API.
type Error struct {
	Reason Reason
	// Status is the HTTP status; zero means that of the reason.
	Status int
	// Verdict tells whether a change may have been made.
	Verdict verdict.Verdict
	Message string
	// Faults are set where records could not be understood.
	Faults []configuration.Fault
	// CurrentVersion is set for VersionConflict.
	CurrentVersion domain.Offset
	// Results are set where some of several records were not applied.
	Results []ChangeResult
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Faults) > 0 {
		return e.Message + "\n" + configuration.Faults(e.Faults).Error()
	}
	return e.Message
}

func refuse(r Reason, message string) *Error {
	return &Error{Reason: r, Verdict: verdict.NotRun, Message: message}
}

// asError returns the refusal in err's chain, or an internal one.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(TooLarge, "the body is too large")
	}
	return &Error{Reason: Internal, Verdict: verdict.MayHaveRun, Message: err.Error()}
}

// wireError is the JSON form of Error.
type wireError struct {
	Verdict        string
	Reason         string
	Message        string
	CurrentVersion uint64         `json:",omitempty"`
	Faults         []wireFault    `json:",omitempty"`
	Results        []ChangeResult `json:",omitempty"`
}

type wireFault struct {
	Line       int
	Field      string `json:",omitempty"`
	Message    string
	Suggestion string `json:",omitempty"`
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e := asError(err)
	status := e.Status
	if status == 0 {
		status = e.Reason.status()
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	wire := wireError{
		Verdict:        e.Verdict.String(),
		Reason:         e.Reason.String(),
		Message:        e.Message,
		CurrentVersion: uint64(e.CurrentVersion),
		Results:        e.Results,
	}
	for _, f := range e.Faults {
		wire.Faults = append(wire.Faults, wireFault{Line: f.Line, Field: f.Field, Message: f.Message, Suggestion: f.Suggestion})
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// The operator may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(wire)
}
