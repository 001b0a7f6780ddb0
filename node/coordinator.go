package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/operator"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// coldStartTimeout bounds one wake, whoever waits for it.
	coldStartTimeout = 2 * time.Minute
	// candidateRetryInterval is the wait between two rounds over the candidate servers.
	candidateRetryInterval = 200 * time.Millisecond
	// noCandidateTimeout ends a wake for which no server has been a candidate for so
	// long. It is longer than a lease takes to move.
	noCandidateTimeout = 5 * time.Second
	// routeValidity is how long an entry may use a home's answer.
	routeValidity = 2 * time.Second
	// initialColdStartEstimate is the estimate before any wake of a model was seen.
	initialColdStartEstimate = 500 * time.Millisecond
)

// Coordinator decides wakes for the models whose home this node is. Askers for one cold
// model share one wake. Two homes for one model, while views differ, cost a second
// proposal at most: permits hold the limit.
type Coordinator struct {
	deps *Deps
	// leases loads on servers that this node owns itself.
	leases *LeaseManager

	mu         sync.Mutex
	coldStarts map[domain.ModelName]*flight
	// waiters counts who waits for each model; guarded by mu.
	waiters map[domain.ModelName]int
	// coldStartDurations is the smoothed duration of past wakes; guarded by mu.
	coldStartDurations map[domain.ModelName]time.Duration
}

// NewCoordinator returns a Home that has seen no wake.
func NewCoordinator(d *Deps, o *LeaseManager) *Coordinator {
	return &Coordinator{
		deps:               d,
		leases:             o,
		coldStarts:         make(map[domain.ModelName]*flight),
		waiters:            make(map[domain.ModelName]int),
		coldStartDurations: make(map[domain.ModelName]time.Duration),
	}
}

// EnsureReplica returns the servers that have a model loaded, waking one if there is none.
func (h *Coordinator) EnsureReplica(ctx context.Context, w peer.Wake) (peer.Replicas, error) {
	asked := time.Now()
	if ready := h.readyServers(w, asked); len(ready) > 0 {
		return peer.Replicas{Model: w.Model, Servers: ready, ValidFor: routeValidity}, nil
	}
	if err := h.admit(w); err != nil {
		h.deps.recordDecision(w, decisions.Refused, "", "the home refused to wake the model: "+verdict.Of(err).Reason.String())
		return peer.Replicas{}, err
	}
	h.deps.recordDecision(w, decisions.Queued, "", "waits for a cold start at the home, expected to take "+h.estimate(w.Model).Round(time.Millisecond).String())
	ctx, cancel := context.WithTimeout(ctx, w.Within)
	defer cancel()
	defer h.addWaiter(w.Model)()
	late := verdict.Refuse(verdict.DeadlineTooShort, "the model cannot be loaded in time").After(h.estimate(w.Model))
	for {
		if err := h.sharedColdStart(ctx, w).wait(ctx, late); err != nil {
			return peer.Replicas{}, err
		}
		if ready := h.readyServers(w, asked); len(ready) > 0 {
			return peer.Replicas{Model: w.Model, Servers: ready, Woken: true, ValidFor: routeValidity}, nil
		}
		// The replica was loaded and is not in the reports yet, or is gone again.
		select {
		case <-ctx.Done():
			return peer.Replicas{}, late
		case <-time.After(h.reportPollInterval(w)):
		}
	}
}

// reportPollInterval is how long to wait for the next report. A server that just failed
// the asker may look loaded for a while.
func (h *Coordinator) reportPollInterval(w peer.Wake) time.Duration {
	if len(w.Exclude) > 0 {
		return pollInterval
	}
	return pollInterval / 5
}

// readyServers returns servers with the model loaded, with the adapter where one is
// named. A server that just failed the asker counts again once a report that is
// newer than the question shows it loaded.
func (h *Coordinator) readyServers(w peer.Wake, asked time.Time) []domain.ServerID {
	var out []domain.ServerID
	for _, l := range h.deps.Reports.Ready(w.Model, time.Now()) {
		if w.Adapter != "" && !slices.Contains(l.Model.Adapters, w.Adapter) {
			continue
		}
		if slices.Contains(w.Exclude, l.Server) && !l.At.After(asked) {
			continue
		}
		out = append(out, l.Server)
	}
	return out
}

// admit refuses at once what cannot be in time.
func (h *Coordinator) admit(w peer.Wake) error {
	model, ok := h.modelConfiguration(w.Model)
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if model.Copies < 1 {
		return verdict.Refuse(verdict.NoCapacity, "no replica of the model is allowed")
	}
	if h.deps.IsLogDown() && !h.hasPermit(w.Model) {
		return verdict.Refuse(verdict.LogUnavailable, "the model has no permit yet and none can be had while the platform's log is down").After(loadRetryAfter)
	}
	if e := h.estimate(w.Model); e > w.Within {
		return verdict.Refuse(verdict.DeadlineTooShort, "the model is not loaded and cannot be loaded in time").After(e)
	}
	return nil
}

// hasPermit tells whether a server may load the model without the log.
func (h *Coordinator) hasPermit(m domain.ModelName) bool {
	var held bool
	h.deps.State.View(func(s *fold.State) { held = len(serversWithPermit(s, m)) > 0 })
	return held
}

func (h *Coordinator) modelConfiguration(m domain.ModelName) (model configuration.Model, ok bool) {
	h.deps.State.View(func(s *fold.State) { model, ok = s.Model(m) })
	return model, ok
}

