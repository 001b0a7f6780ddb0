package standin

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// prompt is what a stand-in engine makes of a caller's body.
type prompt struct {
	model string
	// lastUserMessage is the last user message.
	lastUserMessage string
	// allMessages is the text of all messages, for the prefix cache.
	allMessages string
	// wordCount counts the words of all messages.
	wordCount int
	// maxTokens is the most tokens to generate; zero means no limit.
	maxTokens int
}

type wireChat struct {
	Model               string        `json:"model"`
	Messages            []wireMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type wireMessage struct {
	Role    string      `json:"role"`
	Content wireContent `json:"content"`
}

// wireContent is a text, or a list of parts with texts.
type wireContent string

// UnmarshalJSON takes both forms of content.
func (c *wireContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = wireContent(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.WithStack(err)
	}
	for _, p := range parts {
		text += p.Text
	}
	*c = wireContent(text)
	return nil
}

func decodePrompt(data []byte) (prompt, error) {
	var w wireChat
	if err := json.Unmarshal(data, &w); err != nil {
		return prompt{}, errors.WithStack(err)
	}
	if w.Model == "" || len(w.Messages) == 0 || w.MaxTokens < 0 || w.MaxCompletionTokens < 0 {
		return prompt{}, errors.New("no model or messages, or a negative limit")
	}
	p := prompt{model: w.Model, maxTokens: valueOr(w.MaxCompletionTokens, w.MaxTokens)}
	for _, m := range w.Messages {
		p.allMessages += m.Role + "\x00" + string(m.Content) + "\x00"
		p.wordCount += len(strings.Fields(string(m.Content)))
		if m.Role == "user" {
			p.lastUserMessage = string(m.Content)
		}
	}
	return p, nil
}

// completion returns the tokens of the answer and why it ends. It depends on the last
// user message and the limit alone, so that a resumed stream goes on with the
// same tokens.
func (p prompt) completion() (tokens []string, finish string) {
	tokens = strings.SplitAfter("You asked: "+p.lastUserMessage, " ")
	if p.maxTokens > 0 && p.maxTokens < len(tokens) {
		return tokens[:p.maxTokens], "length"
	}
	return tokens, "stop"
}
