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

// maximumCollectedText bounds the text of a response that is collected before it is sent.
const maximumCollectedText = 16 * domain.Mebibyte

// Bounds on how long a write to a caller that does not read may block.
const (
	writeStallTimeout = 10 * time.Second
	deadlineGrace     = 200 * time.Millisecond
)

// chatResponse is a response whose first token has been received.
type chatResponse struct {
	session    *session
	firstToken engine.Token
	createdAt  time.Time
}

// chat is the endpoint of chat completions. It returns once there is a first token, so
// that an earlier failure still gets an HTTP status of its own.
func (a *API) chat(ctx context.Context, request any) (any, error) {
	call, _ := request.(*chatCall)
	started := time.Now()
	releaseLimits, err := a.acquireLimits(call)
	if err != nil {
		return nil, err
	}
	s := a.newSession(ctx, call)
	s.releaseLimits = releaseLimits
	first, err := s.nextToken()
	if err != nil {
		s.close()
		return nil, err
	}
	a.Scope.Timer("first_token").Record(time.Since(started))
	return &chatResponse{session: s, firstToken: first, createdAt: started}, nil
}

func encodeChat(_ context.Context, w http.ResponseWriter, response any) error {
	chat, _ := response.(*chatResponse)
	defer chat.session.close()
	if chat.session.call.stream {
		chat.writeStream(w)
		return nil
	}
	return chat.writeCollected(w)
}

// writeStream sends the response as server-sent events. A failure after the first token
// is sent as an event named error, without a [DONE] event after it.
func (c *chatResponse) writeStream(w http.ResponseWriter) {
	s := c.session
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	encoder := newEventEncoder(s.call.id, s.call.name, c.createdAt)
	control := http.NewResponseController(w)
	token := c.firstToken
	for {
		err := c.writeAndFlush(w, control, encoder.encodeToken(token))
		if err != nil {
			return
		}
		if token.FinishReason != "" {
			s.recordCompletion()
			_ = c.writeAndFlush(w, control, encoder.encodeEnd(token, s.sequencer.NextIndex()))
			return
		}
		if token, err = s.nextToken(); err != nil {
			s.trace.recordFailure(verdict.Of(err))
			_ = c.writeAndFlush(w, control, encoder.encodeFailure(verdict.Of(err)))
			return
		}
	}
}

// writeAndFlush sends bytes to the caller at once. A caller that does not read for
// writeStallTimeout loses its connection, so that it does not occupy an engine.
func (c *chatResponse) writeAndFlush(w http.ResponseWriter, control *http.ResponseController, b []byte) error {
	now := time.Now()
	writeDeadline := c.session.call.deadline.At.Add(deadlineGrace)
	if stallDeadline := now.Add(writeStallTimeout); stallDeadline.Before(writeDeadline) {
		writeDeadline = stallDeadline
	}
	_ = control.SetWriteDeadline(writeDeadline)
	if _, err := w.Write(b); err != nil {
		return err
	}
	return control.Flush()
}

// completionWire is a response that is not streamed.
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

func newUsage(lastToken engine.Token, delivered domain.Tokens) usageWire {
	completion := max(lastToken.CompletionTokens, delivered)
	return usageWire{
		PromptTokens: lastToken.PromptTokens, CompletionTokens: completion, TotalTokens: lastToken.PromptTokens + completion,
	}
}

// writeCollected sends the response as one JSON object. It returns a failure before it
// writes anything.
func (c *chatResponse) writeCollected(w http.ResponseWriter) error {
	s := c.session
	var text strings.Builder
	token := c.firstToken
	for {
		text.WriteString(token.Text)
		if token.FinishReason != "" {
			s.recordCompletion()
			break
		}
		if text.Len() > int(maximumCollectedText) {
			return s.newFailure(verdict.StreamBroken, "the answer is too large to be collected; ask for a stream", nil)
		}
		var err error
		if token, err = s.nextToken(); err != nil {
			return err
		}
	}
	body, err := json.Marshal(completionWire{
		ID: "chatcmpl-" + string(s.call.id), Object: "chat.completion", Created: c.createdAt.Unix(), Model: s.call.name,
		Choices: []choiceWire{{Message: messageWire{Role: "assistant", Content: text.String()}, FinishReason: token.FinishReason}},
		Usage:   newUsage(token, s.sequencer.NextIndex()),
	})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	body = append(body, '\n')
	limitResponse(w, len(body))
	_, err = w.Write(body)
	if err != nil {
		s.api.Logger.Debug().Str("Event", "AnswerNotRead").Err(err).Str("Request", string(s.call.id)).Msg("caller disconnected before the response was written")
	}
	return nil
}
