package peer

import "testing"

func TestBulkDropsTheOldest(t *testing.T) {
	var q frameQueue
	dropped := 0
	for i := range maximumBulkFrames + 3 {
		dropped += q.pushBulk([]byte{byte(i)})
	}
	if got, want := dropped, 3; got != want {
		t.Errorf("got %d frames dropped, want %d", got, want)
	}
	if got, want := q.take()[0][0], byte(3); got != want {
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

func TestUrgentIsRefusedWhereFullAndGoesFirst(t *testing.T) {
	o := newOutbox()
	o.pushBulk([]byte("bulk"))
	if !o.pushUrgent(make([]byte, maximumUrgentBytes+1)) {
		t.Error("got a large frame refused by an empty queue")
	}
	if o.pushUrgent([]byte("one more")) {
		t.Error("got a frame taken over the bound")
	}
	frames, ok := o.take()
	if !ok || len(frames) != 1 || len(frames[0]) != maximumUrgentBytes+1 {
		t.Errorf("got %d frames %v, want the urgent one", len(frames), ok)
	}
	if frames, _ := o.take(); string(frames[0]) != "bulk" {
		t.Errorf("got %q, want bulk", frames[0])
	}
	o.close()
	if _, ok := o.take(); ok || o.pushUrgent(nil) || o.pushBulk(nil) != 1 {
		t.Error("got a closed outbox that works")
	}
}
