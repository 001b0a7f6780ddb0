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
	// idleTimeBins is the number of logarithmic bins of idle times, two for each
	// doubling, from shortestIdleTime up to 12 days.
	idleTimeBins     = 38
	shortestIdleTime = 2 * time.Second
	// maxIdleTimeCount is the number of idle times, and maxProfileDays the age of the
	// weekly profile in days, at which the counts are halved, so that old usage
	// patterns lose their weight.
	maxIdleTimeCount = 512
	maxProfileDays   = 10 * 7
	// burstGap is the longest time between two arrivals of the same burst. A longer
	// time between two arrivals is an idle time.
	burstGap = 30 * time.Second
)

// history holds the request statistics of one model. Its size is fixed, and
// TestMemoryPerModel checks that it is small.
type history struct {
	// firstArrival and lastArrival are in Unix nanoseconds.
	firstArrival, lastArrival int64
	// lastSlot is the absolute number of the slot of the latest arrival.
	lastSlot int64
	// idleTimes is a histogram of the idle times between bursts. idleTimeCount is the
	// sum of its counts.
	idleTimes     [idleTimeBins]uint16
	idleTimeCount uint16
	// weeklyCounts is the weekly profile: for each slot of the week, the number of weeks
	// in which it had an arrival.
	weeklyCounts [slotsPerWeek]uint8
	// agedOutDays is the number of days that were removed from the age of the profile
	// because its counts were halved.
	agedOutDays int32
	// meanBurstSize is the moving average of the number of requests in a burst.
	// currentBurstSize is the number of requests in the current burst, which began at
	// burstStart in Unix nanoseconds.
	meanBurstSize    float32
	currentBurstSize float32
	burstStart       int64
	// coldStartSeconds is the latest cold-start time of the model that a caller passed
	// to the Policy.
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

// recordArrivals records n requests and reports whether arrivedAt is in another slot
// than the latest arrival.
func (h *history) recordArrivals(arrivedAt time.Time, n int) bool {
	now := arrivedAt.UnixNano()
	if h.firstArrival == 0 {
		h.firstArrival, h.burstStart = now, now
	}
	if gap := time.Duration(now - h.lastArrival); h.lastArrival != 0 && gap > burstGap {
		h.addIdleTime(gap)
		h.endBurst()
		h.burstStart = now
	}
	h.currentBurstSize += float32(n)
	if now > h.lastArrival {
		h.lastArrival = now
	}
	slot := slotOf(arrivedAt)
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

// endBurst adds the size of the current burst to meanBurstSize and resets it to zero.
func (h *history) endBurst() {
	if h.meanBurstSize == 0 {
		h.meanBurstSize = h.currentBurstSize
	}
	h.meanBurstSize += (h.currentBurstSize - h.meanBurstSize) / 8
	h.currentBurstSize = 0
}

// expectedWaiters returns the expected number of requests that wait for one cold start. A
// request that waits for only part of it counts as that fraction. The first request
// waits for all of it; the requests of the same burst that arrive during the cold start
// wait for half of it on average.
func (h *history) expectedWaiters(coldStart time.Duration) float64 {
	arrivingShare := math.Min(1, float64(coldStart)/float64(burstGap))
	return 1 + math.Max(0, float64(h.meanBurstSize)-1)*arrivingShare/2
}

// addIdleTime adds an idle time to the histogram, and halves the histogram first if it
// holds maxIdleTimeCount idle times.
func (h *history) addIdleTime(idleTime time.Duration) {
	if h.idleTimeCount >= maxIdleTimeCount {
		h.idleTimeCount = 0
		for i := range h.idleTimes {
			h.idleTimes[i] /= 2
			h.idleTimeCount += h.idleTimes[i]
		}
	}
	h.idleTimes[idleTimeBin(idleTime)]++
	h.idleTimeCount++
}

// ageProfile halves the counts of the weekly profile once it covers maxProfileDays.
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

// idleTimeBin returns the bin of an idle time.
func idleTimeBin(idleTime time.Duration) int {
	if idleTime <= shortestIdleTime {
		return 0
	}
	b := int(2 * math.Log2(float64(idleTime)/float64(shortestIdleTime)))
	return min(b, idleTimeBins-1)
}

// idleTimeBinEnd returns the upper bound of a bin.
func idleTimeBinEnd(b int) time.Duration {
	return time.Duration(float64(shortestIdleTime) * math.Exp2(float64(b+1)/2))
}

// arrivalProbability returns the probability of an arrival in a slot. With few weeks of
// history, the arrivals at the same time of other days weigh more in the estimate.
func (h *history) arrivalProbability(slot int64, now int64) float64 {
	var sameTimeDays int
	for i := slotInWeek(slot) % slotsPerDay; i < slotsPerWeek; i += slotsPerDay {
		sameTimeDays += int(h.weeklyCounts[i])
	}
	return slotProbability(h.weeklyCounts[slotInWeek(slot)], sameTimeDays, h.profileDays(now))
}

// slotProbability returns the probability of an arrival in a slot. slotWeeks is the number
// of weeks with an arrival in the slot, sameTimeDays the number of days with an arrival at
// the same time of day, and days the number of days that the profile covers.
func slotProbability(slotWeeks uint8, sameTimeDays int, days float64) float64 {
	if days < 1 {
		return 0
	}
	daily := math.Min(1, float64(sameTimeDays)/(math.Floor(days)+1))
	weeks := math.Floor((days + 1) / 7)
	return math.Min(1, (float64(slotWeeks)+daily)/(weeks+1))
}

// nextLikelySlot returns the earliest slot, within a week from the slot first, whose
// arrival probability exceeds threshold; ok is false if there is none.
func (h *history) nextLikelySlot(first int64, threshold float64, now int64) (slot int64, ok bool) {
	days := h.profileDays(now)
	if threshold >= 1 || days < 1 {
		return 0, false
	}
	var sameTimeDays [slotsPerDay]int
	for i, c := range h.weeklyCounts {
		sameTimeDays[i%slotsPerDay] += int(c)
	}
	weekSlot := slotInWeek(first)
	for i := range slotsPerWeek {
		if n := sameTimeDays[weekSlot%slotsPerDay]; n > 0 && slotProbability(h.weeklyCounts[weekSlot], n, days) > threshold {
			return first + int64(i), true
		}
		if weekSlot++; weekSlot == slotsPerWeek {
			weekSlot = 0
		}
	}
	return 0, false
}
