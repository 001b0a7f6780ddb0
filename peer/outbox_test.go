package peer

import "testing"

func TestBulkQueueDropsTheOldestFrames(t *testing.T) {
	var q frameQueue
	dropped := 0
	for i := range maximumBulkFrames + 3 {
		dropped += q.pushBulk([]byte{byte(i)})
	}
	if got, want := dropped, 3; got != want {
		t.Errorf("got %d frames dropped, want %d", got, want)
	}
	if got, want := q.takeAll()[0][0], byte(3); got != want {
		t.Errorf("got frame %d first, want %d", got, want)
	}
	q.push(make([]byte, 10))
	if got, want := q.pushBulk(make([]byte, 2*maximumBulkBytes)), 1; got != want {
		t.Errorf("got %d frames dropped for a large one, want %d", got, want)
	}
	if got, want := q.bytes, 2*maximumBulkBytes; got != want {
		t.Errorf("got %d bytes, want %d", got, want)
	}
}

func TestUrgentFramesGoFirstAndAreRefusedWhenFull(t *testing.T) {
	o := newOutbox()
	o.pushBulk([]byte("bulk"))
	if !o.pushUrgent(make([]byte, maximumUrgentBytes+1)) {
		t.Error("got a large frame refused by an empty queue")
	}
	if o.pushUrgent([]byte("one more")) {
		t.Error("got a frame accepted beyond the bound")
	}
	frames, ok := o.next()
	if !ok || len(frames) != 1 || len(frames[0]) != maximumUrgentBytes+1 {
		t.Errorf("got %d frames %v, want the urgent one", len(frames), ok)
	}
	if frames, _ := o.next(); string(frames[0]) != "bulk" {
		t.Errorf("got %q, want bulk", frames[0])
	}
	o.close()
	if _, ok := o.next(); ok || o.pushUrgent(nil) || o.pushBulk(nil) != 1 {
		t.Error("got frames from or into a closed outbox")
	}
}
