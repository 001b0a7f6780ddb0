package acceptance

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// client opens connections as many callers would.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// answer is what one caller got.
type answer struct {
	status  int
	text    string
	verdict string
	reason  string
	// whole is true where the answer ended as it should.
	whole bool
	took  time.Duration
	err   error
}

// ask sends one chat request to a node and reads the answer to its end.
func ask(node, id, model, text string, stream bool, timeout time.Duration) answer {
	start := time.Now()
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	r, err := http.NewRequest(http.MethodPost, "http://"+node+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Request-Timeout", fmt.Sprintf("%g", timeout.Seconds()))
	a := read(r, stream)
	a.took = time.Since(start)
	return a
}

func read(r *http.Request, stream bool) answer {
	res, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := answer{status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(res.Body)
		a.refusal(raw)
		return a
	}
	if stream {
		a.readStream(res.Body)
		return a
	}
	a.readWhole(res.Body)
	return a
}

func (a *answer) refusal(raw []byte) {
	var f struct{ Verdict, Reason, Message string }
	if err := json.Unmarshal(raw, &f); err != nil {
		a.err = fmt.Errorf("refusal %q: %w", raw, err)
		return
	}
	a.verdict, a.reason, a.text = f.Verdict, f.Reason, f.Message
}

func (a *answer) readStream(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			return
		}
		var e struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Verdict string
			Reason  string
			Error   *struct{ Verdict, Reason string }
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			a.err = fmt.Errorf("event %q: %w", data, err)
			return
		}
		if e.Error != nil {
			a.verdict, a.reason = e.Error.Verdict, e.Error.Reason
		}
		if e.Verdict != "" {
			a.verdict, a.reason = e.Verdict, e.Reason
		}
		for _, c := range e.Choices {
			a.text += c.Delta.Content
		}
	}
	a.err = s.Err()
}

func (a *answer) readWhole(r io.Reader) {
	var e struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.NewDecoder(r).Decode(&e); err != nil {
		a.err = err
		return
	}
	if len(e.Choices) == 1 {
		a.text = e.Choices[0].Message.Content
		a.whole = true
	}
}

// book sends one booking with a key.
func book(node, id, key, body string, timeout time.Duration) answer {
	start := time.Now()
	r, err := http.NewRequest(http.MethodPost, "http://"+node+"/services/booking/bookings", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	r.Header.Set("Request-Timeout", fmt.Sprintf("%g", timeout.Seconds()))
	res, err := client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, err: err, text: string(raw)}
	if res.StatusCode/100 != 2 {
		a.refusal(raw)
	} else {
		a.whole = true
	}
	a.took = time.Since(start)
	return a
}
