package peer

import "sync"

// Bounds of what waits to be written on one link.
const (
	maximumUrgentFrames = 8192
	maximumBulkFrames   = 1024
)

// outbox holds frames until the link's writer takes them. Urgent frames (calls,
// answers, control) go first and are refused when there are too many; of bulk
// frames the oldest are dropped.
type outbox struct {
	mu           sync.Mutex
	urgent, bulk [][]byte
	closed       bool
	ready        chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// pushUrgent returns false where the frame was not taken.
func (o *outbox) pushUrgent(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.urgent) >= maximumUrgentFrames {
		return false
	}
	o.urgent = append(o.urgent, frame)
	o.signal()
	return true
}

// pushBulk returns how many frames were dropped.
func (o *outbox) pushBulk(frame []byte) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 1
	}
	var dropped int
	o.bulk, dropped = appendBounded(o.bulk, frame)
	o.signal()
	return dropped
}

// appendBounded appends a frame and drops the oldest one where there are too
// many.
func appendBounded(frames [][]byte, frame []byte) ([][]byte, int) {
	if len(frames) < maximumBulkFrames {
		return append(frames, frame), 0
	}
	copy(frames, frames[1:])
	frames[len(frames)-1] = frame
	return frames, 1
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take returns what waits, urgent frames first, and false once the outbox is
// closed. It blocks while there is nothing.
func (o *outbox) take() ([][]byte, bool) {
	for {
		o.mu.Lock()
		if o.closed {
			o.mu.Unlock()
			return nil, false
		}
		if len(o.urgent)+len(o.bulk) > 0 {
			frames := o.urgent
			o.urgent = nil
			if len(frames) == 0 {
				frames, o.bulk = o.bulk, nil
			}
			o.mu.Unlock()
			return frames, true
		}
		o.mu.Unlock()
		<-o.ready
	}
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.urgent)+len(o.bulk) == 0
}

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.signal()
}
