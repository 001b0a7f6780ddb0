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

// cacheEventLog are an engine's events about its prefix cache. They are shown late
// and some are lost, which leaves a gap in the sequence.
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

// page returns the events from a sequence on that happened before an instant.
func (c *cacheEventLog) page(from uint64, before time.Time) wireCacheEvents {
	w := wireCacheEvents{Oldest: c.lastSequence + 1, Next: from, Events: []wireCacheEvent{}}
	if len(c.events) > 0 {
		w.Oldest = c.events[0].event.Sequence
	}
	for _, k := range c.events {
		if k.at.After(before) || len(w.Events) == maximumPageCacheEvents {
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

// recordCacheEvent records an event; the caller holds the lock.
func (e *modelEngine) recordCacheEvent(event wireCacheEvent) {
	e.cacheEvents.add(event, e.random.occurs(e.faults.loseEvents), time.Now())
}

// prefill returns how many blocks of a prompt the engine has to compute, and
// keeps them.
func (e *modelEngine) prefill(inc *incarnation, request chatRequest) int {
	hashes := blockHashes(request.model, request.adapter, request.prompt.allMessages)
	var computed int
	e.ifCurrent(inc, func() {
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
	if !e.ifCurrent(inc, func() { page = e.cacheEvents.page(from, time.Now().Add(-e.faults.eventLag)) }) {
		abortConnection()
	}
	page.Incarnation = inc.id
	writeJSON(w, http.StatusOK, page)
}
