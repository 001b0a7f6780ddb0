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

// eventStream writes the response of one attempt as server-sent events.
type eventStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	attemptID  string
}

func newEventStream(w http.ResponseWriter, attempt string) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	s := &eventStream{writer: w, controller: http.NewResponseController(w), attemptID: attempt}
	w.WriteHeader(http.StatusOK)
	_ = s.controller.Flush()
	return s
}

// waitForAdmission waits until the request is admitted and sends comments as keep-alive.
// It reports false if ctx ended or the connection failed first.
func (s *eventStream) waitForAdmission(ctx context.Context, admitted <-chan struct{}) bool {
	t := time.NewTicker(commentInterval)
	defer t.Stop()
	for {
		select {
		case <-admitted:
			return ctx.Err() == nil
		case <-ctx.Done():
			return false
		case <-t.C:
			if !s.sendComment() {
				return false
			}
		}
	}
}

// simulateWork sleeps for d and sends comments as keep-alive, so that callers do not take
// a slow engine for an unresponsive connection.
func (s *eventStream) simulateWork(ctx context.Context, d time.Duration) bool {
	for ; d > commentInterval; d -= commentInterval {
		if !pause.For(ctx, commentInterval, nil) || !s.sendComment() {
			return false
		}
	}
	return pause.For(ctx, d, nil)
}

func (s *eventStream) sendComment() bool { return s.write(": waiting\n\n") }

func (s *eventStream) sendToken(t wireToken) bool {
	t.Attempt = s.attemptID
	data, err := json.Marshal(t)
	return err == nil && s.write("data: "+string(data)+"\n\n")
}

func (s *eventStream) sendLastToken(t wireToken) bool {
	return s.sendToken(t) && s.write("data: [DONE]\n\n")
}

func (s *eventStream) write(text string) bool {
	if _, err := s.writer.Write([]byte(text)); err != nil {
		return false
	}
	return s.controller.Flush() == nil
}
