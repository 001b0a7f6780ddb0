package standin

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// prompt is a decoded chat request body.
type prompt struct {
	model           string
	lastUserMessage string
	// allMessages is the text of all messages with their roles, for the prefix cache.
	allMessages string
	// wordCount is the number of words in all messages; each counts as a token.
	wordCount int
	// maxTokens is the maximum number of tokens to generate; zero means no limit.
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

// wireContent is the content of a message: a string, or a list of parts with texts.
type wireContent string

// UnmarshalJSON accepts both forms of content.
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
		return prompt{}, errors.New("the model or messages are missing, or a token limit is negative")
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

// completion returns the generated tokens and the finish reason. Both depend only on the
// last user message and maxTokens, so that a resumed stream continues with the same
// tokens.
func (p prompt) completion() (tokens []string, finish string) {
	tokens = strings.SplitAfter("You asked: "+p.lastUserMessage, " ")
	if p.maxTokens > 0 && p.maxTokens < len(tokens) {
		return tokens[:p.maxTokens], "length"
	}
	return tokens, "stop"
}
