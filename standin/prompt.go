package standin

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// prompt is what a stand-in engine makes of a caller's body.
type prompt struct {
	model string
	// text is the last user message.
	text string
	// all is the text of all messages, for the prefix cache.
	all string
	// tokens counts the words of all messages.
	tokens int
	// limit is the most tokens to generate; zero means no limit.
	limit int
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
	p := prompt{model: w.Model, limit: valueOr(w.MaxCompletionTokens, w.MaxTokens)}
	for _, m := range w.Messages {
		p.all += m.Role + "\x00" + string(m.Content) + "\x00"
		p.tokens += len(strings.Fields(string(m.Content)))
		if m.Role == "user" {
			p.text = string(m.Content)
		}
	}
	return p, nil
}

// answer returns the tokens of the answer and why it ends. It depends on the last
// user message and the limit alone, so that a resumed stream goes on with the
// same tokens.
func (p prompt) answer() (tokens []string, finish string) {
	tokens = strings.SplitAfter("You asked: "+p.text, " ")
	if p.limit > 0 && p.limit < len(tokens) {
		return tokens[:p.limit], "length"
	}
	return tokens, "stop"
}
