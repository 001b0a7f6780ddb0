// Package platformlog speaks to the platform's append-only log. Client is its
// HTTP interface; Replica keeps a node's copy of the agreed state and appends
// the node's proposals.
package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// maximumAnswer bounds what is read of one answer of the log, in bytes.
const maximumAnswer = 64 << 20

// Failure tells what is known after a failed call.
type Failure int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Failure -output=failure_string.go

// The failures.
const (
	// OutcomeUnknown appends may have taken effect, or still may.
	OutcomeUnknown Failure = iota
	// NotAppended appends never take effect.
	NotAppended
	// Unavailable reads failed.
	Unavailable
	// OutOfRetention reads asked for records that the log no longer has.
	OutOfRetention
)

// Error is a failed call to the log.
type Error struct {
	Failure Failure
	// Status is the HTTP status, or 0 where there was no answer.
	Status int
	// Oldest and Next are the log's range, for OutOfRetention.
	Oldest, Next domain.Offset
	Cause        error
}

// Error implements error.
func (e *Error) Error() string {
	s := "platform log: " + e.Failure.String()
	if e.Status != 0 {
		s += ": status " + strconv.Itoa(e.Status)
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FailureOf returns what is known after err, which must not be nil.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return OutcomeUnknown
}

// Client calls the log at URL.
type Client struct {
	// URL is the log's base, without a slash at the end.
	URL string
	// HTTP carries the calls; nil means http.DefaultClient. It must not follow
	// redirects for appends.
	HTTP *http.Client
}

// Page is a part of a stream.
type Page struct {
	// Oldest is the first offset that the log still has; Next is the one that the
	// next append gets.
	Oldest, Next domain.Offset
	Records      []Entry
}

// Entry is one record of a stream.
type Entry struct {
	Offset domain.Offset
	Data   []byte
}

type appendRequest struct{ Records [][]byte }

type appendResponse struct{ First, Next uint64 }

type readResponse struct {
	Oldest, Next uint64
	Records      []readRecord
}

type readRecord struct {
	Offset uint64
	Data   []byte
}

// Append appends records to a stream, all or none, and returns the offset of the
// first. Errors are *Error with OutcomeUnknown or NotAppended.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	body, err := json.Marshal(appendRequest{records})
	if err != nil {
		return 0, &Error{Failure: NotAppended, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, &Error{Failure: NotAppended, Cause: err}
	}
	// Without GetBody the transport never sends the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	var answer appendResponse
	status, err := c.do(request, &answer)
	if err != nil {
		return 0, &Error{Failure: appendFailure(status, err), Status: status, Cause: err}
	}
	if answer.First == 0 {
		return 0, &Error{Failure: OutcomeUnknown, Status: status, Cause: errors.New("answer without offset")}
	}
	return domain.Offset(answer.First), nil
}

// appendFailure classifies a failed append: only a refusal by the log itself, or
// a connection that never came about, shows that nothing was appended.
func appendFailure(status int, err error) Failure {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return NotAppended
	}
	if status >= 400 && status < 500 {
		return NotAppended
	}
	var dial *net.OpError
	if status == 0 && errors.As(err, &dial) && dial.Op == "dial" {
		return NotAppended
	}
	return OutcomeUnknown
}

// Read returns at most most records of a stream from an offset on, and waits up
// to wait for the first. Errors are *Error with Unavailable or OutOfRetention.
func (c *Client) Read(ctx context.Context, stream string, from domain.Offset, most int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("max", strconv.Itoa(most))
	query.Set("waitMilliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, &Error{Failure: Unavailable, Cause: err}
	}
	var answer readResponse
	status, err := c.do(request, &answer)
	if status == http.StatusGone {
		return Page{}, &Error{Failure: OutOfRetention, Status: status,
			Oldest: domain.Offset(answer.Oldest), Next: domain.Offset(answer.Next)}
	}
	if err != nil {
		return Page{}, &Error{Failure: Unavailable, Status: status, Cause: err}
	}
	return answer.page(from)
}

// page checks that the records follow each other from an offset on.
func (a readResponse) page(from domain.Offset) (Page, error) {
	p := Page{Oldest: domain.Offset(a.Oldest), Next: domain.Offset(a.Next)}
	for i, r := range a.Records {
		if domain.Offset(r.Offset) != from+domain.Offset(i) {
			return Page{}, &Error{Failure: Unavailable, Cause: errors.Errorf("record %d has offset %d, from %d", i, r.Offset, from)}
		}
		p.Records = append(p.Records, Entry{Offset: domain.Offset(r.Offset), Data: r.Data})
	}
	return p, nil
}

func (c *Client) streamURL(stream string) string {
	return c.URL + "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends a request and decodes a JSON answer, also that of status 410.
func (c *Client) do(request *http.Request, answer any) (int, error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return response.StatusCode, errors.Errorf("status %s", response.Status)
	}
	return response.StatusCode, errors.WithStack(json.Unmarshal(body, answer))
}
