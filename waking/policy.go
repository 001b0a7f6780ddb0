package waking

import (
	"container/heap"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// keepAliveRange is the factor by which a model's history may raise or lower its
	// keep-alive relative to the break-even time.
	keepAliveRange = 6
	// CompetitiveRatio bounds the cost of one idle time relative to the best choice in
	// hindsight, which is either to stay loaded or to pay one cold start. If a keep-alive
	// of break-even × keepAliveRange ends in a cold start, it costs as much as
	// keepAliveRange + 1 cold starts, and one cold start would have sufficed. If a
	// keep-alive of break-even ÷ keepAliveRange ends just before the next request, it
	// costs keepAliveRange + 1 times as much as a slightly longer one.
	CompetitiveRatio = keepAliveRange + 1
	// priorWeight is the weight of the break-even rule against a model's own history,
	// as a number of idle times.
	priorWeight = 3
	// prewarmMargin is the minimum ratio of the expected saving of a pre-warming load to
	// its expected cost in idle time.
	prewarmMargin = 2
)

// Policy predicts from past arrivals when each model is needed. The zero Policy is ready to
// use. Its methods are safe for concurrent use; Weights must not change meanwhile.
type Policy struct {
	// Weights are the prices for pre-warming. KeepAlive uses them if its caller passes
	// zero Weights.
	Weights Weights

	mu        sync.Mutex
	histories map[domain.ModelName]*history
	// prewarm orders models by the time of their next pre-warming decision.
	prewarm prewarmQueue
}

// RecordArrivals records that n requests for m arrived at the same time. The times of
// successive calls for a model must not decrease.
func (p *Policy) RecordArrivals(m domain.ModelName, arrivedAt time.Time, n int) {
	if n <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.histories[m]
	if h == nil {
		if p.histories == nil {
			p.histories = make(map[domain.ModelName]*history)
		}
		h = &history{}
		p.histories[m] = h
	}
	if h.recordArrivals(arrivedAt, n) {
		p.schedulePrewarm(m, h, arrivedAt)
	}
}

// RemoveModel drops the history of a model that is no longer configured.
func (p *Policy) RemoveModel(m domain.ModelName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.histories[m]; h != nil && h.heapIndex > 0 {
		heap.Remove(&p.prewarm, int(h.heapIndex-1))
	}
	delete(p.histories, m)
}

// KeepAlive returns how long an idle replica of m stays loaded after its last request. It
// minimises the expected cost over the model's past idle times, within a factor of
// keepAliveRange of the break-even time. For a model without history it returns the
// break-even time. Zero weights mean Policy.Weights. No idle time costs more than
// CompetitiveRatio times the best choice in hindsight.
func (p *Policy) KeepAlive(m domain.ModelName, coldStart time.Duration, w Weights, _ time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w == (Weights{}) {
		w = p.Weights
	}
	h := p.histories[m]
	if h == nil {
		return w.BreakEven(coldStart, 1)
	}
	h.coldStartSeconds = float32(coldStart.Seconds())
	return h.keepAlive(coldStart, w)
}

func (h *history) keepAlive(coldStart time.Duration, w Weights) time.Duration {
	breakEven := w.BreakEven(coldStart, h.expectedWaiters(coldStart))
	return min(max(h.cheapestKeepAlive(breakEven), breakEven/keepAliveRange), keepAliveRange*breakEven)
}

// cheapestKeepAlive returns the keep-alive with the lowest expected cost. Costs are in
// units of idle time; a cold start costs breakEven. A prior that favours breakEven has the
// weight of priorWeight past idle times.
func (h *history) cheapestKeepAlive(breakEven time.Duration) time.Duration {
	best, bestCost := breakEven, priorWeight*float64(breakEven)
	var idleCost float64
	longerIdleTimeCount := float64(h.idleTimeCount)
	for b := range idleTimeBins {
		if longerIdleTimeCount == 0 {
			break
		}
		end := float64(idleTimeBinEnd(b))
		n := float64(h.idleTimes[b])
		idleCost += n * end
		longerIdleTimeCount -= n
		if time.Duration(end) > keepAliveRange*breakEven {
			break
		}
		cost := idleCost + longerIdleTimeCount*(end+float64(breakEven)) + priorKeepAliveCost(end, float64(breakEven))
		if b == 0 || cost < bestCost {
			best, bestCost = time.Duration(end), cost
		}
	}
	return best
}

// priorKeepAliveCost returns the cost that the prior adds to a keep-alive. It grows
// linearly with the difference from the break-even time.
func priorKeepAliveCost(keepAlive, breakEven float64) float64 {
	if keepAlive < breakEven {
		return priorWeight * (breakEven - keepAlive)
	}
	return priorWeight * (keepAlive - breakEven)
}

