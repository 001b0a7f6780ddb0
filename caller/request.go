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

// Bounds on what a caller may send.
const (
	maximumBody           = 4 * domain.Mebibyte
	maximumRequestID      = 128
	maximumIdempotencyKey = 256
)

type requestKey struct{}

func requestOf(ctx context.Context) domain.RequestID {
	id, _ := ctx.Value(requestKey{}).(domain.RequestID)
	return id
}

// requestID keeps a caller's id where it is plain and short, else makes one.
func requestID(given string) domain.RequestID {
	if validRequestID(given) {
		return domain.RequestID(given)
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return domain.RequestID(hex.EncodeToString(b[:]))
}

func validRequestID(s string) bool {
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

// deadline reads the Request-Timeout header, in seconds, within the bounds of
// the deployment.
func deadline(now time.Time, header string, d configuration.Deployment) (domain.Deadline, error) {
	timeout, most := d.DefaultTimeout, d.MaximumTimeout
	if timeout <= 0 {
		timeout = configuration.DefaultTimeout
	}
	if most <= 0 {
		most = configuration.MaximumTimeout
	}
	if header != "" {
		seconds, err := strconv.ParseFloat(header, 64)
		if err != nil || math.IsNaN(seconds) || seconds <= 0 {
			return domain.Deadline{}, verdict.Refuse(verdict.BadRequest, "Request-Timeout must be a positive number of seconds")
		}
		timeout = most
		if seconds < most.Seconds() {
			timeout = time.Duration(seconds * float64(time.Second))
		}
	}
	return domain.Deadline{At: now.Add(min(timeout, most))}, nil
}

// authenticate finds the caller's team. Without a key the team is the zero Team,
// where the deployment allows that.
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
	team, known, ok := a.Catalogue.TeamByKey(hash)
	valid := ok && subtle.ConstantTimeCompare(hash[:], known.Hash[:]) == 1
	expired := valid && !known.Expires.IsZero() && !now.Before(known.Expires)
	if !valid || expired {
		if required {
			return configuration.Team{}, verdict.Refuse(verdict.Unauthenticated, "the key is unknown or has expired")
		}
		return configuration.Team{}, nil
	}
	if known.Role == configuration.ReadOnly {
		return configuration.Team{}, verdict.Refuse(verdict.Forbidden, "the key may read only")
	}
	return team, nil
}

// bodySize is the most that a body can take; one of unknown length counts as the
// largest.
func bodySize(r *http.Request) (domain.Bytes, error) {
	if r.ContentLength > int64(maximumBody) {
		return 0, bodyTooLarge()
	}
	if r.ContentLength < 0 {
		return maximumBody, nil
	}
	return domain.Bytes(r.ContentLength), nil
}

// readBody reads a whole body within the bound.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, int64(maximumBody)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, bodyTooLarge()
	}
	if err != nil {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "the body could not be read", Cause: err,
		}
	}
	return body, nil
}

func bodyTooLarge() error {
	return verdict.Refuse(verdict.BodyTooLarge, "the body is larger than "+strconv.FormatInt(int64(maximumBody/domain.Mebibyte), 10)+" MiB")
}
