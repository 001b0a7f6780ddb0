package waking

import (
	"math"
	"time"
)

const (
	// slotLength is the resolution of the weekly profile.
	slotLength   = 15 * time.Minute
	slotsPerDay  = int(24 * time.Hour / slotLength)
	slotsPerWeek = 7 * slotsPerDay
	// gapBins is the number of logarithmic bins of idle times, two for each doubling,
	// from shortestGap up to 12 days.
	gapBins     = 38
	shortestGap = 2 * time.Second
	// maxGapCount and maxProfileDays are the limits at which counts are halved, so that
	// old usage patterns lose their weight.
	maxGapCount    = 512
	maxProfileDays = 10 * 7
	// burstGap is the longest gap between two arrivals of the same burst.
	burstGap = 30 * time.Second
)

// history holds the request statistics of one model. Its size is fixed;
// TestMemoryPerModel limits it.
type history struct {
	// firstArrival and lastArrival are in Unix nanoseconds.
	firstArrival, lastArrival int64
	// lastSlot is the absolute number of the slot counted last.
	lastSlot int64
	// gaps is a histogram of the idle times between bursts, gapCount its total.
	gaps     [gapBins]uint16
	gapCount uint16
	// weeklyCounts is the weekly profile: the number of weeks in which each slot had
	// an arrival.
	weeklyCounts [slotsPerWeek]uint8
	// agedOutDays is the number of days that halving removed from the profile.
	agedOutDays int32
	// meanBurst is the smoothed number of requests in a burst. currentBurst is the
	// number in the current burst, which began at burstStart in Unix nanoseconds.
	meanBurst    float32
	currentBurst float32
	burstStart   int64
	// coldStartSeconds is the latest known cold-start time.
	coldStartSeconds float32
	// prewarmCheckAt is the Unix time in nanoseconds of the next pre-warming decision.
	// heapIndex is the index in Policy.prewarm plus one, or zero if not queued.
	prewarmCheckAt int64
	heapIndex      int32
}

// slotOf returns the absolute number of the slot that contains at, in the time zone of at.
func slotOf(at time.Time) int64 {
	_, offset := at.Zone()
	return (at.Unix() + int64(offset)) / int64(slotLength/time.Second)
}

// slotInWeek returns the index of an absolute slot within the week.
func slotInWeek(slot int64) int {
	return int(((slot % int64(slotsPerWeek)) + int64(slotsPerWeek)) % int64(slotsPerWeek))
}

// recordArrivals records n requests and reports whether at begins a new slot.
func (h *history) recordArrivals(at time.Time, n int) bool {
	now := at.UnixNano()
	if h.firstArrival == 0 {
		h.firstArrival, h.burstStart = now, now
	}
	if gap := time.Duration(now - h.lastArrival); h.lastArrival != 0 && gap > burstGap {
		h.addGap(gap)
		h.endBurst()
		h.burstStart = now
	}
	h.currentBurst += float32(n)
	if now > h.lastArrival {
		h.lastArrival = now
	}
	slot := slotOf(at)
	if slot == h.lastSlot {
		return false
	}
	h.lastSlot = slot
	h.ageProfile(now)
	if c := &h.weeklyCounts[slotInWeek(slot)]; *c < math.MaxUint8 {
		*c++
	}
	return true
}

func (h *history) endBurst() {
	if h.meanBurst == 0 {
		h.meanBurst = h.currentBurst
	}
	h.meanBurst += (h.currentBurst - h.meanBurst) / 8
	h.currentBurst = 0
}

// expectedWaiters returns the expected number of requests that wait for one cold start,
// each weighted by the share of it that it waits: the first request waits for all of it,
// requests of the same burst that arrive during the cold start wait for half on average.
func (h *history) expectedWaiters(coldStart time.Duration) float64 {
	arrivingShare := math.Min(1, float64(coldStart)/float64(burstGap))
	return 1 + math.Max(0, float64(h.meanBurst)-1)*arrivingShare/2
}

func (h *history) addGap(gap time.Duration) {
	if h.gapCount >= maxGapCount {
		h.gapCount = 0
		for i := range h.gaps {
			h.gaps[i] /= 2
			h.gapCount += h.gaps[i]
		}
	}
	h.gaps[gapBin(gap)]++
	h.gapCount++
}

// ageProfile halves the weekly profile once it covers maxProfileDays.
func (h *history) ageProfile(now int64) {
	if h.profileDays(now) < maxProfileDays {
		return
	}
	for i := range h.weeklyCounts {
		h.weeklyCounts[i] /= 2
	}
	h.agedOutDays += maxProfileDays / 2
}

// profileDays returns the number of days that the weekly profile covers.
func (h *history) profileDays(now int64) float64 {
	return float64(now-h.firstArrival)/float64(24*time.Hour) - float64(h.agedOutDays)
}

func gapBin(gap time.Duration) int {
	if gap <= shortestGap {
		return 0
	}
	b := int(2 * math.Log2(float64(gap)/float64(shortestGap)))
	return min(b, gapBins-1)
}

// gapBinEnd returns the upper bound of a bin.
func gapBinEnd(b int) time.Duration {
	return time.Duration(float64(shortestGap) * math.Exp2(float64(b+1)/2))
}

// arrivalProbability returns the probability of an arrival in a slot. With few weeks of
// history, the estimate is drawn towards the same time of day on other days.
func (h *history) arrivalProbability(slot int64, now int64) float64 {
	var sameTime int
	for i := slotInWeek(slot) % slotsPerDay; i < slotsPerWeek; i += slotsPerDay {
		sameTime += int(h.weeklyCounts[i])
	}
	return slotProbability(h.weeklyCounts[slotInWeek(slot)], sameTime, h.profileDays(now))
}

// slotProbability returns the probability of an arrival in a slot. slotWeeks is the number
// of weeks with an arrival in it, sameTime the number of days with an arrival at its time of
// day, and days the length of the profile.
func slotProbability(slotWeeks uint8, sameTime int, days float64) float64 {
	if days < 1 {
		return 0
	}
	daily := math.Min(1, float64(sameTime)/(math.Floor(days)+1))
	weeks := math.Floor((days + 1) / 7)
	return math.Min(1, (float64(slotWeeks)+daily)/(weeks+1))
}

// nextLikelySlot returns the first slot, from first on and within a week, whose arrival
// probability exceeds threshold; ok is false if there is none.
func (h *history) nextLikelySlot(first int64, threshold float64, now int64) (slot int64, ok bool) {
	days := h.profileDays(now)
	if threshold >= 1 || days < 1 {
		return 0, false
	}
	var sameTime [slotsPerDay]int
	for i, c := range h.weeklyCounts {
		sameTime[i%slotsPerDay] += int(c)
	}
	weekSlot := slotInWeek(first)
	for i := range slotsPerWeek {
		if n := sameTime[weekSlot%slotsPerDay]; n > 0 && slotProbability(h.weeklyCounts[weekSlot], n, days) > threshold {
			return first + int64(i), true
		}
		if weekSlot++; weekSlot == slotsPerWeek {
			weekSlot = 0
		}
	}
	return 0, false
}
