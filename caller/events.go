package caller

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/verdict"
)

// events encodes an answer as OpenAI-compatible server-sent events. Its buffer is
// used again, so that a token costs no allocation.
type events struct {
	request domain.RequestID
	// prefix is the part of a chunk that is the same for each token.
	prefix []byte
	buffer []byte
	begun  bool
}

func newEvents(id domain.RequestID, model string, created time.Time) *events {
	p := append([]byte(nil), `data: {"id":`...)
	p = appendString(p, "chatcmpl-"+string(id))
	p = append(p, `,"object":"chat.completion.chunk","created":`...)
	p = strconv.AppendInt(p, created.Unix(), 10)
	p = append(p, `,"model":`...)
	p = appendString(p, model)
	p = append(p, `,"choices":[`...)
	return &events{request: id, prefix: p}
}

// token encodes a part; the result is valid until the next call.
func (e *events) token(t engine.Token) []byte {
	b := e.begin()
	b = append(b, `{"index":0,"delta":{`...)
	if !e.begun {
		b = append(b, `"role":"assistant",`...)
		e.begun = true
	}
	b = append(b, `"content":`...)
	b = appendString(b, t.Text)
	b = append(b, `},"finish_reason":null}]}`...)
	return e.keep(append(b, '\n', '\n'))
}

// end encodes the finish reason, the usage and the end mark.
func (e *events) end(last engine.Token, given domain.Tokens) []byte {
	b := e.begin()
	b = append(b, `{"index":0,"delta":{},"finish_reason":`...)
	b = appendString(b, last.FinishReason)
	b = append(b, "}]}\n\n"...)
	b = append(b, e.prefix...)
	b = append(b, `],"usage":`...)
	usage, err := json.Marshal(newUsage(last, given))
	if err != nil {
		usage = []byte("null")
	}
	b = append(b, usage...)
	return e.keep(append(b, "}\n\ndata: [DONE]\n\n"...))
}

// failure encodes an error that ends the stream.
func (e *events) failure(v *verdict.Error) []byte {
	b := e.buffer[:0]
	b = append(b, "event: error\ndata: "...)
	b = append(b, refusalJSON(v, e.request)...)
	return e.keep(append(b, '\n', '\n'))
}

// begin returns the buffer with the prefix.
func (e *events) begin() []byte {
	b := e.buffer[:0]
	return append(b, e.prefix...)
}

// keep holds the buffer for the next call.
func (e *events) keep(b []byte) []byte {
	e.buffer = b
	return b
}

const hexDigits = "0123456789abcdef"

// appendString appends s as a JSON string. Invalid UTF-8 becomes U+FFFD.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	start := 0
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			if c >= ' ' && c != '"' && c != '\\' {
				i++
				continue
			}
			b = append(b, s[start:i]...)
			b = appendEscaped(b, c)
			i++
			start = i
			continue
		}
		r, size := utf8.DecodeRuneInString(s[i:])
		if r == utf8.RuneError && size == 1 {
			b = append(b, s[start:i]...)
			b = append(b, `\ufffd`...)
			i++
			start = i
			continue
		}
		i += size
	}
	b = append(b, s[start:]...)
	return append(b, '"')
}

func appendEscaped(b []byte, c byte) []byte {
	switch c {
	case '"', '\\':
		return append(b, '\\', c)
	case '\n':
		return append(b, '\\', 'n')
	case '\t':
		return append(b, '\\', 't')
	default:
		return append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
	}
}
