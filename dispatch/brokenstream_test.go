package dispatch

import (
	"context"
	"errors"
	"io"
	"testing"
)

// resumedRequest returns a request whose caller has received the events up to lastEvent.
func resumedRequest(lastEvent EventID) func() *Request {
	return func() *Request {
		r := streamRequest()
		r.LastEvent = lastEvent
		return r
	}
}

// Guards against ORDER: a stream broke off, the server that resumed it sent a stream without
// the missing events, and the caller's stream ended as complete or went on with a gap.
func TestResumedStreamWithoutTheMissingEventsIsAborted(t *testing.T) {
	brokenAfterTwo := streamResponse(errors.New("reset"), 1, 2)
	for name, c := range map[string]struct {
		resumed func(context.Context) (*Response, error)
		want    string
	}{
		"no event":                  {streamResponse(io.EOF), "12"},
		"end before the last event": {streamResponse(io.EOF, 1), "12"},
		"gap":                       {streamResponse(io.EOF, 4, 5), "12"},
		"gap after all events":      {streamResponse(io.EOF, 1, 2, 4, 5), "12"},
		"gap later":                 {streamResponse(io.EOF, 3, 5), "123"},
	} {
		t.Run(name, func(t *testing.T) {
			o, caller, _ := serve(t, streamRequest, brokenAfterTwo, c.resumed)
			if o != Broken || !caller.aborted || caller.complete {
				t.Errorf("got %v, aborted %v, complete %v, want Broken and an aborted stream", o, caller.aborted, caller.complete)
			}
			if got, want := string(caller.body), c.want; got != want {
				t.Errorf("events: got %q, want %q", got, want)
			}
		})
	}
}

// Guards against ORDER: a server answered a caller that resumes a stream with one that ends
// before the caller's last event, and the caller's stream ended as complete.
func TestStreamThatEndsBeforeTheCallersLastEventIsNotServed(t *testing.T) {
	o, c, _ := serve(t, resumedRequest(3), streamResponse(io.EOF, 1, 2))
	if got, want := o, Failed; got != want || c.complete {
		t.Errorf("got %v, complete %v, want %v", got, c.complete, want)
	}
}

// A server states that a stream ended at the last event that its caller has. No server has
// sent the caller an event of this response, so the statement is forwarded.
func TestEmptyStreamIsForwardedToACallerThatResumes(t *testing.T) {
	o, c, _ := serve(t, resumedRequest(3), streamResponse(io.EOF))
	if got, want := o, Served; got != want || !c.complete {
		t.Errorf("got %v, complete %v, want %v", got, c.complete, want)
	}
}

// A stream broke off after its last event. The next server sends all events again, which
// shows that the caller has received the last one.
func TestStreamThatBreaksAfterItsLastEventEndsAsComplete(t *testing.T) {
	o, c, _ := serve(t, streamRequest, streamResponse(errors.New("reset"), 1, 2), streamResponse(io.EOF, 1, 2))
	if got, want := string(c.body), "12"; o != Served || got != want || !c.complete {
		t.Errorf("got %v with %q, complete %v, want Served with %q", o, got, c.complete, want)
	}
}

// Guards against ORDER: the first server failed with an error response after its head, and an
// error of the second server was written into the stream.
func TestErrorResponseDoesNotContinueAStream(t *testing.T) {
	brokenAfterOne := streamResponse(errors.New("reset"), 1)
	for name, next := range map[string]func(context.Context) (*Response, error){
		"error":       bodyResponse(500, "failed"),
		"unavailable": bodyResponse(503, "failed"),
		"no stream":   bodyResponse(200, "failed"),
		"full":        refusal(Full),
		"not verified": func(context.Context) (*Response, error) {
			return &Response{Status: 200, Events: &fakeEvents{err: io.EOF}}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, c, _ := serve(t, streamRequest, brokenAfterOne, next)
			if got, want := string(c.body), "1"; o != Broken || got != want || !c.aborted || c.writtenError != nil {
				t.Errorf("got %v with %q, aborted %v, error %v, want Broken with %q", o, got, c.aborted, c.writtenError, want)
			}
		})
	}
}
