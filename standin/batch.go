package standin

import "container/heap"

// batch queues the requests of one replica and admits as many at once as it has slots: by
// priority, then in order of arrival. It is guarded by the mutex of its engine.
type batch struct {
	slots    int
	running  int
	sequence uint64
	waiting  ticketHeap
}

// ticket is a queued or running request of a batch.
type ticket struct {
	priority int
	sequence uint64
	// index is the position in the heap, or notWaiting.
	index int
	// admitted is closed when the request gets a slot.
	admitted chan struct{}
}

const notWaiting = -1

func (b *batch) enqueue(priority int) *ticket {
	b.sequence++
	t := &ticket{priority: priority, sequence: b.sequence, admitted: make(chan struct{})}
	heap.Push(&b.waiting, t)
	b.admit()
	return t
}

// release frees the slot of a running request, or removes a queued one.
func (b *batch) release(t *ticket) {
	if t.index == notWaiting {
		b.running--
	} else {
		heap.Remove(&b.waiting, t.index)
	}
	b.admit()
}

func (b *batch) admit() {
	for b.running < b.slots && len(b.waiting) > 0 {
		t := heap.Pop(&b.waiting).(*ticket)
		b.running++
		close(t.admitted)
	}
}

type ticketHeap []*ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *ticketHeap) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = notWaiting
	return t
}