// estimate is how long a wake of the model is expected to take.
func (h *Coordinator) estimate(m domain.ModelName) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.coldStartDurations[m]; d > 0 {
		return d
	}
	return initialColdStartEstimate
}

// handleWake is Wake for another node. A home that stops says so, whatever its
// stop did to the wake, so that the asker goes to the next home.
func (h *Coordinator) handleWake(ctx context.Context, w peer.Wake) (peer.Message, error) {
	r, err := h.EnsureReplica(ctx, w)
	if err != nil && h.deps.IsLeaving() {
		return nil, verdict.Refuse(verdict.Draining, "the model's home is stopping")
	}
	return r, err
}

// sharedColdStart returns the running wake of the model or starts one.
func (h *Coordinator) sharedColdStart(ctx context.Context, w peer.Wake) *flight {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.coldStarts[w.Model]; f != nil {
		return f
	}
	f := &flight{done: make(chan struct{}), startedAt: time.Now()}
	h.coldStarts[w.Model] = f
	go h.runColdStart(context.WithoutCancel(ctx), w, f)
	return f
}

func (h *Coordinator) runColdStart(ctx context.Context, w peer.Wake, f *flight) {
	ctx, cancel := context.WithTimeout(ctx, coldStartTimeout)
	defer cancel()
	start := time.Now()
	f.err = h.loadOnAnyCandidate(ctx, w)
	h.mu.Lock()
	if f.err == nil {
		h.coldStartDurations[w.Model] = smoothDuration(h.coldStartDurations[w.Model], time.Since(start))
	}
	delete(h.coldStarts, w.Model)
	h.mu.Unlock()
	close(f.done)
	h.deps.Logger.Info().Str("Event", "WakeEnded").Str("Model", string(w.Model)).Dur("Took", time.Since(start)).
		Bool("Ok", f.err == nil).AnErr("Cause", f.err).Msg("wake ended")
}

// smoothDuration weighs a new duration a quarter.
func smoothDuration(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return (3*old + d) / 4
}

// loadOnAnyCandidate tries candidate servers until one has the model loaded.
func (h *Coordinator) loadOnAnyCandidate(ctx context.Context, w peer.Wake) error {
	last := noCapacity("no backend server can load the model")
	hopeful := time.Now()
	for {
		for _, c := range h.candidates(w) {
			err := h.loadOn(ctx, c, w)
			if err == nil {
				return nil
			}
			last = err
			if ctx.Err() != nil {
				return last
			}
		}
		h.releaseUnusedPermit(ctx, w.Model)
		select {
		case <-ctx.Done():
			return last
		case <-time.After(candidateRetryInterval):
		}
		if _, ok := h.modelConfiguration(w.Model); !ok {
			return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
		}
		if len(h.candidates(w)) > 0 {
			hopeful = time.Now()
		}
		if time.Since(hopeful) >= noCandidateTimeout || h.waiterCount(w.Model) == 0 {
			return last
		}
	}
}

// waiterCount counts the askers of a wake. A wake that nobody waits for any more ends:
// no accelerator is loaded for nobody.
func (h *Coordinator) waiterCount(m domain.ModelName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiters[m]
}

// ColdStarts lists the wakes in progress.
func (h *Coordinator) ColdStarts() []operator.WakeStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]operator.WakeStatus, 0, len(h.coldStarts))
	for m, f := range h.coldStarts {
		out = append(out, operator.WakeStatus{Model: m, Callers: h.waiters[m], Since: time.Since(f.startedAt)})
	}
	return out
}

// addWaiter counts an asker until the returned function is called.
func (h *Coordinator) addWaiter(m domain.ModelName) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiters[m]++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.waiters[m]--; h.waiters[m] == 0 {
			delete(h.waiters, m)
		}
	}
}

func (h *Coordinator) loadOn(ctx context.Context, c candidate, w peer.Wake) error {
	h.deps.recordDecision(w, decisions.LoadAsked, c.server, "asked its owner "+string(c.owner))
	l := peer.Load{Server: c.server, Model: w.Model, Adapter: w.Adapter, Within: coldStartTimeout}
	if c.owner == h.deps.nodeID() {
		_, err := h.leases.Load(ctx, l)
		return err
	}
	a, err := h.deps.Mesh.Call(ctx, c.owner, l)
	if loaded, ok := a.(peer.Loaded); ok {
		for _, r := range loaded.Reports {
			h.deps.Reports.Add(r, time.Now().Add(-loaded.Age))
		}
	}
	return err
}

// releaseUnusedPermit asks for the release of one permit that rests where the model cannot
// be loaded now.
func (h *Coordinator) releaseUnusedPermit(ctx context.Context, m domain.ModelName) {
	now := time.Now()
	for _, p := range h.permitHolders(m) {
		if slices.ContainsFunc(h.deps.Reports.Ready(m, now), func(l Loaded) bool { return l.Server == p.server }) {
			continue
		}
		r := peer.ReleasePermit{Server: p.server, Model: m}
		var err error
		if p.owner == h.deps.nodeID() {
			err = h.leases.ReleasePermit(ctx, r)
		} else {
			_, err = h.deps.Mesh.Call(ctx, p.owner, r)
		}
		if err == nil {
			return
		}
	}
}

func (h *Coordinator) permitHolders(m domain.ModelName) []candidate {
	var out []candidate
	h.deps.State.View(func(s *fold.State) {
		for _, p := range s.Permits(m) {
			if l, ok := s.Lease(p.Server); ok {
				out = append(out, candidate{server: p.Server, owner: l.Owner})
			}
		}
	})
	return out
}
