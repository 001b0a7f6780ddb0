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

// load is how many requests run and wait on one replica.
type load struct {
	running, waiting int
	served           uint64
}

// loadHistory is how the loads stood after each change, for reports that lag.
type loadHistory struct{ past []loadReport }

type loadReport struct {
	at    time.Time
	loads map[string]load
}

// before returns the loads as they stood at an instant.
func (h *loadHistory) before(at time.Time) map[string]load {
	var shown map[string]load
	for _, r := range h.past {
		if r.at.After(at) {
			break
		}
		shown = r.loads
	}
	return shown
}

func (h *loadHistory) add(r loadReport, keep time.Duration) {
	h.past = append(h.past, r)
	oldest := r.at.Add(-keep)
	for len(h.past) > 1 && h.past[1].at.Before(oldest) {
		h.past = h.past[1:]
	}
}

// noteReport keeps the loads for reports that lag; the caller holds the lock.
func (e *modelEngine) noteReport() {
	if e.faults.reportLag <= 0 {
		return
	}
	loads := make(map[string]load, len(e.life.replicas))
	for name, r := range e.life.replicas {
		loads[name] = r.load()
	}
	e.reports.add(loadReport{at: time.Now(), loads: loads}, e.faults.reportLag)
}

func (r *replica) load() load {
	return load{running: r.batch.running, waiting: len(r.batch.waiting), served: r.batch.sequence}
}

func (e *modelEngine) serveState(w http.ResponseWriter, r *http.Request) {
	l, _, done := e.current(r)
	defer done()
	var s wireState
	if !e.locked(l, func() { s = e.state() }) {
		breakOff()
	}
	answer(w, http.StatusOK, s)
}

// state is what the engine reports: which replicas are loaded is always current,
// the counts of requests may lag.
func (e *modelEngine) state() wireState {
	s := wireState{
		Incarnation: e.life.incarnation,
		MemoryBytes: int64(e.options.EngineMemory),
		UsedBytes:   e.used(),
		Replicas:    []wireReplica{},
		DiskCache:   e.diskCache.models(),
		MemoryCache: e.life.memoryCache.models(),
	}
	lagging := e.faults.reportLag > 0
	past := e.reports.before(time.Now().Add(-e.faults.reportLag))
	for _, name := range slices.Sorted(maps.Keys(e.life.replicas)) {
		r := e.life.replicas[name]
		counts := r.load()
		if lagging {
			counts = past[name]
		}
		s.Replicas = append(s.Replicas, r.wire(counts))
	}
	return s
}

func (r *replica) wire(counts load) wireReplica {
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
		Served:      counts.served,
		Adapters:    adapters,
	}
}
