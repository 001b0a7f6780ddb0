package dispatch

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const (
	// commentGap is the time between two comments of a server.
	commentGap = 500 * time.Millisecond
	// commentLimit bounds the comments of a server that sends nothing else any more.
	commentLimit = 1000
)

// commentedStream responds with a stream that has a number of comments, one each commentGap,
// before the event with index at, and then ends with err.
func commentedStream(comments, at int, err error, ids ...EventID) func(context.Context) (*Response, error) {
	return func(ctx context.Context) (*Response, error) {
		e := &commentingEvents{fakeEvents: fakeEvents{err: err, ctx: ctx}, comments: comments, at: at}
		for _, id := range ids {
			e.events = append(e.events, Event{ID: id, Raw: []byte{byte('0' + id)}})
		}
		return &Response{Status: 200, Verified: true, Events: e}, nil
	}
}

type commentingEvents struct {
	fakeEvents
	comments, at int
}

func (e *commentingEvents) Next() (Event, error) {
	if e.at > 0 || e.comments == 0 {
		e.at--
		return e.fakeEvents.Next()
	}
	e.comments--
	select {
	case <-time.After(commentGap):
		return Event{Raw: []byte(":"), IsComment: true}, nil
	case <-e.ctx.Done():
		return Event{}, e.ctx.Err()
	}
}

// withoutComments returns what a caller got without the comments.
func withoutComments(c *fakeCaller) string { return string(bytes.ReplaceAll(c.body, []byte(":"), nil)) }

// Guards against LOST: a server that had stalled and sent a comment now and then passed for one
// that goes on, and its stream was cut at the deadline though others could resume it.
func TestCommentsDoNotEndTheSilenceOfAServer(t *testing.T) {
	for name, stalled := range map[string]func(context.Context) (*Response, error){
		"before the first event": commentedStream(commentLimit, 0, io.EOF, 1),
		"between events":         commentedStream(commentLimit, 1, io.EOF, 1, 2, 3),
	} {
		o, c, b := serve(t, streamRequest, stalled, streamResponse(io.EOF, 1, 2, 3))
		if got, want := withoutComments(c), "123"; o != Served || got != want || !c.complete {
			t.Errorf("%s: got %v with %q after %d attempts, want %q", name, o, got, len(b.received), want)
		}
	}
}

// Guards against LOST: a comment in the rest of a stream, before its next event, broke it.
func TestCommentsInAResumedStreamAreSkipped(t *testing.T) {
	o, c, _ := serve(t, streamRequest, streamResponse(errors.New("reset"), 1), commentedStream(2, 0, io.EOF, 2, 3))
	if got, want := string(c.body), "123"; o != Served || got != want || !c.complete {
		t.Errorf("got %v with %q, want %q", o, got, want)
	}
}

// A sound server that sends comments while it has no event keeps its stream, and the caller gets
// them: something on its path may close connections that are silent.
func TestCommentsAreForwarded(t *testing.T) {
	for name, other := range unavailableServers {
		o, c, _ := serve(t, streamRequest, commentedStream(4, 1, io.EOF, 1, 2, 3), other)
		if got, want := withoutComments(c), "123"; o != Served || got != want || !c.complete || bytes.Count(c.body, []byte(":")) < 2 {
			t.Errorf("%s: got %v with %q, want %q with the comments", name, o, c.body, want)
		}
	}
}

// Guards against ORDER: after comments alone, another server begins the stream from its start,
// and its events may have no ID.
func TestStreamBeginsAnewAfterComments(t *testing.T) {
	o, c, _ := serve(t, streamRequest, commentedStream(1, 0, errors.New("reset")), streamResponse(io.EOF, 0, 0))
	if got, want := withoutComments(c), "00"; o != Served || got != want || !c.complete {
		t.Errorf("got %v with %q, want %q", o, c.body, want)
	}
}
