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

// maximumList bounds the answer of the VM list.
const maximumList = 16 * domain.Mebibyte

// Client speaks to the platform's list of VMs. It must not be copied after first
// use.
type Client struct {
	// URL is the list's base, without a slash at the end.
	URL string
	// HTTP replaces the list's own connections.
	HTTP *http.Client

	sender httponce.Client
}

// List returns the VMs that the platform lists now; the list lags.
func (l *Client) List(ctx context.Context) ([]VM, error) {
	answer, err := l.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, err
	}
	return decodeVMs(answer)
}

// Announce puts an entry VM on the list. It must be repeated every 2 s.
func (l *Client) Announce(ctx context.Context, v VM) error {
	data, err := encodeVM(v)
	if err != nil {
		return err
	}
	_, err = l.call(ctx, http.MethodPut, "/vms/"+url.PathEscape(v.ID), data)
	return err
}

// Withdraw takes an announced VM off the list.
func (l *Client) Withdraw(ctx context.Context, id string) error {
	_, err := l.call(ctx, http.MethodDelete, "/vms/"+url.PathEscape(id), nil)
	return err
}

// Do sends one request; it lets go-kit send through the list's connections.
func (l *Client) Do(r *http.Request) (*http.Response, error) {
	if l.HTTP != nil {
		once := httponce.Client{HTTP: l.HTTP}
		return once.Do(r)
	}
	return l.sender.Do(r)
}

func (l *Client) call(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	create := func(ctx context.Context, _ any) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, method, l.URL+path, bytes.NewReader(data))
		return r, errors.WithStack(err)
	}
	answer, err := kithttp.NewExplicitClient(create, readAnswer, kithttp.SetClient(l)).Endpoint()(ctx, nil)
	if err != nil {
		return nil, errors.WithMessagef(err, "VM list: %s %s", method, path)
	}
	return answer.([]byte), nil
}

func readAnswer(_ context.Context, r *http.Response) (any, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(maximumList)+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > int(maximumList) {
		return nil, errors.New("the answer is too long")
	}
	if r.StatusCode/100 != 2 {
		return nil, errors.Errorf("status %s", r.Status)
	}
	return data, nil
}
