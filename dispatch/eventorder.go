package dispatch

import "github.com/pkg/errors"

// eventOrder joins the streams of successive attempts into one stream for the caller. It
// selects the events that the caller lacks and finds the streams that cannot be joined.
// Servers number events without gaps. If a server has left out an ID in a stream that it
// sent from the start, a gap later in the same request is accepted.
type eventOrder struct {
	// last is the last event that the caller has received, 0 for none.
	last EventID
	// hasGaps is true once a stream that did not resume another one has left out an ID.
	hasGaps bool
	// isResuming is true if the current stream continues one that the caller has.
	isResuming bool
	// hasEvents is true if this node has sent the caller part of the stream before the
	// current attempt.
	hasEvents bool
	// latest is the latest event of the current stream, 0 for none.
	latest EventID
}

// startStream starts the stream of an attempt. hasEvents is true if the caller has received
// part of the stream from earlier attempts.
func (o *eventOrder) startStream(hasEvents bool) {
	o.hasEvents, o.isResuming, o.latest = hasEvents, hasEvents || o.last > 0, 0
}

// accept reports whether the caller lacks an event. It returns an error if the caller
// must not get this event and those after it.
func (o *eventOrder) accept(id EventID) (bool, error) {
	if id == 0 && o.isResuming {
		return false, errors.New("an event of a resumed stream has no ID")
	}
	if id == 0 {
		return true, nil
	}
	o.latest = id
	if id <= o.last {
		return false, nil
	}
	isGap := id != o.last+1
	if isGap && o.isResuming && !o.hasGaps {
		return false, errors.Errorf("event %d follows event %d in a resumed stream", id, o.last)
	}
	o.hasGaps = o.hasGaps || isGap && o.last > 0
	return true, nil
}

// advance records that the caller has received an event.
func (o *eventOrder) advance(id EventID) { o.last = max(o.last, id) }

// endStream returns an error if the regular end of the current stream does not prove that
// the caller has all events.
func (o *eventOrder) endStream() error {
	if o.latest == 0 && !o.hasEvents {
		// The end is the server's own statement and belongs to no other stream.
		return nil
	}
	if o.latest < o.last {
		return errors.Errorf("the resumed stream ended after event %d, the caller has event %d", o.latest, o.last)
	}
	return nil
}
