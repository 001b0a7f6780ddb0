package standin

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

type wireState struct {
	Incarnation string
	MemoryBytes int64
	UsedBytes   int64
	Replicas    []wireReplica
	DiskCache   []string
	MemoryCache []string
}

type wireReplica struct {
	Model       string
	Version     string
	MemoryBytes int64
	Loading     bool
	Running     int
	Waiting     int
	Served      uint64
	Adapters    []string
}

// requestCounts are the numbers of requests that run and wait at a replica now, and of all
// that it has received.
type requestCounts struct {
	running, waiting int
	received         uint64
}

// countHistory holds the request counts after each change, oldest first, for delayed
// reports.
type countHistory struct{ snapshots []countSnapshot }

type countSnapshot struct {
	at     time.Time
	counts map[string]requestCounts
}

// asOf returns the counts at an instant, or nil if it is before the first snapshot.
func (h *countHistory) asOf(at time.Time) map[string]requestCounts {
	var found map[string]requestCounts
	for _, r := range h.snapshots {
		if r.at.After(at) {
			break
		}
		found = r.counts
	}
	return found
}

// add appends a snapshot and drops those that ended more than retention ago.
func (h *countHistory) add(s countSnapshot, retention time.Duration) {
	h.snapshots = append(h.snapshots, s)
	oldest := s.at.Add(-retention)
	for len(h.snapshots) > 1 && h.snapshots[1].at.Before(oldest) {
		h.snapshots = h.snapshots[1:]
	}
}

// recordCounts adds the current counts to the history if reports are delayed. The
// caller holds e.mu.
func (e *modelEngine) recordCounts() {
	if e.faults.reportLag <= 0 {
		return
	}
	counts := make(map[string]requestCounts, len(e.incarnation.replicas))
	for name, r := range e.incarnation.replicas {
		counts[name] = r.counts()
	}
	e.countHistory.add(countSnapshot{at: time.Now(), counts: counts}, e.faults.reportLag)
}

func (r *replica) counts() requestCounts {
	return requestCounts{running: r.batch.running, waiting: len(r.batch.waiting), received: r.batch.sequence}
}

func (e *modelEngine) serveState(w http.ResponseWriter, r *http.Request) {
	inc, _, done := e.admitRequest(r)
	defer done()
	var s wireState
	if !e.applyIfCurrent(inc, func() { s = e.toWire() }) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, s)
}

// toWire returns the state report. Loaded replicas are always current; request counts are
// delayed by ReportLagMilliseconds. The caller holds e.mu.
func (e *modelEngine) toWire() wireState {
	s := wireState{
		Incarnation: e.incarnation.id,
		MemoryBytes: int64(e.options.EngineMemory),
		UsedBytes:   e.usedMemory(),
		Replicas:    []wireReplica{},
		DiskCache:   e.diskCache.models(),
		MemoryCache: e.incarnation.memoryCache.models(),
	}
	isDelayed := e.faults.reportLag > 0
	delayed := e.countHistory.asOf(time.Now().Add(-e.faults.reportLag))
	for _, name := range slices.Sorted(maps.Keys(e.incarnation.replicas)) {
		r := e.incarnation.replicas[name]
		counts := r.counts()
		if isDelayed {
			counts = delayed[name]
		}
		s.Replicas = append(s.Replicas, r.toWire(counts))
	}
	return s
}

func (r *replica) toWire(counts requestCounts) wireReplica {
	adapters := []string{}
	for _, name := range slices.Sorted(maps.Keys(r.adapters)) {
		if !r.adapters[name].loading {
			adapters = append(adapters, name)
		}
	}
	return wireReplica{
		Model:       r.model,
		Version:     r.version,
		MemoryBytes: r.memory,
		Loading:     r.loading,
		Running:     counts.running,
		Waiting:     counts.waiting,
		Served:      counts.received,
		Adapters:    adapters,
	}
}
