package peer

import "sync"

// Bounds of the frames that wait to be written to one link. A single frame is accepted
// whatever its size.
const (
	maximumUrgentFrames = 8192
	maximumUrgentBytes  = 8 << 20
	maximumBulkFrames   = 1024
	maximumBulkBytes    = 1 << 20
)

// frameQueue is a FIFO queue of frames. The zero frameQueue is empty.
type frameQueue struct {
	frames [][]byte
	bytes  int
}

func (q *frameQueue) push(frame []byte) {
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
}

// fits reports whether a frame may be added within the bounds.
func (q *frameQueue) fits(frame []byte, maximumFrames, maximumBytes int) bool {
	return len(q.frames) == 0 || len(q.frames) < maximumFrames && q.bytes+len(frame) <= maximumBytes
}

// pushBulk adds a frame, drops the oldest ones if the queue is full, and returns the
// number dropped.
func (q *frameQueue) pushBulk(frame []byte) int {
	dropped := 0
	for !q.fits(frame, maximumBulkFrames, maximumBulkBytes) {
		q.bytes -= len(q.frames[0])
		q.frames[0] = nil
		q.frames = q.frames[1:]
		dropped++
	}
	q.push(frame)
	return dropped
}

// takeAll removes and returns all frames.
func (q *frameQueue) takeAll() [][]byte {
	frames := q.frames
	*q = frameQueue{}
	return frames
}

// outbox holds the frames of one link until its writer takes them. Urgent frames (calls,
// responses, control messages) are written first and are refused if the queue is full. Of
// bulk frames the oldest are dropped.
type outbox struct {
	mu           sync.Mutex
	urgent, bulk frameQueue
	closed       bool
	ready        chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// pushUrgent adds a frame and returns false if there is no room or the outbox is closed.
func (o *outbox) pushUrgent(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || !o.urgent.fits(frame, maximumUrgentFrames, maximumUrgentBytes) {
		return false
	}
	o.urgent.push(frame)
	o.signal()
	return true
}

// pushBulk adds a frame and returns the number of dropped frames.
func (o *outbox) pushBulk(frame []byte) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 1
	}
	dropped := o.bulk.pushBulk(frame)
	o.signal()
	return dropped
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// next returns all urgent frames, or all bulk frames if there are none. It waits while
// there are no frames, and returns false once the outbox is closed.
func (o *outbox) next() ([][]byte, bool) {
	for {
		o.mu.Lock()
		if o.closed {
			o.mu.Unlock()
			return nil, false
		}
		if !o.isEmptyLocked() {
			frames := o.urgent.takeAll()
			if len(frames) == 0 {
				frames = o.bulk.takeAll()
			}
			o.mu.Unlock()
			return frames, true
		}
		o.mu.Unlock()
		<-o.ready
	}
}

func (o *outbox) isEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isEmptyLocked()
}

// isEmptyLocked reports whether the outbox holds no frames. The caller holds mu.
func (o *outbox) isEmptyLocked() bool { return len(o.urgent.frames)+len(o.bulk.frames) == 0 }

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.signal()
}
