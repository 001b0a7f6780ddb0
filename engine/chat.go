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

// The causes of a chat that an engine refused before it ran anything.
var (
	ErrModelNotLoaded   = errors.New("model not loaded")
	ErrAdapterNotLoaded = errors.New("adapter not loaded")
	ErrOverloaded       = errors.New("engine overloaded")
	ErrNotUnderstood    = errors.New("engine does not understand the request")
)

// ErrSilent is in the chain of a failure where the connection brought no byte for
// too long; the engine itself may be well.
var ErrSilent = errors.New("the connection is silent")

// maximumRefusal bounds the body of a refused chat.
const maximumRefusal = 4 * domain.Kibibyte

// Chat starts one attempt and returns its stream once the engine has accepted
// it. Every error is a *verdict.Error; refusals have one of the causes above. The
// engine cancels the attempt when ctx ends or the stream is closed.
func (c *Client) Chat(ctx context.Context, address string, r ChatRequest) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	request, err := c.request(ctx, http.MethodPost, address, "/v1/chat/completions", r.Body)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	setChatHeaders(request.Header, r)
	s := &stream{ctx: ctx, cancel: cancel, silence: c.silence(), attempt: r.Attempt, next: r.Resume}
	response, err := s.open(c, request)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return s.accept(response)
}

func (c *Client) silence() time.Duration {
	if c.Silence > 0 {
		return c.Silence
	}
	return DefaultSilence
}

func setChatHeaders(h http.Header, r ChatRequest) {
	h.Set("X-Request-Id", string(r.Request))
	h.Set("X-Attempt-Id", string(r.Attempt))
	h.Set("X-Model", string(r.Model))
	h.Set("X-Priority", strconv.Itoa(int(r.Priority)))
	h.Set("X-Resume-Token", strconv.FormatInt(int64(r.Resume), 10))
	if r.Adapter != "" {
		h.Set("X-Adapter", string(r.Adapter))
	}
	if r.Within > 0 {
		h.Set("Request-Timeout", strconv.FormatFloat(r.Within.Seconds(), 'f', 3, 64))
	}
}

func refusal(response *http.Response) *verdict.Error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, int64(maximumRefusal)))
	switch refusalCode(response.StatusCode, data) {
	case "ModelNotLoaded":
		return refused(verdict.NoCapacity, "the engine does not have the model loaded", ErrModelNotLoaded)
	case "AdapterNotLoaded":
		return refused(verdict.NoCapacity, "the engine does not have the adapter loaded", ErrAdapterNotLoaded)
	case "Overloaded":
		return refused(verdict.QueueFull, "the engine's queue is full", ErrOverloaded)
	case "BadRequest":
		return refused(verdict.BadRequest, "the engine does not understand the request", ErrNotUnderstood)
	}
	return verdict.UnknownOutcome(verdict.BackendFailed, "the engine failed", errors.New(response.Status))
}

func refused(reason verdict.Reason, message string, cause error) *verdict.Error {
	e := verdict.Refuse(reason, message)
	e.Cause = cause
	return e
}

// refusalCode returns the code of an answer that says that nothing ran, or "".
func refusalCode(status int, data []byte) string {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
	default:
		return ""
	}
	var w wireRefusal
	if err := json.Unmarshal(data, &w); err != nil {
		return ""
	}
	return w.Error
}
