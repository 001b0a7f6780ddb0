package peer

import "sync"

// Bounds of what waits to be written on one link, in frames and bytes. One frame
// is taken however large it is.
const (
	maximumUrgentFrames = 8192
	maximumUrgentBytes  = 8 << 20
	maximumBulkFrames   = 1024
	maximumBulkBytes    = 1 << 20
)

// frameQueue holds frames in order. The zero frameQueue is empty.
type frameQueue struct {
	frames [][]byte
	bytes  int
}

func (q *frameQueue) push(frame []byte) {
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
}

// fits tells whether a frame may be added within the bounds.
func (q *frameQueue) fits(frame []byte, mostFrames, mostBytes int) bool {
	return len(q.frames) == 0 || len(q.frames) < mostFrames && q.bytes+len(frame) <= mostBytes
}

// pushBulk drops the oldest frames until the new one fits and returns how many.
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

// take empties the queue.
func (q *frameQueue) take() [][]byte {
	frames := q.frames
	*q = frameQueue{}
	return frames
}

// outbox holds frames until the link's writer takes them. Urgent frames (calls,
// answers, control) go first and are refused when there are too many; of bulk
// frames the oldest are dropped.
type outbox struct {
	mu           sync.Mutex
	urgent, bulk frameQueue
	closed       bool
	ready        chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// pushUrgent returns false where the frame was not taken.
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

// pushBulk returns how many frames were dropped.
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

// take returns what waits, urgent frames first, and false once the outbox is
// closed. It blocks while there is nothing.
func (o *outbox) take() ([][]byte, bool) {
	for {
		o.mu.Lock()
		if o.closed {
			o.mu.Unlock()
			return nil, false
		}
		if !o.hasNone() {
			frames := o.urgent.take()
			if len(frames) == 0 {
				frames = o.bulk.take()
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
	return o.hasNone()
}

// hasNone tells whether nothing waits. The caller holds mu.
func (o *outbox) hasNone() bool { return len(o.urgent.frames)+len(o.bulk.frames) == 0 }

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.signal()
}
