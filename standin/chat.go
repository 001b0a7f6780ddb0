package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maximumWaiting is the maximum length of the queue of a replica.
	maximumWaiting = 256
	// commentInterval is the interval of comments on a stream that sends no token.
	commentInterval = time.Second
)

// chatRequest is one attempt of a chat completion request.
type chatRequest struct {
	requestID, attemptID string
	model, adapter       string
	priority             int
	resumeIndex          int
	timeout              time.Duration
	prompt               prompt
}

func decodeChat(h http.Header, data []byte) (chatRequest, error) {
	p, err := decodePrompt(data)
	if err != nil {
		return chatRequest{}, err
	}
	c := chatRequest{requestID: h.Get("X-Request-Id"), attemptID: h.Get("X-Attempt-Id"), prompt: p}
	c.model, c.adapter, _ = strings.Cut(p.model, ":")
	c.model = valueOr(h.Get("X-Model"), c.model)
	c.adapter = valueOr(h.Get("X-Adapter"), c.adapter)
	if c.priority, err = parseOptionalInt(h.Get("X-Priority")); err != nil {
		return chatRequest{}, err
	}
	if c.resumeIndex, err = parseOptionalInt(h.Get("X-Resume-Token")); err != nil || c.resumeIndex < 0 {
		return chatRequest{}, errors.New("X-Resume-Token is not a non-negative integer")
	}
	if v := h.Get("Request-Timeout"); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || !(seconds > 0 && seconds < 1e6) {
			return chatRequest{}, errors.New("Request-Timeout is not a valid number of seconds")
		}
		c.timeout = time.Duration(seconds * float64(time.Second))
	}
	return c, nil
}

func parseOptionalInt(v string) (int, error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	return n, errors.WithStack(err)
}

func (e *modelEngine) serveChat(w http.ResponseWriter, r *http.Request) {
	inc, ctx, done := e.admitRequest(r)
	defer done()
	data, err := readBody(r)
	if err != nil {
		abortConnection()
	}
	request, err := decodeChat(r.Header, data)
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	if request.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.timeout)
		defer cancel()
	}
	queued, status, code := e.enqueueRequest(inc, request)
	if code != "" {
		writeError(w, status, code)
		return
	}
	defer e.releaseRequest(inc, queued)
	stream := newEventStream(w, request.attemptID)
	if !stream.waitForAdmission(ctx, queued.entry.admitted) || !e.generate(ctx, inc, request, stream) {
		abortConnection()
	}
}

// queuedRequest is a request that is queued or running on a replica.
type queuedRequest struct {
	replica *replica
	adapter *adapter
	entry   *batchEntry
}

// enqueueRequest queues a request on the replica of its model. A non-empty code is the
// reason for a rejection.
func (e *modelEngine) enqueueRequest(inc *incarnation, request chatRequest) (queued queuedRequest, status int, code string) {
	current := e.applyIfCurrent(inc, func() {
		r, ok := inc.replicas[request.model]
		if !ok || r.loading {
			status, code = http.StatusNotFound, "ModelNotLoaded"
			return
		}
		a, ok := r.adapters[request.adapter]
		if request.adapter != "" && (!ok || a.loading) {
			status, code = http.StatusNotFound, "AdapterNotLoaded"
			return
		}
		if len(r.batch.waiting) >= maximumWaiting {
			status, code = http.StatusServiceUnavailable, "Overloaded"
			return
		}
		if a != nil {
			a.running++
		}
		queued = queuedRequest{replica: r, adapter: a, entry: r.batch.enqueue(request.priority)}
		r.observed.recordRequestStart()
		e.recordCounts()
	})
	if !current {
		abortConnection()
	}
	return queued, status, code
}

func (e *modelEngine) releaseRequest(inc *incarnation, queued queuedRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	queued.replica.batch.release(queued.entry)
	if queued.adapter != nil {
		queued.adapter.running--
	}
	queued.replica.observed.recordRequestEnd()
	if e.incarnation == inc {
		e.recordCounts()
	}
}

// generate streams the response; it reports false if the response is incomplete.
func (e *modelEngine) generate(ctx context.Context, inc *incarnation, request chatRequest, stream *eventStream) bool {
	e.observer.recordRequestRun(request.requestID)
	if poisonPrompt := e.currentFaults().poisonPrompt; poisonPrompt != "" && strings.Contains(request.prompt.lastUserMessage, poisonPrompt) {
		e.crash()
		return false
	}
	if !stream.simulateWork(ctx, time.Duration(e.prefill(inc, request))*e.tokenInterval()/prefillBlocksPerToken) {
		return false
	}
	tokens, finish := request.prompt.completion()
	for i := request.resumeIndex; i < len(tokens); i++ {
		if !stream.simulateWork(ctx, e.tokenInterval()) || !e.pause.wait(ctx) {
			return false
		}
		if !stream.sendToken(wireToken{Index: i, Text: tokens[i]}) {
			return false
		}
	}
	return stream.sendLastToken(wireToken{
		Index:            max(request.resumeIndex, len(tokens)),
		Finish:           finish,
		PromptTokens:     request.prompt.wordCount,
		CompletionTokens: len(tokens),
	})
}

func (e *modelEngine) tokenInterval() time.Duration {
	pace := e.currentFaults().tokenRateFactor
	if pace <= 0 {
		pace = 1
	}
	return time.Duration(float64(e.options.TokenInterval) / pace)
}
