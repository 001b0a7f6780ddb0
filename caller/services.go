package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/service"
	"github.com/parsleylug/parsleylug/verdict"
)

// Forwarder sends one call to a plain service at an address (HOST:PORT), without retries.
// An error carries NotRun only if no byte of the call was sent. *service.Client
// implements it.
type Forwarder interface {
	Do(ctx context.Context, address string, r service.Request) (service.Response, error)
}

// serviceCall is one decoded call to a plain service.
type serviceCall struct {
	service    configuration.Service
	team       configuration.Team
	deadline   domain.Deadline
	request    service.Request
	idempotent bool
}

func (a *API) decodeServiceCall(ctx context.Context, r *http.Request) (any, error) {
	now := time.Now()
	team, err := a.authenticate(now, r.Header.Get("Authorization"))
	if err != nil {
		return nil, err
	}
	configured, ok := a.Catalogue.Service(domain.ServiceName(r.PathValue("name")))
	if !ok {
		return nil, verdict.Refuse(verdict.UnknownService, "no such service is configured")
	}
	deadline, err := parseDeadline(now, r.Header.Get(requestTimeoutHeader), a.Catalogue.Deployment())
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r.Header)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if err := a.checkTimeToFinish(deadline); err != nil {
		return nil, err
	}
	traceFrom(ctx).recordAdmission(team.Name, domain.ModelName(servicePrefix+configured.Name), deadline)
	return &serviceCall{
		service: configured, team: team, deadline: deadline, idempotent: isIdempotent(configured, r.Method),
		request: service.Request{
			Method: r.Method, Path: servicePath(r.URL), RawQuery: r.URL.RawQuery, Body: body,
			ContentType: r.Header.Get("Content-Type"), RequestID: requestIDFrom(ctx), IdempotencyKey: key,
		},
	}, nil
}

func idempotencyKey(h http.Header) (domain.IdempotencyKey, error) {
	values := h.Values(idempotencyKeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maximumIdempotencyKey {
		return "", verdict.Refuse(verdict.BadRequest, "Idempotency-Key must be one value of 1 to 256 bytes")
	}
	return domain.IdempotencyKey(values[0]), nil
}

// servicePath returns the escaped path after /services/{name}.
func servicePath(u *url.URL) string {
	path := u.EscapedPath()
	for range 2 { // "services" and the name
		next := 1
		for next < len(path) && path[next] != '/' {
			next++
		}
		path = path[min(next, len(path)):]
	}
	if path == "" {
		return "/"
	}
	return path
}

func isIdempotent(s configuration.Service, method string) bool {
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// callService is the endpoint of plain services. A non-idempotent call with an
// idempotency key runs through Commands, any other is sent directly.
func (a *API) callService(ctx context.Context, request any) (any, error) {
	call, _ := request.(*serviceCall)
	ctx, cancel := context.WithDeadlineCause(ctx, call.deadline.At, errDeadline)
	defer cancel()
	if call.idempotent || call.request.IdempotencyKey == "" {
		return a.sendWithRetries(ctx, call)
	}
	command := Command{Key: commandKey(call), Request: requestHash(call), Deadline: call.deadline}
	outcome, err := a.Commands.Run(ctx, command, func(ctx context.Context) (Outcome, error) { return a.sendWithRetries(ctx, call) })
	if err != nil {
		return nil, err
	}
	if outcome.Truncated {
		return nil, &verdict.Error{
			Verdict: verdict.Ran, Reason: verdict.CommandInDoubt, Message: "the command ran; its answer was too large to keep",
		}
	}
	return outcome, nil
}

// sendWithRetries sends a call and retries it while the verdict of the failure, the retry
// budget and the deadline permit it, up to maximumAttempts attempts.
func (a *API) sendWithRetries(ctx context.Context, c *serviceCall) (Outcome, error) {
	var exclude []domain.ServerID
	mayHaveRun := false
	budgetKey := domain.ModelName("service/" + c.service.Name)
	a.health.countRequest(time.Now(), budgetKey)
	for attempt := 1; ; attempt++ {
		outcome, server, err := a.sendOnce(ctx, c, exclude)
		if err == nil {
			return outcome, nil
		}
		mayHaveRun = mayHaveRun || verdict.Of(err).Verdict != verdict.NotRun
		exclude = append(exclude, server)
		canRetry := ctx.Err() == nil && attempt < maximumAttempts && server != "" &&
			verdict.CanRetry(err, c.idempotent) && a.health.spendRetry(time.Now(), budgetKey)
		if !canRetry {
			return Outcome{}, serviceFailure(ctx, err, mayHaveRun)
		}
		pause.For(ctx, retries.Backoff(attempt, rand.Float64()), nil)
	}
}

// serviceFailure returns the final failure of a call from the error of its last attempt.
// The verdict is MayHaveRun instead of NotRun if an earlier attempt may have run.
func serviceFailure(ctx context.Context, err error, mayHaveRun bool) error {
	e := *verdict.Of(err)
	if e.Reason == verdict.Unknown {
		e.Reason, e.Message = verdict.BackendFailed, "the service did not answer"
	}
	if mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
	}
	switch {
	case ctx.Err() == nil:
	case !errors.Is(context.Cause(ctx), ErrShutdown):
		e.Reason, e.Message = verdict.DeadlinePassed, "the deadline passed before the service answered"
	case e.Verdict == verdict.NotRun:
		return errDraining()
	default:
		e.Reason, e.Message = verdict.BackendFailed, "the node stopped before the service answered"
	}
	return &e
}

func (a *API) sendOnce(ctx context.Context, c *serviceCall, exclude []domain.ServerID) (Outcome, domain.ServerID, error) {
	set := routing.GroupByLocality(a.Region, a.Zone, a.Backends.Service(c.service.Name))
	i, ok := a.chooser.Choose(time.Now(), set, routing.Request{Exclude: exclude})
	if !ok {
		return Outcome{}, "", verdict.Refuse(verdict.NoCapacity, "no server of the service takes new work").WithRetryAfter(time.Second)
	}
	r := set.Replicas[i]
	defer a.chooser.Done(r.Server)
	traceFrom(ctx).recordAttempt(&r)
	response, err := a.Services.Do(ctx, r.Address, c.request)
	if err != nil {
		return Outcome{}, r.Server, err
	}
	return Outcome{Status: response.Status, ContentType: response.ContentType, Body: response.Body}, r.Server, nil
}

func commandKey(c *serviceCall) fold.CommandKey {
	return hashParts([]byte(c.team.Name), []byte(c.service.Name), []byte(c.request.IdempotencyKey))
}

func requestHash(c *serviceCall) [32]byte {
	target := c.request.Path + "?" + c.request.RawQuery
	return hashParts([]byte(c.request.Method), []byte(target), c.request.Body)
}

// hashParts hashes parts with their lengths, so that no two lists of parts have the same
// input to the hash.
func hashParts(parts ...[]byte) [32]byte {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return [32]byte(h.Sum(nil))
}

func encodeServiceResponse(_ context.Context, w http.ResponseWriter, response any) error {
	outcome, _ := response.(Outcome)
	if outcome.ContentType != "" {
		w.Header().Set("Content-Type", outcome.ContentType)
	}
	limitResponse(w, len(outcome.Body))
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
	return nil
}
