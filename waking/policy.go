package waking

import (
	"container/heap"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// trust is how far a model's own history may move its keep-alive from the
	// break-even time, up or down.
	trust = 4
	// WrongGuess is the most that one idle time may cost, as a multiple of the best choice in
	// hindsight between staying loaded and one cold start: a stay of break-even × trust
	// costs trust + 1 cold starts where none was needed, one of break-even ÷ trust costs
	// trust + 1 times what a slightly longer one would have.
	WrongGuess = trust + 1
	// priorGaps is how many idle times the break-even rule counts for against
	// a model's own.
	priorGaps = 3
)

// Policy learns when each model is needed. The zero Policy works and may be used by
// several goroutines.
type Policy struct {
	// Weights are the prices that Due decides on.
	Weights Weights

	mu     sync.Mutex
	models map[domain.ModelName]*history
	// plan orders models by when they are looked at next.
	plan plan
}

// Arrived notes that n requests for m arrived at. Times of one model must not go back.
func (p *Policy) Arrived(m domain.ModelName, at time.Time, n int) {
	if n <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.models[m]
	if h == nil {
		if p.models == nil {
			p.models = make(map[domain.ModelName]*history)
		}
		h = &history{}
		p.models[m] = h
	}
	if h.arrived(at, n) {
		p.replan(m, h, at)
	}
}

// Forget drops what is known of a model that is no longer configured.
func (p *Policy) Forget(m domain.ModelName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.models[m]; h != nil && h.heap > 0 {
		heap.Remove(&p.plan, int(h.heap-1))
	}
	delete(p.models, m)
}

// KeepFor returns how long an idle replica of m stays loaded after its last request. It
// minimises the expected cost over the model's past idle times, within a
// factor of trust of the break-even time, which alone decides while there is no history. Zero
// weights stand for the policy's own.
// Any idle time then costs at most WrongGuess times the best in hindsight.
func (p *Policy) KeepFor(m domain.ModelName, coldStart time.Duration, w Weights, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w == (Weights{}) {
		w = p.Weights
	}
	h := p.models[m]
	if h == nil {
		return w.BreakEven(coldStart, 1)
	}
	h.lead = float32(coldStart.Seconds())
	return h.keepFor(coldStart, w.orDefaults(), now)
}

func (h *history) keepFor(coldStart time.Duration, w Weights, now time.Time) time.Duration {
	even := w.BreakEven(coldStart, h.callers())
	stay := h.cheapest(even)
	if end := h.hotUntil(now, even); end > stay {
		stay = end
	}
	return min(max(stay, even/trust), trust*even)
}

// cheapest returns the stay with the least expected cost, in units of idle time: a cold
// start counts as even. The prior is one idle time distribution of weight
// priorGaps for which staying for even is best.
func (h *history) cheapest(even time.Duration) time.Duration {
	best, bestCost := even, priorGaps*float64(even)
	var before float64
	left := float64(h.gapCount)
	for b := range gapBins {
		if left == 0 {
			break
		}
		end := float64(binEnd(b))
		n := float64(h.gaps[b])
		before += n * end
		left -= n
		if time.Duration(end) > trust*even {
			break
		}
		cost := before + left*(end+float64(even)) + priorCost(end, float64(even))
		if b == 0 || cost < bestCost {
			best, bestCost = time.Duration(end), cost
		}
	}
	return best
}

// priorCost grows with the distance from the break-even time.
func priorCost(stay, even float64) float64 {
	if stay < even {
		return priorGaps * (even - stay)
	}
	return priorGaps * (stay - even)
}

// hotUntil returns how long the current and the next slots are likely enough to
// see another arrival that staying is cheaper than loading again.
func (h *history) hotUntil(now time.Time, even time.Duration) time.Duration {
	slot := slotOf(now)
	var until time.Duration
	for i := int64(0); time.Duration(i)*slotTime < trust*even; i++ {
		if h.expects(slot+i, now.UnixNano())*float64(even) < float64(slotTime) {
			break
		}
		until = time.Duration(i+1) * slotTime
	}
	if until == 0 {
		return 0
	}
	_, offset := now.Zone()
	into := time.Duration((now.Unix()+int64(offset))%int64(slotTime/time.Second)) * time.Second
	return until - into
}

// Due returns the models to load now, ahead of callers that are expected soon after lead,
// the model's cold-start time. Each model is named once for each expected slot; the caller leaves
// out what is loaded. An unused load costs no more than the cold start that it would have
// saved.
func (p *Policy) Due(now time.Time, lead func(domain.ModelName) time.Duration) []domain.ModelName {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []domain.ModelName
	for len(p.plan) > 0 && p.plan[0].h.due <= now.UnixNano() {
		e := p.plan[0]
		e.h.lead = float32(lead(e.m).Seconds())
		ahead := now.Add(e.h.leadTime())
		if p.worth(e.h, slotOf(ahead), now) {
			out = append(out, e.m)
		}
		p.replan(e.m, e.h, ahead)
	}
	return out
}

func (h *history) leadTime() time.Duration {
	return time.Duration(float64(h.lead) * float64(time.Second))
}

// worth tells whether loading m for a slot saves more than it is expected to cost.
func (p *Policy) worth(h *history, slot int64, now time.Time) bool {
	lead := h.leadTime()
	even := p.Weights.BreakEven(max(lead, time.Second), h.callers())
	chance := h.expects(slot, now.UnixNano())
	idle := float64(lead) + float64(slotTime)*(1-chance/2)
	return chance*float64(even) > idle
}

// replan puts m into the plan for the next slot after at that is worth a load.
func (p *Policy) replan(m domain.ModelName, h *history, at time.Time) {
	first := slotOf(at) + 1
	for s := first; s < first+int64(slotsPerWeek); s++ {
		if !p.worth(h, s, at) {
			continue
		}
		_, offset := at.Zone()
		start := (s*int64(slotTime/time.Second) - int64(offset)) * int64(time.Second)
		h.due = start - int64(h.leadTime())
		if h.heap == 0 {
			heap.Push(&p.plan, planned{m, h})
			return
		}
		heap.Fix(&p.plan, int(h.heap-1))
		return
	}
	if h.heap > 0 {
		heap.Remove(&p.plan, int(h.heap-1))
	}
}

// Chance is the probability that m is needed within the hour after now.
func (p *Policy) Chance(m domain.ModelName, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.models[m]
	if h == nil {
		return 0
	}
	none := 1.0
	for i := range int64(time.Hour / slotTime) {
		none *= 1 - h.expects(slotOf(now)+i, now.UnixNano())
	}
	return max(1-none, h.soon(now))
}

// soon is the share of past idle times, longer than the present one, that ended
// within an hour from now.
func (h *history) soon(now time.Time) float64 {
	idle := now.Sub(time.Unix(0, h.last))
	var within, longer float64
	for b := binOf(idle); b < gapBins; b++ {
		longer += float64(h.gaps[b])
		if binEnd(b) <= idle+time.Hour {
			within += float64(h.gaps[b])
		}
	}
	return within / (longer + 1)
}

// Callers is how many requests are expected to wait for one cold start of m.
func (p *Policy) Callers(m domain.ModelName) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.models[m]
	if h == nil {
		return 1
	}
	return h.callers()
}
