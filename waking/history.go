package waking

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution of the weekly profile.
	slotTime = 15 * time.Minute
	// slotsPerDay and slotsPerWeek count slots.
	slotsPerDay  = int(24 * time.Hour / slotTime)
	slotsPerWeek = 7 * slotsPerDay
	// gapBins are half-octave bins of idle times from shortestGap up to 12 days.
	gapBins     = 38
	shortestGap = 2 * time.Second
	// mostGaps and mostDays are where counts are halved, so that habits that are
	// over are forgotten.
	mostGaps = 512
	mostDays = 10 * 7
	// burstTime is how close together arrivals count as one burst.
	burstTime = 30 * time.Second
)

// history is what is remembered of one model. Its size is bounded: see the
// benchmark of state.
type history struct {
	// first and last are the first arrival's and the last arrival's time in Unix
	// nanoseconds.
	first, last int64
	// slot is the absolute number of the last slot that was counted.
	slot int64
	// gaps counts idle times between bursts by length, gapCount in total.
	gaps     [gapBins]uint16
	gapCount uint16
	// week counts in how many weeks each slot saw an arrival.
	week [slotsPerWeek]uint8
	// days is how many days of the profile were halved away.
	forgotten int32
	// burst is the smoothed number of requests in one burst, running the number in
	// the current one, began its start.
	burst   float32
	running float32
	began   int64
	// lead is the last known cold-start time in seconds.
	lead float32
	// due is when the model is looked at for loading ahead; heap is its place in the
	// heap plus one, or zero.
	due  int64
	heap int32
}

// slotOf returns the absolute number of the slot of at.
func slotOf(at time.Time) int64 {
	_, offset := at.Zone()
	return (at.Unix() + int64(offset)) / int64(slotTime/time.Second)
}

// weekly returns the place of an absolute slot in the week.
func weekly(slot int64) int {
	return int(((slot % int64(slotsPerWeek)) + int64(slotsPerWeek)) % int64(slotsPerWeek))
}

// arrived notes n requests; it returns whether the slot is new.
func (h *history) arrived(at time.Time, n int) bool {
	now := at.UnixNano()
	if h.first == 0 {
		h.first, h.began = now, now
	}
	if gap := time.Duration(now - h.last); h.last != 0 && gap > burstTime {
		h.addGap(gap)
		h.endBurst()
		h.began = now
	}
	h.running += float32(n)
	if now > h.last {
		h.last = now
	}
	slot := slotOf(at)
	if slot == h.slot {
		return false
	}
	h.slot = slot
	h.forget(now)
	if c := &h.week[weekly(slot)]; *c < math.MaxUint8 {
		*c++
	}
	return true
}

func (h *history) endBurst() {
	if h.burst == 0 {
		h.burst = h.running
	}
	h.burst += (h.running - h.burst) / 8
	h.running = 0
}

// callers is how many requests are expected to wait for one cold start.
func (h *history) callers() float64 {
	return math.Max(1, float64(h.burst))
}

func (h *history) addGap(gap time.Duration) {
	if h.gapCount >= mostGaps {
		h.gapCount = 0
		for i := range h.gaps {
			h.gaps[i] /= 2
			h.gapCount += h.gaps[i]
		}
	}
	h.gaps[binOf(gap)]++
	h.gapCount++
}

// forget halves the profile once it covers many weeks.
func (h *history) forget(now int64) {
	if h.daysSeen(now) < mostDays {
		return
	}
	for i := range h.week {
		h.week[i] /= 2
	}
	h.forgotten += mostDays / 2
}

// daysSeen is how many days the profile covers.
func (h *history) daysSeen(now int64) float64 {
	return float64(now-h.first)/float64(24*time.Hour) - float64(h.forgotten)
}

func binOf(gap time.Duration) int {
	if gap <= shortestGap {
		return 0
	}
	b := int(2 * math.Log2(float64(gap)/float64(shortestGap)))
	return min(b, gapBins-1)
}

// binEnds are the upper ends of the bins.
func binEnd(b int) time.Duration {
	return time.Duration(float64(shortestGap) * math.Exp2(float64(b+1)/2))
}

// expects is the probability of an arrival in a slot. The slot of the
// week is drawn towards the same time on other days while weeks are few.
func (h *history) expects(slot int64, now int64) float64 {
	days := h.daysSeen(now)
	if days < 1 {
		return 0
	}
	var all int
	for d := weekly(slot) % slotsPerDay; d < slotsPerWeek; d += slotsPerDay {
		all += int(h.week[d])
	}
	daily := math.Min(1, float64(all)/(math.Floor(days)+1))
	weeks := math.Floor(days/7 + 1.0/7)
	return math.Min(1, (float64(h.week[weekly(slot)])+daily)/(weeks+1))
}
