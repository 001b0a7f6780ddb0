package standin

import "container/heap"

// batch queues the requests of one replica and admits as many at once as it has slots: by
// priority, then in order of arrival. It is guarded by the mutex of its engine.
type batch struct {
	slots    int
	running  int
	sequence uint64
	waiting  entryHeap
}

// batchEntry is a queued or running request of a batch.
type batchEntry struct {
	priority int
	sequence uint64
	// index is the position in the heap, or notWaiting.
	index int
	// admitted is closed when the request gets a slot.
	admitted chan struct{}
}

const notWaiting = -1

func (b *batch) enqueue(priority int) *batchEntry {
	b.sequence++
	entry := &batchEntry{priority: priority, sequence: b.sequence, admitted: make(chan struct{})}
	heap.Push(&b.waiting, entry)
	b.admit()
	return entry
}

// release frees the slot of a running request, or removes a queued one.
func (b *batch) release(entry *batchEntry) {
	if entry.index == notWaiting {
		b.running--
	} else {
		heap.Remove(&b.waiting, entry.index)
	}
	b.admit()
}

func (b *batch) admit() {
	for b.running < b.slots && len(b.waiting) > 0 {
		entry := heap.Pop(&b.waiting).(*batchEntry)
		b.running++
		close(entry.admitted)
	}
}

type entryHeap []*batchEntry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entryHeap) Push(x any) {
	entry := x.(*batchEntry)
	entry.index = len(*h)
	*h = append(*h, entry)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.index = notWaiting
	return entry
}
