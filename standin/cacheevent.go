package standin

import (
	"net/http"
	"strconv"
	"time"
)

const (
	maximumCacheEvents     = 10_000
	maximumPageCacheEvents = 1000
)

type wireCacheEvents struct {
	Incarnation string
	Oldest      uint64
	Next        uint64
	Events      []wireCacheEvent
}

type wireCacheEvent struct {
	Sequence uint64
	Model    string
	Adapter  string   `json:",omitempty"`
	Stored   []string `json:",omitempty"`
	Evicted  []string `json:",omitempty"`
	Cleared  bool     `json:",omitempty"`
}

// cacheEventLog holds the latest events of the prefix cache of an engine. Faults
// delay the events that readers see, and lose events, which leaves gaps in the sequence.
type cacheEventLog struct {
	lastSequence uint64
	events       []timedEvent
}

type timedEvent struct {
	at    time.Time
	event wireCacheEvent
}

func (c *cacheEventLog) add(e wireCacheEvent, lost bool, now time.Time) {
	c.lastSequence++
	if lost {
		return
	}
	e.Sequence = c.lastSequence
	c.events = append(c.events, timedEvent{at: now, event: e})
	c.events = c.events[max(0, len(c.events)-maximumCacheEvents):]
}

// page returns the events with sequence number from or higher that were recorded at or before
// until. It returns at most maximumPageCacheEvents, the oldest first.
func (c *cacheEventLog) page(from uint64, until time.Time) wireCacheEvents {
	w := wireCacheEvents{Oldest: c.lastSequence + 1, Next: from, Events: []wireCacheEvent{}}
	if len(c.events) > 0 {
		w.Oldest = c.events[0].event.Sequence
	}
	for _, k := range c.events {
		if k.at.After(until) || len(w.Events) == maximumPageCacheEvents {
			break
		}
		if k.event.Sequence < from {
			continue
		}
		w.Events = append(w.Events, k.event)
		w.Next = k.event.Sequence + 1
	}
	return w
}

// recordCacheEvent adds an event to the log or, as a fault, loses it. The caller holds e.mu.
func (e *modelEngine) recordCacheEvent(event wireCacheEvent) {
	e.cacheEvents.add(event, e.random.occurs(e.faults.cacheEventLossShare), time.Now())
}

// prefill adds the blocks of a prompt to the prefix cache and returns how many were not
// cached.
func (e *modelEngine) prefill(inc *incarnation, request chatRequest) int {
	hashes := blockHashes(request.model, request.adapter, request.prompt.allMessages)
	var computed int
	e.applyIfCurrent(inc, func() {
		stored, evicted := inc.prefixCache.touch(request.model, hashes)
		computed = len(stored)
		if len(stored)+len(evicted) > 0 {
			e.recordCacheEvent(wireCacheEvent{
				Model:   request.model,
				Adapter: request.adapter,
				Stored:  toHex(stored),
				Evicted: toHex(evicted),
			})
		}
	})
	return computed
}

func (e *modelEngine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	inc, _, done := e.admitRequest(r)
	defer done()
	from := uint64(1)
	if v := r.URL.Query().Get("from"); v != "" {
		parsed, err := strconv.ParseUint(v, 10, 63)
		if err != nil || parsed == 0 {
			writeError(w, http.StatusBadRequest, "BadRequest")
			return
		}
		from = parsed
	}
	var page wireCacheEvents
	if !e.applyIfCurrent(inc, func() { page = e.cacheEvents.page(from, time.Now().Add(-e.faults.cacheEventLag)) }) {
		abortConnection()
	}
	page.Incarnation = inc.id
	writeJSON(w, http.StatusOK, page)
}
