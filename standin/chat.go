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
	// maximumWaiting bounds the queue of one replica.
	maximumWaiting = 256
	// commentInterval is how often a stream without tokens sends a comment.
	commentInterval = time.Second
)

// chat is one attempt at an answer.
type chat struct {
	request, attempt string
	model, adapter   string
	priority         int
	resume           int
	within           time.Duration
	prompt           prompt
}

func decodeChat(h http.Header, data []byte) (chat, error) {
	p, err := decodePrompt(data)
	if err != nil {
		return chat{}, err
	}
	c := chat{request: h.Get("X-Request-Id"), attempt: h.Get("X-Attempt-Id"), prompt: p}
	c.model, c.adapter, _ = strings.Cut(p.model, ":")
	c.model = valueOr(h.Get("X-Model"), c.model)
	c.adapter = valueOr(h.Get("X-Adapter"), c.adapter)
	if c.priority, err = number(h.Get("X-Priority")); err != nil {
		return chat{}, err
	}
	if c.resume, err = number(h.Get("X-Resume-Token")); err != nil || c.resume < 0 {
		return chat{}, errors.New("the resume token is not a count")
	}
	if v := h.Get("Request-Timeout"); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || !(seconds > 0 && seconds < 1e6) {
			return chat{}, errors.New("the timeout is not a number of seconds")
		}
		c.within = time.Duration(seconds * float64(time.Second))
	}
	return c, nil
}

func number(v string) (int, error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	return n, errors.WithStack(err)
}

func (e *modelEngine) serveChat(w http.ResponseWriter, r *http.Request) {
	l, ctx, done := e.current(r)
	defer done()
	data, err := readBody(r)
	if err != nil {
		breakOff()
	}
	c, err := decodeChat(r.Header, data)
	if err != nil {
		fail(w, http.StatusBadRequest, "BadRequest")
		return
	}
	if c.within > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.within)
		defer cancel()
	}
	place, status, code := e.enter(l, c)
	if code != "" {
		fail(w, status, code)
		return
	}
	defer e.leave(l, place)
	out := newEventStream(w, c.attempt)
	if !out.await(ctx, place.ticket.admitted) || !e.run(ctx, l, c, out) {
		breakOff()
	}
}

// place is a request's place on a replica.
type place struct {
	replica *replica
	adapter *adapter
	ticket  *ticket
}

// enter takes a place on a replica; a code tells why nothing will run.
func (e *modelEngine) enter(l *life, c chat) (p place, status int, code string) {
	alive := e.locked(l, func() {
		r, ok := l.replicas[c.model]
		if !ok || r.loading {
			status, code = http.StatusNotFound, "ModelNotLoaded"
			return
		}
		a, ok := r.adapters[c.adapter]
		if c.adapter != "" && (!ok || a.loading) {
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
		p = place{replica: r, adapter: a, ticket: r.batch.join(c.priority)}
		r.observed.enter()
		e.noteReport()
	})
	if !alive {
		breakOff()
	}
	return p, status, code
}

func (e *modelEngine) leave(l *life, p place) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.replica.batch.leave(p.ticket)
	if p.adapter != nil {
		p.adapter.running--
	}
	p.replica.observed.leave()
	if e.life == l {
		e.noteReport()
	}
}

// run generates the answer; false means that it broke off.
func (e *modelEngine) run(ctx context.Context, l *life, c chat, out *eventStream) bool {
	e.observer.ran(c.request)
	if poison := e.currentFaults().poison; poison != "" && strings.Contains(c.prompt.text, poison) {
		e.crash()
		return false
	}
	if !out.work(ctx, time.Duration(e.prefill(l, c))*e.tokenTime()/prefillShare) {
		return false
	}
	tokens, finish := c.prompt.answer()
	for i := c.resume; i < len(tokens); i++ {
		if !out.work(ctx, e.tokenTime()) || !e.pause.wait(ctx) {
			return false
		}
		if !out.token(wireToken{Index: i, Text: tokens[i]}) {
			return false
		}
	}
	return out.finish(wireToken{
		Index:            max(c.resume, len(tokens)),
		Finish:           finish,
		PromptTokens:     c.prompt.tokens,
		CompletionTokens: len(tokens),
	})
}

func (e *modelEngine) tokenTime() time.Duration {
	pace := e.currentFaults().pace
	if pace <= 0 {
		pace = 1
	}
	return time.Duration(float64(e.options.TokenInterval) / pace)
}
