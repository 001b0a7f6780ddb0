package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/httponce"
	"github.com/parsleylug/parsleylug/verdict"
)

// maximumAnswer bounds an engine's answer to an order or a state request.
const maximumAnswer = 8 * domain.Mebibyte

// DefaultSilence is how long a chat stream may bring no byte before its
// connection is given up; engines send a comment at least each second.
const DefaultSilence = 4 * time.Second

// Client speaks to engines over HTTP. The zero Client works and opens a new
// connection for each call. A Client must not be copied after first use.
type Client struct {
	// HTTP replaces the client's own connections.
	HTTP *http.Client
	// Region is where this process runs; engines are told for the traffic count.
	Region domain.Region
	// Silence replaces DefaultSilence.
	Silence time.Duration

	sender httponce.Client
}

var (
	_ Orderer = (*Client)(nil)
	_ Chatter = (*Client)(nil)
)

func (c *Client) do(r *http.Request) (*http.Response, error) {
	if c.HTTP != nil {
		once := httponce.Client{HTTP: c.HTTP}
		return once.Do(r)
	}
	return c.sender.Do(r)
}

// httpClient lets go-kit send through a Client.
type httpClient struct{ client *Client }

func (h httpClient) Do(r *http.Request) (*http.Response, error) { return h.client.do(r) }

// Order gives one order and waits until it is done. The deadline of ctx alone ends
// the wait where the connection goes silent. An error comes with the
// status Unclear and a verdict: only NotRun means that the engine never got the
// order.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderStatus, error) {
	create := func(ctx context.Context, _ any) (*http.Request, error) {
		data, err := encodeOrder(o)
		if err != nil {
			return nil, err
		}
		return c.request(ctx, http.MethodPost, address, "/orders", data)
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		data, err := readAnswer(r.Body)
		if err != nil {
			return Unclear, err
		}
		return decodeOrderAnswer(data)
	}
	answer, err := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(httpClient{c})).Endpoint()(ctx, o)
	if err != nil {
		return Unclear, verdict.Of(err)
	}
	return answer.(OrderStatus), nil
}

// State reads what an engine reports of itself.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	create := func(ctx context.Context, _ any) (*http.Request, error) {
		return c.request(ctx, http.MethodGet, address, "/state", nil)
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		if r.StatusCode != http.StatusOK {
			return nil, verdict.UnknownOutcome(verdict.BackendFailed, "the engine gave no state", errors.New(r.Status))
		}
		data, err := readAnswer(r.Body)
		if err != nil {
			return nil, err
		}
		return decodeState(data)
	}
	answer, err := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(httpClient{c})).Endpoint()(ctx, nil)
	if err != nil {
		return State{}, verdict.Of(err)
	}
	return answer.(State), nil
}

func (c *Client) request(ctx context.Context, method, address, path string, data []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		e := verdict.Refuse(verdict.BackendFailed, "the engine's address is not valid")
		e.Cause = errors.WithStack(err)
		return nil, e
	}
	if len(data) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.Region != "" {
		r.Header.Set("X-Region", string(c.Region))
	}
	return r, nil
}

func readAnswer(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(maximumAnswer)+1))
	if err != nil {
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "the engine's answer broke off", errors.WithStack(err))
	}
	if len(data) > int(maximumAnswer) {
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "the engine's answer is too long", nil)
	}
	return data, nil
}
