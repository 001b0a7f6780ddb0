package dispatch

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// minimumSteps is how many steps of the same size a stream must have to show how a service numbers
// its events.
const minimumSteps = 2

// eventOrder joins the streams of several attempts into one stream for the caller. It
// selects the events that the caller lacks and finds the streams that cannot be joined.
// Servers number events in steps of one, or of what an event holds, such as tokens. If a server has
// left out an ID in a stream that it sent from the start, a gap later in the same request is
// accepted.
type eventOrder struct {
	// last is the last event that the caller has received, 0 for none.
	last EventID
	// step is that of eventSteps for the service; 0 if it is unknown.
	step EventID
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
	// step is the difference of the IDs that follow each other, 0 before the second one. The
	// stream is irregular if there are several differences.
	step        EventID
	isIrregular bool
	// steps is the number of those differences.
	steps int
}

// advance records the next event of the stream.
func (p *streamPosition) advance(id EventID) {
	if p.latest > 0 {
		step := id - p.latest
		p.isIrregular = p.isIrregular || p.steps > 0 && step != p.step
		p.step = step
		p.steps++
	}
	p.latest = id
}

// learnedStep returns the step of a stream that has ended in the regular way, or 0 if the stream does
// not show it.
func (p *streamPosition) learnedStep() EventID {
	if p.isResuming || p.isIrregular || p.steps < minimumSteps || p.step <= 0 {
		return 0
	}
	return p.step
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
	p.advance(id)
	if id <= o.last {
		return false, nil
	}
	isGap := id != o.last+1 && (o.step == 0 || id != o.last+o.step)
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

// eventSteps remembers by which step each service numbers its events, from whole streams that were
// sent from the start. A stream that resumes another one does not show it: an event may be missing.
// The zero eventSteps is ready for use. It is safe for concurrent use.
type eventSteps struct {
	mu sync.Mutex
	// steps has the services of the configurations so far; callers cannot add any.
	steps map[domain.ServiceName]EventID
}

// of returns the step of a service, 0 if it is unknown.
func (e *eventSteps) of(s domain.ServiceName) EventID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steps[s]
}

// learn records a stream of a service that has ended in the regular way.
func (e *eventSteps) learn(s domain.ServiceName, p streamPosition) {
	step := p.learnedStep()
	if step == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.steps == nil {
		e.steps = map[domain.ServiceName]EventID{}
	}
	e.steps[s] = step
}
