package standin

import (
	"net/http"
	"strconv"
	"time"
)

const (
	cacheEventsKept = 10_000
	cacheEventsPage = 1000
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

// cacheEvents are an engine's events about its prefix cache. They are shown late
// and some are lost, which leaves a gap in the sequence.
type cacheEvents struct {
	last uint64
	kept []timedEvent
}

type timedEvent struct {
	at    time.Time
	event wireCacheEvent
}

func (c *cacheEvents) add(e wireCacheEvent, lost bool, now time.Time) {
	c.last++
	if lost {
		return
	}
	e.Sequence = c.last
	c.kept = append(c.kept, timedEvent{at: now, event: e})
	c.kept = c.kept[max(0, len(c.kept)-cacheEventsKept):]
}

// page returns the events from a sequence on that happened before an instant.
func (c *cacheEvents) page(from uint64, before time.Time) wireCacheEvents {
	w := wireCacheEvents{Oldest: c.last + 1, Next: from, Events: []wireCacheEvent{}}
	if len(c.kept) > 0 {
		w.Oldest = c.kept[0].event.Sequence
	}
	for _, k := range c.kept {
		if k.at.After(before) || len(w.Events) == cacheEventsPage {
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

// noteCache records an event; the caller holds the lock.
func (e *modelEngine) noteCache(event wireCacheEvent) {
	e.events.add(event, e.chance.hit(e.faults.loseEvents), time.Now())
}

// prefill returns how many blocks of a prompt the engine has to compute, and
// keeps them.
func (e *modelEngine) prefill(l *life, c chat) int {
	hashes := blockHashes(c.model, c.adapter, c.prompt.all)
	var computed int
	e.locked(l, func() {
		stored, evicted := l.prefixes.use(c.model, hashes)
		computed = len(stored)
		if len(stored)+len(evicted) > 0 {
			e.noteCache(wireCacheEvent{
				Model:   c.model,
				Adapter: c.adapter,
				Stored:  hexadecimal(stored),
				Evicted: hexadecimal(evicted),
			})
		}
	})
	return computed
}

func (e *modelEngine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	l, _, done := e.current(r)
	defer done()
	from := uint64(1)
	if v := r.URL.Query().Get("from"); v != "" {
		parsed, err := strconv.ParseUint(v, 10, 63)
		if err != nil || parsed == 0 {
			fail(w, http.StatusBadRequest, "BadRequest")
			return
		}
		from = parsed
	}
	var page wireCacheEvents
	if !e.locked(l, func() { page = e.events.page(from, time.Now().Add(-e.faults.eventLag)) }) {
		breakOff()
	}
	page.Incarnation = l.incarnation
	answer(w, http.StatusOK, page)
}
