// Package platformlog connects a node to the platform's append-only log. Client
// is the log's HTTP client. Replica is state machine replication on top of it. It
// applies the decision stream to the node's replica of the state, batches the node's
// proposals into appends, imports operator records, and writes and restores
// snapshots. Codec is the encoding of batches and snapshots.
//
// Package node creates one Client and one Replica. Package relay has a Log that
// combines the appends of an availability zone before they reach the Client, and it
// passes relayed records to Replica.Deliver. This package does not decide whether a
// record is valid; package fold does. It never repeats the append of an operator
// record with an unknown outcome, and it calls no other node itself.
package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/transfer"
)

const (
	// maximumResponseBytes is the largest response body.
	maximumResponseBytes = 64 << 20
	// CallTimeout is the longest time until the response to a call begins, beside the
	// long-poll wait of a read, and then the longest time without a byte of it.
	CallTimeout = 5 * time.Second
)

// Failure is the kind of failure of a call. It says whether an append may have taken
// effect.
type Failure int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Failure -output=failure_string.go

// The failures of Append and Read.
const (
	// OutcomeUnknown means that the append may have taken effect or may still do so.
	OutcomeUnknown Failure = iota
	// NotAppended means that the append has no effect, now or later.
	NotAppended
	// Unavailable means that the read failed.
	Unavailable
	// OutOfRetention means that a read failed because the log no longer has the first
	// requested record.
	OutOfRetention
	// PageTooLong means that a read failed because the requested records are too many for
	// one response.
	PageTooLong
)

// Error is a failed call to the log.
type Error struct {
	Failure Failure
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Oldest and Next are set for OutOfRetention: the stream has the offsets
	// [Oldest, Next).
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

// FailureOf returns the Failure of err, which must not be nil. It is OutcomeUnknown
// for errors other than *Error.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return OutcomeUnknown
}

// Client is the HTTP client of the log. It makes one request for each call and
// retries nothing.
type Client struct {
	// URL is the log's base URL, without a trailing slash.
	URL string
	// HTTP sends the requests; nil means http.DefaultClient. It must not follow
	// redirects of appends.
	HTTP *http.Client
}

// Page is the result of one read: consecutive records of a stream.
type Page struct {
	// Oldest is the first offset that the log retains; Next is the offset that the
	// next appended record gets.
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

// Append appends records to a stream atomically and returns the offset of the
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
	// Without GetBody the transport cannot retry the request on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	var appended appendResponse
	status, err := c.do(request, &appended, 0)
	if err != nil {
		return 0, &Error{Failure: appendFailure(status, err), Status: status, Cause: err}
	}
	if appended.First == 0 {
		return 0, &Error{Failure: OutcomeUnknown, Status: status, Cause: errors.New("response has no offset")}
	}
	return domain.Offset(appended.First), nil
}

// appendFailure classifies a failed append. Only a rejection by the log (status
// 4xx or 503) or a failed dial proves that nothing was appended.
func appendFailure(status int, err error) Failure {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return NotAppended
	}
	if status >= 400 && status < 500 {
		return NotAppended
	}
	var netErr *net.OpError
	if status == 0 && errors.As(err, &netErr) && netErr.Op == "dial" {
		return NotAppended
	}
	return OutcomeUnknown
}

// Read returns at most limit records of a stream, starting at offset from. If the stream
// has no record at from yet, the log delays its response by up to wait until it has one. A read
// ends when its response does not begin or stops arriving for CallTimeout, not while it
// arrives. Errors are *Error with Unavailable, OutOfRetention or PageTooLong.
func (c *Client) Read(ctx context.Context, stream string, from domain.Offset, limit int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("waitMilliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, &Error{Failure: Unavailable, Cause: err}
	}
	var result readResponse
	status, err := c.do(request, &result, wait)
	if errors.Is(err, transfer.ErrTooLong) {
		return Page{}, &Error{Failure: PageTooLong, Status: status, Cause: err}
	}
	if status == http.StatusGone {
		return Page{}, &Error{Failure: OutOfRetention, Status: status,
			Oldest: domain.Offset(result.Oldest), Next: domain.Offset(result.Next)}
	}
	if err != nil {
		return Page{}, &Error{Failure: Unavailable, Status: status, Cause: err}
	}
	return result.toPage(from)
}

// toPage converts the response and checks that its records are consecutive and
// start at offset from.
func (response readResponse) toPage(from domain.Offset) (Page, error) {
	p := Page{Oldest: domain.Offset(response.Oldest), Next: domain.Offset(response.Next)}
	for i, r := range response.Records {
		if domain.Offset(r.Offset) != from+domain.Offset(i) {
			return Page{}, &Error{Failure: Unavailable, Cause: errors.Errorf("record %d of the page has offset %d, but the page starts at %d", i, r.Offset, from)}
		}
		p.Records = append(p.Records, Entry{Offset: domain.Offset(r.Offset), Data: r.Data})
	}
	return p, nil
}

func (c *Client) streamURL(stream string) string {
	return c.URL + "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends a request, decodes the JSON body of status 200 or 410 into result and
// returns the status, or 0 without a complete response. The log may delay its response by
// wait.
func (c *Client) do(request *http.Request, result any, wait time.Duration) (int, error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	limits := transfer.Limits{Response: wait + CallTimeout, Stall: CallTimeout, Bytes: maximumResponseBytes}
	status, body, err := transfer.Do(client, request, limits, nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK && status != http.StatusGone {
		return status, errors.Errorf("status %d", status)
	}
	return status, errors.WithStack(json.Unmarshal(body, result))
}
