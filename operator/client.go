package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// Client calls the administration API of one node.
type Client struct {
	// URL is the base URL of the node's operator listener, for example http://10.0.0.1:8081.
	URL string
	// Key is the access key; an empty one is not sent.
	Key string
	// HTTP sends the requests; nil means a client with ClientTimeout.
	HTTP *http.Client
}

// ClientTimeout is the request timeout where Client.HTTP is nil.
const ClientTimeout = time.Minute

// maximumResponseBytes bounds a response; the rest is not read.
const maximumResponseBytes = 64 << 20

// Request is one request to the administration API.
type Request struct {
	Method string
	// Path holds the unescaped path segments after /admin/v1.
	Path []string
	// Query may be nil.
	Query url.Values
	// Expect is the version that the object must still have; nil means any.
	Expect *uint64
	Body   []byte
}

// Do sends a request and decodes the response into out, which may be nil. An error
// response of the node is returned as an *Error.
func (c *Client) Do(ctx context.Context, r Request, out any) error {
	raw, err := c.send(ctx, r)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(raw, out), "decode the node's response")
}

func (c *Client) send(ctx context.Context, r Request) ([]byte, error) {
	req, err := c.request(ctx, r)
	if err != nil {
		return nil, err
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Timeout: ClientTimeout}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "reach the node")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maximumResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the node's response")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, decodeError(resp.StatusCode, raw)
	}
	return raw, nil
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	base, err := url.Parse(c.URL)
	if err != nil || base.Host == "" {
		return nil, errors.Errorf("%q is not a URL such as http://127.0.0.1:8081", c.URL)
	}
	segments := []string{"admin", "v1"}
	for _, s := range r.Path {
		segments = append(segments, url.PathEscape(s))
	}
	target := strings.TrimSuffix(c.URL, "/") + "/" + strings.Join(segments, "/")
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if r.Expect != nil {
		req.Header.Set("If-Match", quoteVersion(*r.Expect))
	}
	return req, nil
}

// decodeError decodes an error response. A body in another form, for example from a
// proxy, gets the verdict MayHaveRun, because the node may have handled the request.
func decodeError(status int, raw []byte) *Error {
	var w wireError
	if err := json.Unmarshal(raw, &w); err != nil || w.Reason == "" {
		return &Error{Reason: Internal, Status: status, Verdict: verdict.MayHaveRun, Message: "the node answered " + http.StatusText(status)}
	}
	e := &Error{Status: status, Message: w.Message, CurrentVersion: domain.Offset(w.CurrentVersion), Results: w.Results}
	for r := Internal; r <= Unavailable; r++ {
		if r.String() == w.Reason {
			e.Reason = r
		}
	}
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		if v.String() == w.Verdict {
			e.Verdict = v
		}
	}
	for _, f := range w.Faults {
		e.Faults = append(e.Faults, configuration.Fault{Line: f.Line, Field: f.Field, Message: f.Message, Suggestion: f.Suggestion})
	}
	return e
}
