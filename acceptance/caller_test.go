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

// client keeps enough idle connections for many concurrent callers.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// response is the outcome of one request as its caller sees it.
type response struct {
	status  int
	text    string
	verdict string
	reason  string
	// complete reports whether the response arrived up to its regular end.
	complete bool
	latency  time.Duration
	err      error
}

// sendChat sends one chat request to a node and reads the whole response.
func sendChat(node, id, model, prompt string, streaming bool, timeout time.Duration) response {
	start := time.Now()
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": streaming,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	r, err := http.NewRequest(http.MethodPost, "http://"+node+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Request-Timeout", fmt.Sprintf("%g", timeout.Seconds()))
	a := doChat(r, streaming)
	a.latency = time.Since(start)
	return a
}

// doChat sends a prepared chat request and parses the response.
func doChat(r *http.Request, streaming bool) response {
	res, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := response{status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(res.Body)
		a.readRefusal(raw)
		return a
	}
	if streaming {
		a.readStream(res.Body)
		return a
	}
	a.readJSON(res.Body)
	return a
}

// readRefusal parses the body of a response that is not a success.
func (a *response) readRefusal(raw []byte) {
	var f struct{ Verdict, Reason, Message string }
	if err := json.Unmarshal(raw, &f); err != nil {
		a.err = fmt.Errorf("refusal %q: %w", raw, err)
		return
	}
	a.verdict, a.reason, a.text = f.Verdict, f.Reason, f.Message
}

// readStream parses server-sent events up to [DONE].
func (a *response) readStream(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
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

// readJSON parses the body of a response without streaming.
func (a *response) readJSON(r io.Reader) {
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
		a.complete = true
	}
}

// sendBooking sends one booking command, with an idempotency key unless key is empty.
func sendBooking(node, id, key, body string, timeout time.Duration) response {
	start := time.Now()
	r, err := http.NewRequest(http.MethodPost, "http://"+node+"/services/booking/bookings", strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	r.Header.Set("Request-Timeout", fmt.Sprintf("%g", timeout.Seconds()))
	res, err := client.Do(r)
	if err != nil {
		return response{err: err, latency: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	a := response{status: res.StatusCode, err: err, text: string(raw)}
	if res.StatusCode/100 != 2 {
		a.readRefusal(raw)
	} else {
		a.complete = true
	}
	a.latency = time.Since(start)
	return a
}
