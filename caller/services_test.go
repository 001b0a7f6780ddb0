package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/service"
	"github.com/parsleylug/parsleylug/verdict"
)

// fakeService counts calls; it fails the first ones with its errors.
type fakeService struct {
	mu     sync.Mutex
	errs   []error
	ran    int
	latest service.Request
}

func (f *fakeService) Do(_ context.Context, _ string, r service.Request) (service.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = r
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		if err != nil {
			return service.Response{}, err
		}
	}
	f.ran++
	return service.Response{Status: http.StatusCreated, ContentType: "application/json", Body: []byte(`{"Booking":"1"}`)}, nil
}

// fakeClaims lets the first claim win and keeps its outcome.
type fakeClaims struct {
	mu       sync.Mutex
	outcomes map[fold.CommandKey]Outcome
	requests map[fold.CommandKey][32]byte
}

func (f *fakeClaims) Run(ctx context.Context, c Command, forward func(context.Context) (Outcome, error)) (Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if given, ok := f.requests[c.Key]; ok {
		if given != c.Request {
			return Outcome{}, verdict.Refuse(verdict.KeyReused, "the key came with another body")
		}
		return f.outcomes[c.Key], nil
	}
	o, err := forward(ctx)
	if err != nil {
		return o, err
	}
	f.requests[c.Key], f.outcomes[c.Key] = c.Request, o
	return o, nil
}

func newServiceBench(errs ...error) (*bench, *fakeService) {
	b := newBench(answer, answer)
	s := &fakeService{errs: errs}
	b.api.Services = s
	b.api.Commands = &fakeClaims{outcomes: map[fold.CommandKey]Outcome{}, requests: map[fold.CommandKey][32]byte{}}
	return b, s
}

func (b *bench) call(method, body string, headers ...string) *httptest.ResponseRecorder {
	return b.do(httptest.NewRequest(method, "/services/booking/book%2Fings?day=1", strings.NewReader(body)), headers...)
}

func TestResentCommandRunsOnce(t *testing.T) {
	b, s := newServiceBench()
	for range 3 {
		if w := b.call(http.MethodPost, "{}", idempotencyKeyHeader, "k"); w.Code != http.StatusCreated {
			t.Errorf("got %d %s, want 201", w.Code, w.Body)
		}
	}
	if w := b.call(http.MethodPost, "{2}", idempotencyKeyHeader, "k"); w.Code != http.StatusUnprocessableEntity {
		t.Errorf("got %d for another body under the same key, want 422", w.Code)
	}
	if s.ran != 1 {
		t.Errorf("got %d runs, want 1", s.ran)
	}
	if s.latest.Path != "/book%2Fings" || s.latest.RawQuery != "day=1" || s.latest.IdempotencyKey != "k" {
		t.Errorf("got %+v forwarded", s.latest)
	}
}

func TestCommandInDoubtIsNotSentAgain(t *testing.T) {
	for _, headers := range [][]string{nil, {idempotencyKeyHeader, "k"}} {
		b, s := newServiceBench(errReset)
		w := b.call(http.MethodPost, "{}", headers...)
		if got := refusal(t, w); w.Code != http.StatusBadGateway || got.Verdict != "MayHaveRun" {
			t.Errorf("got %d %+v, want 502 MayHaveRun", w.Code, got)
		}
		if s.ran != 0 || len(s.errs) != 0 {
			t.Errorf("got %d runs and %d failures left, want the call sent once", s.ran, len(s.errs))
		}
	}
}

func TestIdempotentCallIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := newServiceBench(errReset, errReset)
		b.placer.replicas = append(b.placer.replicas, b.placer.replicas[0])
		b.placer.replicas[2].Server = "e3"
		if w := b.call(http.MethodGet, ""); w.Code != http.StatusCreated || s.ran != 1 {
			t.Errorf("got %d after %d runs, want 201 after 1", w.Code, s.ran)
		}
	})
}
