package caller

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// refusalWire is the JSON of a failure, as a response body or as the last event of a
// stream.
type refusalWire struct {
	Verdict   string
	Reason    string
	Message   string
	RequestID string
}

func refusalJSON(e *verdict.Error, id domain.RequestID) []byte {
	b, err := json.Marshal(refusalWire{
		Verdict:   e.Verdict.String(),
		Reason:    e.Reason.String(),
		Message:   e.Message,
		RequestID: string(id),
	})
	if err != nil {
		return []byte(`{"Verdict":"MayHaveRun","Reason":"Unknown"}`)
	}
	return b
}

// httpStatus returns the HTTP status for a reason.
func httpStatus(r verdict.Reason) int {
	switch r {
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.Unauthenticated:
		return http.StatusUnauthorized
	case verdict.Forbidden:
		return http.StatusForbidden
	case verdict.UnknownModel, verdict.UnknownService:
		return http.StatusNotFound
	case verdict.LimitReached:
		return http.StatusTooManyRequests
	case verdict.Quarantined, verdict.KeyReused:
		return http.StatusUnprocessableEntity
	case verdict.CommandInProgress, verdict.CommandInDoubt:
		return http.StatusConflict
	case verdict.BackendFailed, verdict.StreamBroken:
		return http.StatusBadGateway
	case verdict.DeadlinePassed:
		return http.StatusGatewayTimeout
	case verdict.DeadlineTooShort, verdict.QueueFull, verdict.NoCapacity, verdict.LogUnavailable,
		verdict.Draining, verdict.NotReady, verdict.ModelPaused, verdict.QuotaUnknown:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// encodeError writes a failure that occurred before any byte of the response was sent.
func (a *API) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	e := verdict.Of(err)
	id := requestIDFrom(ctx)
	traceFrom(ctx).recordFailure(e)
	a.Scope.Tagged(map[string]string{"reason": e.Reason.String(), "verdict": e.Verdict.String()}).Counter("refusals").Inc(1)
	if e.Reason == verdict.Unauthenticated || e.Reason == verdict.Forbidden {
		a.audit.Info().Str("Event", "CallerRefused").Str("Request", string(id)).Str("Reason", e.Reason.String()).Msg("refused a caller that is not authenticated or not permitted")
	}
	if e.Reason == verdict.Unknown {
		a.Logger.Error().Str("Event", "UnexpectedFailure").Err(err).Str("Request", string(id)).Msg("request failed with an error that has no reason")
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(e.RetryAfter))
	}
	if e.Reason == verdict.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if e.Reason == verdict.Draining || e.Reason == verdict.BodyTooLarge {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(httpStatus(e.Reason))
	_, _ = w.Write(append(refusalJSON(e, id), '\n'))
}

// retryAfter formats a Retry-After header: whole seconds, rounded up, at least one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}
