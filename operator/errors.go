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

// Reason is the stable code of an error of the administration API.
type Reason int

// The reasons.
const (
	// Internal is an unexpected failure of the node. A Client also uses it for an error
	// response that is not from the API.
	Internal Reason = iota
	// BadRequest means that the request is malformed or not permitted as it is.
	BadRequest
	// TooLarge means that the body or the number of records is over its limit.
	TooLarge
	// Unauthenticated means that the request has no key or an unknown one.
	Unauthenticated
	// KeyExpired means that the key is known, but has expired.
	KeyExpired
	// Forbidden means that the key's role does not permit the operation.
	Forbidden
	// UnknownObject means that the named object is not configured or not known.
	UnknownObject
	// VersionConflict means that the object no longer has the expected version, or that
	// the state machine rejected the record.
	VersionConflict
	// LogUnavailable means that the log could not be read or written; nothing was changed.
	LogUnavailable
	// OutcomeUnknown means that the change may be in the log.
	OutcomeUnknown
	// Unavailable means that the data could not be collected from the nodes.
	Unavailable
)

func (r Reason) httpStatus() int {
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

// Error is an error response of the administration API.
type Error struct {
	Reason Reason
	// Status is the HTTP status; zero means the default status of the reason.
	Status int
	// Verdict says whether the change may have been made.
	Verdict verdict.Verdict
	Message string
	// Faults is set where records could not be decoded.
	Faults []configuration.Fault
	// CurrentVersion is the version in force; it is set for VersionConflict.
	CurrentVersion domain.Offset
	// Results is set where at least one record was rejected after the append.
	Results []ChangeResult
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Faults) > 0 {
		return e.Message + "\n" + configuration.Faults(e.Faults).Error()
	}
	return e.Message
}

// refuse returns an error for a request that changed nothing.
func refuse(r Reason, message string) *Error {
	return &Error{Reason: r, Verdict: verdict.NotRun, Message: message}
}

// asError returns the *Error in err's chain. Other errors become TooLarge or Internal.
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
		status = e.Reason.httpStatus()
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
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(wire)
}
