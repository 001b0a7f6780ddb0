package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/parsleylug/parsleylug/pause"
)

type wireToken struct {
	Attempt          string
	Index            int
	Text             string
	Finish           string `json:",omitempty"`
	PromptTokens     int    `json:",omitempty"`
	CompletionTokens int    `json:",omitempty"`
}

// eventStream writes one attempt's answer.
type eventStream struct {
	out     http.ResponseWriter
	flush   *http.ResponseController
	attempt string
}

func newEventStream(w http.ResponseWriter, attempt string) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	s := &eventStream{out: w, flush: http.NewResponseController(w), attempt: attempt}
	w.WriteHeader(http.StatusOK)
	_ = s.flush.Flush()
	return s
}

// await waits until the request is admitted and sends comments meanwhile.
func (s *eventStream) await(ctx context.Context, admitted <-chan struct{}) bool {
	t := time.NewTicker(commentInterval)
	defer t.Stop()
	for {
		select {
		case <-admitted:
			return ctx.Err() == nil
		case <-ctx.Done():
			return false
		case <-t.C:
			if !s.comment() {
				return false
			}
		}
	}
}

// work takes d and sends comments meanwhile, so that a slow engine is not taken
// for a silent connection.
func (s *eventStream) work(ctx context.Context, d time.Duration) bool {
	for ; d > commentInterval; d -= commentInterval {
		if !pause.For(ctx, commentInterval, nil) || !s.comment() {
			return false
		}
	}
	return pause.For(ctx, d, nil)
}

func (s *eventStream) comment() bool { return s.write(": waiting\n\n") }

func (s *eventStream) token(t wireToken) bool {
	t.Attempt = s.attempt
	data, err := json.Marshal(t)
	return err == nil && s.write("data: "+string(data)+"\n\n")
}

func (s *eventStream) finish(t wireToken) bool {
	return s.token(t) && s.write("data: [DONE]\n\n")
}

func (s *eventStream) write(text string) bool {
	if _, err := s.out.Write([]byte(text)); err != nil {
		return false
	}
	return s.flush.Flush() == nil
}