// ModelsToPrewarm returns the models to load now, because requests for them are expected
// about one cold start later. It returns a model once for each slot with expected
// requests; the caller skips models that are already loaded. An unused load costs no
// more than the cold start that it would have saved.
func (p *Policy) ModelsToPrewarm(now time.Time, coldStart func(domain.ModelName) time.Duration) []domain.ModelName {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []domain.ModelName
	for len(p.prewarm) > 0 && p.prewarm[0].history.prewarmCheckAt <= now.UnixNano() {
		e := p.prewarm[0]
		e.history.coldStartSeconds = float32(coldStart(e.model).Seconds())
		readyAt := now.Add(e.history.coldStart())
		if e.history.arrivalProbability(slotOf(readyAt), now.UnixNano()) > p.prewarmThreshold(e.history) {
			out = append(out, e.model)
		}
		p.schedulePrewarm(e.model, e.history, readyAt)
	}
	return out
}

// coldStart returns the latest cold-start time of the model.
func (h *history) coldStart() time.Duration {
	return time.Duration(float64(h.coldStartSeconds) * float64(time.Second))
}

// prewarmThreshold returns the arrival probability of a slot at which the expected saving
// of a pre-warming load is prewarmMargin times its expected cost. The cost is the idle time
// from the load until the arrival, which is on average in the middle of the slot, or until
// the end of the slot if no request arrives.
func (p *Policy) prewarmThreshold(h *history) float64 {
	coldStart := h.coldStart()
	breakEven := p.Weights.BreakEven(max(coldStart, time.Second), h.expectedWaiters(coldStart))
	return prewarmMargin * float64(coldStart+slotLength) / (float64(breakEven) + prewarmMargin*float64(slotLength)/2)
}

// schedulePrewarm queues m for the next slot after at that is worth a pre-warming load, or
// removes it from the queue if there is none.
func (p *Policy) schedulePrewarm(m domain.ModelName, h *history, at time.Time) {
	slot, ok := h.nextLikelySlot(slotOf(at)+1, p.prewarmThreshold(h), at.UnixNano())
	if !ok {
		if h.heapIndex > 0 {
			heap.Remove(&p.prewarm, int(h.heapIndex-1))
		}
		return
	}
	_, offset := at.Zone()
	start := (slot*int64(slotLength/time.Second) - int64(offset)) * int64(time.Second)
	h.prewarmCheckAt = start - int64(h.coldStart())
	if h.heapIndex == 0 {
		heap.Push(&p.prewarm, prewarmEntry{m, h})
		return
	}
	heap.Fix(&p.prewarm, int(h.heapIndex-1))
}

// ArrivalProbability returns the probability of a request for m within an hour of now.
func (p *Policy) ArrivalProbability(m domain.ModelName, now time.Time) float64 {
	return p.ArrivalProbabilityWithin(m, now, time.Hour)
}

// ArrivalProbabilityWithin returns the probability of a request for m within d of now.
func (p *Policy) ArrivalProbabilityWithin(m domain.ModelName, now time.Time, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.histories[m]
	if h == nil {
		return 0
	}
	noArrivalProbability := 1.0
	for i := range int64(d / slotLength) {
		noArrivalProbability *= 1 - h.arrivalProbability(slotOf(now)+i, now.UnixNano())
	}
	return max(1-noArrivalProbability, h.arrivalProbabilityFromIdleTimes(now, d))
}

// arrivalProbabilityFromIdleTimes estimates the probability that the current idle time
// ends within d of now. It takes the past idle times that were at least as long as the
// current idle time, and returns the fraction of them that ended within a further d.
// The current idle time counts among them as one that did not end.
func (h *history) arrivalProbabilityFromIdleTimes(now time.Time, d time.Duration) float64 {
	idle := now.Sub(time.Unix(0, h.lastArrival))
	var endedWithin, total float64
	for b := idleTimeBin(idle); b < idleTimeBins; b++ {
		total += float64(h.idleTimes[b])
		if idleTimeBinEnd(b) <= idle+d {
			endedWithin += float64(h.idleTimes[b])
		}
	}
	return endedWithin / (total + 1)
}

// ExpectedWaiters returns the expected number of requests that wait for one cold start of
// m. A request that waits for only part of it counts as that fraction. The result is 1 for
// a model without history.
func (p *Policy) ExpectedWaiters(m domain.ModelName, coldStart time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.histories[m]
	if h == nil {
		return 1
	}
	return h.expectedWaiters(coldStart)
}
