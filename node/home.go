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
	// wakeTimeout bounds one wake, whoever waits for it.
	wakeTimeout = 2 * time.Minute
	// wakePause is the wait between two rounds over the candidate servers.
	wakePause = 200 * time.Millisecond
	// hopelessAfter ends a wake for which no server has been a candidate for so
	// long. It is longer than a lease takes to move.
	hopelessAfter = 5 * time.Second
	// routeFor is how long an entry may use a home's answer.
	routeFor = 2 * time.Second
	// firstWakeEstimate is the estimate before any wake of a model was seen.
	firstWakeEstimate = 500 * time.Millisecond
)

// Home decides wakes for the models whose home this node is. Askers for one cold
// model share one wake. Two homes for one model, while views differ, cost a second
// proposal at most: permits hold the limit.
type Home struct {
	deps *Deps
	// local loads on servers that this node owns itself.
	local *Ownership

	mu    sync.Mutex
	wakes map[domain.ModelName]*flight
	// askers counts who waits for each model; guarded by mu.
	askers map[domain.ModelName]int
	// took is the smoothed duration of past wakes; guarded by mu.
	took map[domain.ModelName]time.Duration
}

// NewHome returns a Home that has seen no wake.
func NewHome(d *Deps, o *Ownership) *Home {
	return &Home{
		deps:   d,
		local:  o,
		wakes:  make(map[domain.ModelName]*flight),
		askers: make(map[domain.ModelName]int),
		took:   make(map[domain.ModelName]time.Duration),
	}
}

// Wake returns the servers that have a model loaded, waking one if there is none.
func (h *Home) Wake(ctx context.Context, w peer.Wake) (peer.Replicas, error) {
	asked := time.Now()
	if ready := h.ready(w, asked); len(ready) > 0 {
		return peer.Replicas{Model: w.Model, Servers: ready, ValidFor: routeFor}, nil
	}
	if err := h.admit(w); err != nil {
		h.deps.decided(w, decisions.Refused, "", "the home refused to wake the model: "+verdict.Of(err).Reason.String())
		return peer.Replicas{}, err
	}
	h.deps.decided(w, decisions.Queued, "", "waits for a cold start at the home, expected to take "+h.estimate(w.Model).Round(time.Millisecond).String())
	ctx, cancel := context.WithTimeout(ctx, w.Within)
	defer cancel()
	defer h.enter(w.Model)()
	late := verdict.Refuse(verdict.DeadlineTooShort, "the model cannot be loaded in time").WithRetryAfter(h.estimate(w.Model))
	for {
		if err := h.join(ctx, w).wait(ctx, late); err != nil {
			return peer.Replicas{}, err
		}
		if ready := h.ready(w, asked); len(ready) > 0 {
			return peer.Replicas{Model: w.Model, Servers: ready, Woken: true, ValidFor: routeFor}, nil
		}
		// The replica was loaded and is not in the reports yet, or is gone again.
		select {
		case <-ctx.Done():
			return peer.Replicas{}, late
		case <-time.After(h.reportPause(w)):
		}
	}
}

// reportPause is how long to wait for the next report. A server that just failed
// the asker may look loaded for a while.
func (h *Home) reportPause(w peer.Wake) time.Duration {
	if len(w.Exclude) > 0 {
		return pollInterval
	}
	return pollInterval / 5
}

// ready returns servers with the model loaded, with the adapter where one is
// named. A server that just failed the asker counts again once a report that is
// newer than the question shows it loaded.
func (h *Home) ready(w peer.Wake, asked time.Time) []domain.ServerID {
	var out []domain.ServerID
	for _, l := range h.deps.Reports.Ready(w.Model, time.Now()) {
		if w.Adapter != "" && !slices.Contains(l.Replica.Adapters, w.Adapter) {
			continue
		}
		if slices.Contains(w.Exclude, l.Server) && !l.ConfirmedAt.After(asked) {
			continue
		}
		out = append(out, l.Server)
	}
	return out
}

// admit refuses at once what cannot be in time.
func (h *Home) admit(w peer.Wake) error {
	model, ok := h.model(w.Model)
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if model.Copies < 1 {
		return verdict.Refuse(verdict.NoCapacity, "no replica of the model is allowed")
	}
	if h.deps.LogDown() && !h.holdsPermit(w.Model) {
		return verdict.Refuse(verdict.LogUnavailable, "the model has no permit yet and none can be had while the platform's log is down").WithRetryAfter(retryLoadAfter)
	}
	if e := h.estimate(w.Model); e > w.Within {
		return verdict.Refuse(verdict.DeadlineTooShort, "the model is not loaded and cannot be loaded in time").WithRetryAfter(e)
	}
	return nil
}

