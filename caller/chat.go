package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/verdict"
)

// maximumAnswer bounds an answer that is collected whole.
const maximumAnswer = 16 * domain.Mebibyte

// Bounds on how long a caller may leave an answer unread.
const (
	callerStall   = 10 * time.Second
	deadlineGrace = 200 * time.Millisecond
)

// chatAnswer is an answer whose first token is there.
type chatAnswer struct {
	session *session
	first   engine.Token
	created time.Time
}

// chat is the endpoint: it returns once there is a first token, so that a
// refusal still has an HTTP status.
func (a *API) chat(ctx context.Context, request any) (any, error) {
	call, _ := request.(*chatCall)
	started := time.Now()
	leave, err := a.enter(call)
	if err != nil {
		return nil, err
	}
	s := a.newSession(ctx, call)
	s.leave = leave
	first, err := s.next()
	if err != nil {
		s.close()
		return nil, err
	}
	a.Scope.Timer("first_token").Record(time.Since(started))
	return &chatAnswer{session: s, first: first, created: started}, nil
}

func encodeChat(_ context.Context, w http.ResponseWriter, response any) error {
	answer, _ := response.(*chatAnswer)
	defer answer.session.close()
	if answer.session.call.stream {
		answer.writeStream(w)
		return nil
	}
	return answer.writeWhole(w)
}

// writeStream relays the answer as server-sent events. A failure after the first
// token is an event named error, and no [DONE] follows.
func (c *chatAnswer) writeStream(w http.ResponseWriter) {
	s := c.session
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	events := newEvents(s.call.id, s.call.name, c.created)
	control := http.NewResponseController(w)
	token := c.first
	for {
		err := c.write(w, control, events.token(token))
		if err != nil {
			return
		}
		if token.FinishReason != "" {
			s.completed()
			_ = c.write(w, control, events.end(token, s.relay.NextIndex()))
			return
		}
		if token, err = s.next(); err != nil {
			s.trace.failed(verdict.Of(err))
			_ = c.write(w, control, events.failure(verdict.Of(err)))
			return
		}
	}
}

// write gives the caller some bytes at once. A caller that does not read for
// callerStall loses its connection, so that it does not hold an engine.
func (c *chatAnswer) write(w http.ResponseWriter, control *http.ResponseController, b []byte) error {
	now := time.Now()
	last := c.session.call.deadline.At.Add(deadlineGrace)
	if stall := now.Add(callerStall); stall.Before(last) {
		last = stall
	}
	_ = control.SetWriteDeadline(last)
	if _, err := w.Write(b); err != nil {
		return err
	}
	return control.Flush()
}

// completionWire is an answer that is not streamed.
type completionWire struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceWire `json:"choices"`
	Usage   usageWire    `json:"usage"`
}

type choiceWire struct {
	Index        int         `json:"index"`
	Message      messageWire `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usageWire struct {
	PromptTokens     domain.Tokens `json:"prompt_tokens"`
	CompletionTokens domain.Tokens `json:"completion_tokens"`
	TotalTokens      domain.Tokens `json:"total_tokens"`
}

func newUsage(last engine.Token, given domain.Tokens) usageWire {
	completion := max(last.CompletionTokens, given)
	return usageWire{
		PromptTokens: last.PromptTokens, CompletionTokens: completion, TotalTokens: last.PromptTokens + completion,
	}
}

// writeWhole collects the answer; a failure is returned before anything is
// written.
func (c *chatAnswer) writeWhole(w http.ResponseWriter) error {
	s := c.session
	var text strings.Builder
	token := c.first
	for {
		text.WriteString(token.Text)
		if token.FinishReason != "" {
			s.completed()
			break
		}
		if text.Len() > int(maximumAnswer) {
			return s.give(verdict.StreamBroken, "the answer is too large to be collected; ask for a stream", nil)
		}
		var err error
		if token, err = s.next(); err != nil {
			return err
		}
	}
	body, err := json.Marshal(completionWire{
		ID: "chatcmpl-" + string(s.call.id), Object: "chat.completion", Created: c.created.Unix(), Model: s.call.name,
		Choices: []choiceWire{{Message: messageWire{Role: "assistant", Content: text.String()}, FinishReason: token.FinishReason}},
		Usage:   newUsage(token, s.relay.NextIndex()),
	})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, err = w.Write(append(body, '\n'))
	if err != nil {
		s.api.Logger.Debug().Str("Event", "AnswerNotRead").Err(err).Str("Request", string(s.call.id)).Msg("caller left before its answer")
	}
	return nil
}
