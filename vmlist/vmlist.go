package vmlist

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/httponce"
)

// maximumListBytes bounds a response of the VM list.
const maximumListBytes = 16 * domain.Mebibyte

// Client is a client of the platform's VM list. It must not be copied after first use.
type Client struct {
	// URL is the base URL of the list, without a trailing slash.
	URL string
	// HTTP sends the requests; nil means connections that only this client uses.
	HTTP *http.Client

	connections httponce.Client
}

// List returns the VMs on the platform's list, which may be out of date.
func (l *Client) List(ctx context.Context) ([]VM, error) {
	response, err := l.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, err
	}
	return decodeVMs(response)
}

// Announce puts an entry VM on the list. It must be repeated every 2 s, because the
// platform drops entries that are no longer announced.
func (l *Client) Announce(ctx context.Context, v VM) error {
	data, err := encodeVM(v)
	if err != nil {
		return err
	}
	_, err = l.call(ctx, http.MethodPut, "/vms/"+url.PathEscape(v.ID), data)
	return err
}

// Withdraw removes an announced VM from the list.
func (l *Client) Withdraw(ctx context.Context, id string) error {
	_, err := l.call(ctx, http.MethodDelete, "/vms/"+url.PathEscape(id), nil)
	return err
}

// Do sends one request. It implements go-kit's HTTPClient.
func (l *Client) Do(r *http.Request) (*http.Response, error) {
	if l.HTTP != nil {
		once := httponce.Client{HTTP: l.HTTP}
		return once.Do(r)
	}
	return l.connections.Do(r)
}

func (l *Client) call(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	create := func(ctx context.Context, _ any) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, method, l.URL+path, bytes.NewReader(data))
		return r, errors.WithStack(err)
	}
	response, err := kithttp.NewExplicitClient(create, readResponse, kithttp.SetClient(l)).Endpoint()(ctx, nil)
	if err != nil {
		return nil, errors.WithMessagef(err, "VM list: %s %s", method, path)
	}
	return response.([]byte), nil
}

func readResponse(_ context.Context, r *http.Response) (any, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(maximumListBytes)+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > int(maximumListBytes) {
		return nil, errors.New("the response is too long")
	}
	if r.StatusCode/100 != 2 {
		return nil, errors.Errorf("status %s", r.Status)
	}
	return data, nil
}
