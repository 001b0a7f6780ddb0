package objective

import (
	"slices"
	"time"
)

// Count holds the number of events and the number of events that missed the goal.
type Count struct {
	Total, Missed uint64
}

func (c *Count) add(o Count) {
	c.Total += o.Total
	c.Missed += o.Missed
}

// Bucket holds the counts of one step of a window.
type Bucket struct {
	// Index is the number of whole steps from the Unix epoch to the bucket's start, so
	// that buckets of different nodes align.
	Index  int64
	Counts [measureCount]Count
}

func (b *Bucket) add(o Bucket) {
	for m := range b.Counts {
		b.Counts[m].add(o.Counts[m])
	}
}

// windowBuckets holds the buckets of one window, oldest first. Buckets without events are
// left out, so that an idle series uses little memory.
type windowBuckets struct {
	// buckets are sorted by index; the newest and the oldest differ by less than
	// Window.steps.
	buckets []Bucket
}

// add adds c to the bucket of index. It ignores events older than the window.
func (w *windowBuckets) add(index int64, steps int, m Measure, c Count) {
	i := len(w.buckets)
	if i > 0 && index <= w.buckets[i-1].Index-int64(steps) {
		return
	}
	for i > 0 && w.buckets[i-1].Index > index {
		i--
	}
	if i == 0 || w.buckets[i-1].Index != index {
		w.buckets = slices.Insert(w.buckets, i, Bucket{Index: index})
		i++
	}
	w.buckets[i-1].Counts[m].add(c)
	w.dropBefore(w.buckets[len(w.buckets)-1].Index - int64(steps) + 1)
}

// dropBefore removes the buckets with an index below firstIndex.
func (w *windowBuckets) dropBefore(firstIndex int64) {
	i := 0
	for i < len(w.buckets) && w.buckets[i].Index < firstIndex {
		i++
	}
	w.buckets = slices.Delete(w.buckets, 0, i)
	if len(w.buckets) == 0 {
		w.buckets = nil
	}
}

// steps returns the number of buckets that cover a window: one more than fit in its
// length, since the oldest and the newest are both partial.
func (w Window) steps() int { return int(w.Length/w.Step) + 1 }

// index returns the index of the bucket that holds a time.
func (w Window) index(at time.Time) int64 { return at.UnixNano() / int64(w.Step) }

// firstIndex returns the index of the oldest bucket in the window at now.
func (w Window) firstIndex(now time.Time) int64 { return w.index(now) - int64(w.steps()) + 1 }
