package quota

import "time"

// historySlots is the number of slots in which a window is counted.
const historySlots = 32

// history counts what was admitted in a sliding window. The zero history is empty.
type history struct {
	slots [historySlots + 1]float64
	// newest is the number of the newest slot since the clock's zero.
	newest int64
	sum    float64
}

// advance drops the slots that have left the window.
func (h *history) advance(now, window time.Duration) {
	slot := int64(now / max(1, window/historySlots))
	if slot-h.newest > int64(len(h.slots)) {
		*h = history{newest: slot}
		return
	}
	for ; h.newest < slot; h.newest++ {
		i := (h.newest + 1) % int64(len(h.slots))
		h.sum -= h.slots[i]
		h.slots[i] = 0
	}
}

// add counts an amount that is admitted now.
func (h *history) add(now, window time.Duration, amount float64) {
	h.advance(now, window)
	h.slots[h.newest%int64(len(h.slots))] += amount
	h.sum += amount
}

// remove takes an amount back, the oldest first: what is refunded was charged earlier than what
// has just been admitted.
func (h *history) remove(now, window time.Duration, amount float64) {
	h.advance(now, window)
	for i := int64(1); i <= int64(len(h.slots)) && amount > 0; i++ {
		slot := &h.slots[(h.newest+i)%int64(len(h.slots))]
		part := min(*slot, amount)
		*slot -= part
		h.sum -= part
		amount -= part
	}
}
