package dispatch

import "github.com/pkg/errors"

// eventOrder joins the streams of several attempts into one stream for the caller. It
// selects the events that the caller lacks and finds the streams that cannot be joined.
// Servers number events without gaps. If a server has left out an ID in a stream that it
// sent from the start, a gap later in the same request is accepted.
type eventOrder struct {
	// last is the last event that the caller has received, 0 for none.
	last EventID
	// hasGaps is true once a stream that did not resume another one has left out an ID.
	hasGaps bool
}

// streamPosition is how far the stream of one attempt has come.
type streamPosition struct {
	// isResuming is true if the stream continues one that the caller has.
	isResuming bool
	// hasEvents is true if this node has sent the caller part of the stream before the
	// attempt.
	hasEvents bool
	// latest is the latest event of the stream, 0 for none.
	latest EventID
}

// start returns the position of an attempt that resumes the stream after the last event.
// hasEvents is true if the caller has received part of the stream from earlier attempts.
func (o *eventOrder) start(hasEvents bool) streamPosition {
	return streamPosition{hasEvents: hasEvents, isResuming: hasEvents || o.last > 0}
}

// accept reports whether the caller lacks the next event of an attempt. It returns an error
// if the caller must not get this event and those after it.
func (o *eventOrder) accept(p *streamPosition, id EventID) (bool, error) {
	if id == 0 && p.isResuming {
		return false, errors.New("an event of a resumed stream has no ID")
	}
	if id == 0 {
		return true, nil
	}
	p.latest = id
	if id <= o.last {
		return false, nil
	}
	isGap := id != o.last+1
	if isGap && p.isResuming && !o.hasGaps {
		return false, errors.Errorf("event %d follows event %d in a resumed stream", id, o.last)
	}
	o.hasGaps = o.hasGaps || isGap && o.last > 0
	return true, nil
}

// advance records that the caller has received an event.
func (o *eventOrder) advance(id EventID) { o.last = max(o.last, id) }

// end returns an error if the regular end of an attempt's stream does not prove that the
// caller has all events.
func (o *eventOrder) end(p streamPosition) error {
	if p.latest == 0 && !p.hasEvents {
		// The end is the server's own statement and belongs to no other stream.
		return nil
	}
	if p.latest < o.last {
		return errors.Errorf("the resumed stream ended after event %d, the caller has event %d", p.latest, o.last)
	}
	return nil
}