// holdsPermit tells whether a server may load the model without the log.
func (h *Home) holdsPermit(m domain.ModelName) bool {
	var held bool
	h.deps.Agreement.View(func(s *fold.State) { held = len(heldBy(s, m)) > 0 })
	return held
}

func (h *Home) model(m domain.ModelName) (model configuration.Model, ok bool) {
	h.deps.Agreement.View(func(s *fold.State) { model, ok = s.Model(m) })
	return model, ok
}

// estimate is how long a wake of the model is expected to take.
func (h *Home) estimate(m domain.ModelName) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.took[m]; d > 0 {
		return d
	}
	return firstWakeEstimate
}

// wakeForPeer is Wake for another node. A home that stops says so, whatever its
// stop did to the wake, so that the asker goes to the next home.
func (h *Home) wakeForPeer(ctx context.Context, w peer.Wake) (peer.Message, error) {
	r, err := h.Wake(ctx, w)
	if err != nil && h.deps.Leaving() {
		return nil, verdict.Refuse(verdict.Draining, "the model's home is stopping")
	}
	return r, err
}

// join returns the running wake of the model or starts one.
func (h *Home) join(ctx context.Context, w peer.Wake) *flight {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.wakes[w.Model]; f != nil {
		return f
	}
	f := &flight{done: make(chan struct{}), began: time.Now()}
	h.wakes[w.Model] = f
	go h.run(context.WithoutCancel(ctx), w, f)
	return f
}

func (h *Home) run(ctx context.Context, w peer.Wake, f *flight) {
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	start := time.Now()
	f.err = h.wake(ctx, w)
	h.mu.Lock()
	if f.err == nil {
		h.took[w.Model] = smooth(h.took[w.Model], time.Since(start))
	}
	delete(h.wakes, w.Model)
	h.mu.Unlock()
	close(f.done)
	h.deps.Logger.Info().Str("Event", "WakeEnded").Str("Model", string(w.Model)).Dur("Took", time.Since(start)).
		Bool("Ok", f.err == nil).AnErr("Cause", f.err).Msg("wake ended")
}

// smooth weighs a new duration a quarter.
func smooth(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return (3*old + d) / 4
}

// wake tries candidate servers until one has the model loaded.
func (h *Home) wake(ctx context.Context, w peer.Wake) error {
	last := noRoom("no backend server can load the model")
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
		h.movePermit(ctx, w.Model)
		select {
		case <-ctx.Done():
			return last
		case <-time.After(wakePause):
		}
		if _, ok := h.model(w.Model); !ok {
			return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
		}
		if len(h.candidates(w)) > 0 {
			hopeful = time.Now()
		}
		if time.Since(hopeful) >= hopelessAfter || h.waiting(w.Model) == 0 {
			return last
		}
	}
}

// waiting counts the askers of a wake. A wake that nobody waits for any more ends:
// no accelerator is loaded for nobody.
func (h *Home) waiting(m domain.ModelName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.askers[m]
}

// Wakes lists the wakes in progress.
func (h *Home) Wakes() []operator.WakeStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]operator.WakeStatus, 0, len(h.wakes))
	for m, f := range h.wakes {
		out = append(out, operator.WakeStatus{Model: m, Callers: h.askers[m], Since: time.Since(f.began)})
	}
	return out
}

// enter counts an asker until the returned function is called.
func (h *Home) enter(m domain.ModelName) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.askers[m]++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.askers[m]--; h.askers[m] == 0 {
			delete(h.askers, m)
		}
	}
}

func (h *Home) loadOn(ctx context.Context, c candidate, w peer.Wake) error {
	h.deps.decided(w, decisions.LoadAsked, c.server, "asked its owner "+string(c.owner))
	l := peer.Load{Server: c.server, Model: w.Model, Adapter: w.Adapter, Within: wakeTimeout}
	if c.owner == h.deps.node() {
		_, err := h.local.Load(ctx, l)
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

// movePermit asks for the release of one permit that rests where the model cannot
// be loaded now.
func (h *Home) movePermit(ctx context.Context, m domain.ModelName) {
	now := time.Now()
	for _, p := range h.resting(m) {
		if slices.ContainsFunc(h.deps.Reports.Ready(m, now), func(l Loaded) bool { return l.Server == p.server }) {
			continue
		}
		r := peer.ReleasePermit{Server: p.server, Model: m}
		var err error
		if p.owner == h.deps.node() {
			err = h.local.Release(ctx, r)
		} else {
			_, err = h.deps.Mesh.Call(ctx, p.owner, r)
		}
		if err == nil {
			return
		}
	}
}

func (h *Home) resting(m domain.ModelName) []candidate {
	var out []candidate
	h.deps.Agreement.View(func(s *fold.State) {
		for _, p := range s.Permits(m) {
			if l, ok := s.Lease(p.Server); ok {
				out = append(out, candidate{server: p.Server, owner: l.Owner})
			}
		}
	})
	return out
}
