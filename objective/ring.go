package objective

import (
	"slices"
	"time"
)

// Count is how many events there were and how many missed the goal.
type Count struct {
	Total, Missed uint64
}

func (c *Count) add(o Count) {
	c.Total += o.Total
	c.Missed += o.Missed
}

// Bucket holds the counts of one step of a window.
type Bucket struct {
	// Index is the number of whole steps from the Unix epoch to the bucket's
	// start, so that buckets of different nodes line up.
	Index  int64
	Counts [measures]Count
}

func (b *Bucket) add(o Bucket) {
	for m := range b.Counts {
		b.Counts[m].add(o.Counts[m])
	}
}

// ring holds the buckets of one window, oldest first, without those in which
// nothing happened, so an idle series takes next to nothing.
type ring struct {
	// buckets have rising indices, of which the newest less the oldest is under
	// the window's number of steps.
	buckets []Bucket
}

// add counts into the bucket of index. An event older than the window is
// ignored.
func (r *ring) add(index int64, steps int, m Measure, c Count) {
	i := len(r.buckets)
	if i > 0 && index <= r.buckets[i-1].Index-int64(steps) {
		return
	}
	for i > 0 && r.buckets[i-1].Index > index {
		i--
	}
	if i == 0 || r.buckets[i-1].Index != index {
		r.buckets = slices.Insert(r.buckets, i, Bucket{Index: index})
		i++
	}
	r.buckets[i-1].Counts[m].add(c)
	r.dropBefore(r.buckets[len(r.buckets)-1].Index - int64(steps) + 1)
}

// dropBefore removes the buckets older than first.
func (r *ring) dropBefore(first int64) {
	i := 0
	for i < len(r.buckets) && r.buckets[i].Index < first {
		i++
	}
	r.buckets = slices.Delete(r.buckets, 0, i)
	if len(r.buckets) == 0 {
		r.buckets = nil
	}
}

// steps is how many buckets a window needs: one more than its length has, since
// the oldest and the newest are both partial.
func (w Window) steps() int { return int(w.Length/w.Step) + 1 }

// index is the bucket of an instant.
func (w Window) index(at time.Time) int64 { return at.UnixNano() / int64(w.Step) }

// firstIndex is the oldest bucket that still counts at now.
func (w Window) firstIndex(now time.Time) int64 { return w.index(now) - int64(w.steps()) + 1 }
