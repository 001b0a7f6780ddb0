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

// maximumResponse limits the length of a response to an order or a state request.
const maximumResponse = 8 * domain.Mebibyte

// DefaultIdleTimeout is how long a chat connection may deliver no bytes before the attempt is
// cancelled. Engines send a comment at least once a second.
const DefaultIdleTimeout = 4 * time.Second

// Client calls engines over HTTP. The zero Client is ready to use and opens a new
// connection for each call. A Client must not be copied after first use.
type Client struct {
	// HTTP is used for all calls if it is not nil.
	HTTP *http.Client
	// Region is the region of this process. It is sent to engines, which count traffic between
	// regions.
	Region domain.Region
	// IdleTimeout replaces DefaultIdleTimeout if it is positive.
	IdleTimeout time.Duration

	// sender is used if HTTP is nil.
	sender httponce.Client
}

var (
	_ ControlClient = (*Client)(nil)
	_ ChatClient    = (*Client)(nil)
)

func (c *Client) send(r *http.Request) (*http.Response, error) {
	if c.HTTP != nil {
		override := httponce.Client{HTTP: c.HTTP}
		return override.Do(r)
	}
	return c.sender.Do(r)
}

// kitClient adapts a Client to go-kit's HTTPClient interface.
type kitClient struct{ client *Client }

func (h kitClient) Do(r *http.Request) (*http.Response, error) { return h.client.send(r) }

// Order issues one order and waits for its outcome. No idle timeout applies: on an unresponsive
// connection, only ctx ends the wait. With an error, the status is Unclear, and the error's
// verdict is NotRun only if the engine never received the order.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderStatus, error) {
	create := func(ctx context.Context, _ any) (*http.Request, error) {
		data, err := encodeOrder(o)
		if err != nil {
			return nil, err
		}
		return c.newRequest(ctx, http.MethodPost, address, "/orders", data)
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		data, err := readResponse(r.Body)
		if err != nil {
			return Unclear, err
		}
		return decodeOrderResponse(data)
	}
	response, err := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(kitClient{c})).Endpoint()(ctx, o)
	if err != nil {
		return Unclear, verdict.Of(err)
	}
	return response.(OrderStatus), nil
}

// State reads the state that an engine reports.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	create := func(ctx context.Context, _ any) (*http.Request, error) {
		return c.newRequest(ctx, http.MethodGet, address, "/state", nil)
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		if r.StatusCode != http.StatusOK {
			return nil, verdict.UnknownOutcome(verdict.BackendFailed, "the engine gave no state", errors.New(r.Status))
		}
		data, err := readResponse(r.Body)
		if err != nil {
			return nil, err
		}
		return decodeState(data)
	}
	response, err := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(kitClient{c})).Endpoint()(ctx, nil)
	if err != nil {
		return State{}, verdict.Of(err)
	}
	return response.(State), nil
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, data []byte) (*http.Request, error) {
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

func readResponse(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(maximumResponse)+1))
	if err != nil {
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "the engine's answer broke off", errors.WithStack(err))
	}
	if len(data) > int(maximumResponse) {
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "the engine's answer is too long", nil)
	}
	return data, nil
}
