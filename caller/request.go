package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	requestIDHeader      = "X-Request-Id"
	requestTimeoutHeader = "Request-Timeout"
	idempotencyKeyHeader = "Idempotency-Key"
)

// Bounds of a caller's request, in bytes.
const (
	maximumBody           = 4 * domain.Mebibyte
	maximumRequestID      = 128
	maximumIdempotencyKey = 256
)

type requestIDKey struct{}

func requestIDFrom(ctx context.Context) domain.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(domain.RequestID)
	return id
}

// requestID returns the caller's request ID if it is valid, else a random one.
func requestID(received string) domain.RequestID {
	if isValidRequestID(received) {
		return domain.RequestID(received)
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return domain.RequestID(hex.EncodeToString(b[:]))
}

func isValidRequestID(s string) bool {
	if s == "" || len(s) > maximumRequestID {
		return false
	}
	for _, c := range []byte(s) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && !strings.ContainsRune("-_.:", rune(c)) {
			return false
		}
	}
	return true
}

// parseDeadline reads the Request-Timeout header, in seconds. The deployment sets the
// default and the maximum.
func parseDeadline(now time.Time, header string, d configuration.Deployment) (domain.Deadline, error) {
	timeout, maximum := d.DefaultTimeout, d.MaximumTimeout
	if timeout <= 0 {
		timeout = configuration.DefaultTimeout
	}
	if maximum <= 0 {
		maximum = configuration.MaximumTimeout
	}
	if header != "" {
		seconds, err := strconv.ParseFloat(header, 64)
		if err != nil || math.IsNaN(seconds) || seconds <= 0 {
			return domain.Deadline{}, verdict.Refuse(verdict.BadRequest, "Request-Timeout must be a positive number of seconds")
		}
		timeout = maximum
		if seconds < maximum.Seconds() {
			timeout = time.Duration(seconds * float64(time.Second))
		}
	}
	return domain.Deadline{At: now.Add(min(timeout, maximum))}, nil
}

// authenticate returns the team of the caller's key. If the deployment does not require
// keys, a caller without a valid one gets the zero Team.
func (a *API) authenticate(now time.Time, header string) (configuration.Team, error) {
	required := a.Catalogue.Deployment().RequireKeys
	key, found := strings.CutPrefix(header, "Bearer ")
	if !found || key == "" {
		if required {
			return configuration.Team{}, verdict.Refuse(verdict.Unauthenticated, "send a key as Authorization: Bearer KEY")
		}
		return configuration.Team{}, nil
	}
	hash := sha256.Sum256([]byte(key))
	team, configuredKey, ok := a.Catalogue.TeamByKey(hash)
	valid := ok && subtle.ConstantTimeCompare(hash[:], configuredKey.Hash[:]) == 1
	expired := valid && !configuredKey.Expires.IsZero() && !now.Before(configuredKey.Expires)
	if !valid || expired {
		if required {
			return configuration.Team{}, verdict.Refuse(verdict.Unauthenticated, "the key is unknown or has expired")
		}
		return configuration.Team{}, nil
	}
	if configuredKey.Role == configuration.ReadOnly {
		return configuration.Team{}, verdict.Refuse(verdict.Forbidden, "the key may read only")
	}
	return team, nil
}

// bodySize returns the number of bytes to reserve for a body. A body of unknown length
// counts as the largest permitted.
func bodySize(r *http.Request) (domain.Bytes, error) {
	if r.ContentLength > int64(maximumBody) {
		return 0, bodyTooLarge()
	}
	if r.ContentLength < 0 {
		return maximumBody, nil
	}
	return domain.Bytes(r.ContentLength), nil
}

// readBody reads a whole body of at most maximumBody bytes.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, int64(maximumBody)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, bodyTooLarge()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, verdict.Refuse(verdict.DeadlinePassed, "the body did not arrive before the deadline").WithRetryAfter(retryOtherNodeDelay)
	}
	if err != nil {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "the body could not be read", Cause: err,
		}
	}
	return body, nil
}

// discardTimeout bounds how long the body of a refused request may take to arrive.
const discardTimeout = 5 * time.Second

// discardBody reads the body of a request that is refused, maximumBody bytes at most. Without
// this, net/http closes the connection while the caller still sends, and the response may be
// lost. A caller that expects "100 Continue" has not sent the body yet.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		return
	}
	// An error means that the writer has no connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	// An error means that the caller is gone or too slow.
	_, _ = io.CopyN(io.Discard, r.Body, int64(maximumBody))
}

func bodyTooLarge() error {
	return verdict.Refuse(verdict.BodyTooLarge, "the body is larger than "+strconv.FormatInt(int64(maximumBody/domain.Mebibyte), 10)+" MiB")
}
