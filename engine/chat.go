package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// Causes of a refusal. The error of a chat attempt that the engine refused, and so did not
// run, has one of them in its chain.
var (
	ErrModelNotLoaded   = errors.New("model not loaded")
	ErrAdapterNotLoaded = errors.New("adapter not loaded")
	ErrOverloaded       = errors.New("engine overloaded")
	ErrBadRequest       = errors.New("engine rejected the request as invalid")
)

// ErrIdleTimeout is in the chain of the error of a chat attempt whose connection delivered no
// bytes for the idle timeout. The engine itself may be healthy.
var ErrIdleTimeout = errors.New("no bytes received within the idle timeout")

// maximumRefusalBody limits how much of the body of a refused chat is read.
const maximumRefusalBody = 4 * domain.Kibibyte

// Chat starts one attempt and returns its stream once the engine has accepted it. Every
// error is a *verdict.Error; a refusal has one of the causes above in its chain. The engine
// cancels the attempt when ctx ends or the stream is closed.
func (c *Client) Chat(ctx context.Context, address string, r ChatRequest) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	request, err := c.newRequest(ctx, http.MethodPost, address, "/v1/chat/completions", r.Body)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	setChatHeaders(request.Header, r)
	s := &stream{ctx: ctx, cancel: cancel, idleTimeout: c.idleTimeout(), attemptID: r.AttemptID, nextIndex: r.ResumeIndex}
	response, err := s.sendRequest(c, request)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return s.acceptResponse(response)
}

func (c *Client) idleTimeout() time.Duration {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return DefaultIdleTimeout
}

func setChatHeaders(h http.Header, r ChatRequest) {
	h.Set("X-Request-Id", string(r.RequestID))
	h.Set("X-Attempt-Id", string(r.AttemptID))
	h.Set("X-Model", string(r.Model))
	h.Set("X-Priority", strconv.Itoa(int(r.Priority)))
	h.Set("X-Resume-Token", strconv.FormatInt(int64(r.ResumeIndex), 10))
	if r.Adapter != "" {
		h.Set("X-Adapter", string(r.Adapter))
	}
	if r.Timeout > 0 {
		h.Set("Request-Timeout", strconv.FormatFloat(r.Timeout.Seconds(), 'f', 3, 64))
	}
}

// refusalError returns the error for a response with a status other than 200. Its verdict is
// NotRun only for the known refusal codes.
func refusalError(response *http.Response) *verdict.Error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, int64(maximumRefusalBody)))
	switch refusalCode(response.StatusCode, data) {
	case "ModelNotLoaded":
		return newRefusal(verdict.NoCapacity, "the engine does not have the model loaded", ErrModelNotLoaded)
	case "AdapterNotLoaded":
		return newRefusal(verdict.NoCapacity, "the engine does not have the adapter loaded", ErrAdapterNotLoaded)
	case "Overloaded":
		return newRefusal(verdict.QueueFull, "the engine's queue is full", ErrOverloaded)
	case "BadRequest":
		return newRefusal(verdict.BadRequest, "the engine does not understand the request", ErrBadRequest)
	}
	return verdict.UnknownOutcome(verdict.BackendFailed, "the engine failed", errors.New(response.Status))
}

func newRefusal(reason verdict.Reason, message string, cause error) *verdict.Error {
	e := verdict.Refuse(reason, message)
	e.Cause = cause
	return e
}

// refusalCode returns the code with which a response states that nothing ran, or "" for any
// other response. Only a response with status 400, 404 or 503 can have a code.
func refusalCode(status int, data []byte) string {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
	default:
		return ""
	}
	var refusal wireRefusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return ""
	}
	return refusal.Error
}
