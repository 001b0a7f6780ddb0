package wakereplay

import (
	"container/heap"
	"time"
)

type kind int

const (
	ticked kind = iota
	storeFree
	loaded
	answered
	expired
	timedOut
	reviewed
)

// event is something that happens at a time; number is a request or an expiry.
type event struct {
	at       time.Duration
	sequence int
	kind     kind
	model    int
	number   int
}

// events is a heap in order of time; events of one time keep their order.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (r *replay) after(d time.Duration, e event) {
	r.sequence++
	e.at, e.sequence = r.now+d, r.sequence
	heap.Push(&r.events, e)
}
