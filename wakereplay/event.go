package wakereplay

import (
	"container/heap"
	"time"
)

type eventKind int

const (
	// prewarmTick occurs every prewarmInterval.
	prewarmTick eventKind = iota
	// storeReady occurs when the weight store can start its next load.
	storeReady
	loadFinished
	responseFinished
	keepAliveExpired
	requestTimedOut
	// prewarmCheckDue occurs at the time that strategy.prewarmTime returned.
	prewarmCheckDue
)

// event is scheduled for a point in virtual time. For requestTimedOut, number is the index of the
// request. For keepAliveExpired and prewarmCheckDue, it is the generation of the model at
// scheduling.
type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	model    int
	number   int
}

// eventQueue is a heap in order of time. Events at the same time run in the order in which they
// were scheduled.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// schedule adds an event that occurs d from now.
func (r *replay) schedule(d time.Duration, e event) {
	r.sequence++
	e.at, e.sequence = r.now+d, r.sequence
	heap.Push(&r.events, e)
}
