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

// eventEncoder encodes a response as OpenAI-compatible server-sent events. It reuses its
// buffer, so that a token costs no allocation.
type eventEncoder struct {
	requestID domain.RequestID
	// prefix is the beginning of every chunk.
	prefix   []byte
	buffer   []byte
	roleSent bool
}

func newEventEncoder(id domain.RequestID, model string, created time.Time) *eventEncoder {
	p := append([]byte(nil), `data: {"id":`...)
	p = appendString(p, "chatcmpl-"+string(id))
	p = append(p, `,"object":"chat.completion.chunk","created":`...)
	p = strconv.AppendInt(p, created.Unix(), 10)
	p = append(p, `,"model":`...)
	p = appendString(p, model)
	p = append(p, `,"choices":[`...)
	return &eventEncoder{requestID: id, prefix: p}
}

// encodeToken encodes a token. The result is valid until the next call.
func (e *eventEncoder) encodeToken(t engine.Token) []byte {
	b := e.startChunk()
	b = append(b, `{"index":0,"delta":{`...)
	if !e.roleSent {
		b = append(b, `"role":"assistant",`...)
		e.roleSent = true
	}
	b = append(b, `"content":`...)
	b = appendString(b, t.Text)
	b = append(b, `},"finish_reason":null}]}`...)
	return e.save(append(b, '\n', '\n'))
}

// encodeEnd encodes the finish reason, the usage and the [DONE] event.
func (e *eventEncoder) encodeEnd(lastToken engine.Token, delivered domain.Tokens) []byte {
	b := e.startChunk()
	b = append(b, `{"index":0,"delta":{},"finish_reason":`...)
	b = appendString(b, lastToken.FinishReason)
	b = append(b, "}]}\n\n"...)
	b = append(b, e.prefix...)
	b = append(b, `],"usage":`...)
	usage, err := json.Marshal(newUsage(lastToken, delivered))
	if err != nil {
		usage = []byte("null")
	}
	b = append(b, usage...)
	return e.save(append(b, "}\n\ndata: [DONE]\n\n"...))
}

// encodeFailure encodes the error event that ends a stream.
func (e *eventEncoder) encodeFailure(failure *verdict.Error) []byte {
	b := e.buffer[:0]
	b = append(b, "event: error\ndata: "...)
	b = append(b, refusalJSON(failure, e.requestID)...)
	return e.save(append(b, '\n', '\n'))
}

// startChunk returns the empty buffer with the prefix appended.
func (e *eventEncoder) startChunk() []byte {
	b := e.buffer[:0]
	return append(b, e.prefix...)
}

// save stores the buffer for the next call.
func (e *eventEncoder) save(b []byte) []byte {
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
