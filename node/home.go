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
	// coldStartTimeout bounds one cold start, which many requests may share.
	coldStartTimeout = 2 * time.Minute
	// candidateRetryInterval is the pause between two rounds over the candidate servers.
	candidateRetryInterval = 200 * time.Millisecond
	// noCandidateTimeout is how long a cold start continues without a candidate server. It is
	// longer than a lease takes to move to another node.
	noCandidateTimeout = 5 * time.Second
	// routeValidity is how long a node may use the servers in a coordinator's response.
	routeValidity = 2 * time.Second
	// initialColdStartEstimate is the expected duration of a model's first cold start at this
	// coordinator.
	initialColdStartEstimate = 500 * time.Millisecond
)

// Coordinator runs the cold starts of the models that rendezvous hashing assigns to this
// node, and adds replicas to models that are saturated. Peer messages and decision records
// name the coordinator of a model its "home". Concurrent requests for one cold model share
// one cold start (single flight). While nodes see different members, a model may have two
// coordinators. This costs at most another proposal, because the permits in the replicated
// state enforce the number of copies.
type Coordinator struct {
	deps *Deps
	// leaseManager loads models on servers that this node owns.
	leaseManager *LeaseManager

	mu sync.Mutex
	// coldStarts holds the running cold start of each model; guarded by mu.
	coldStarts map[domain.ModelName]*flight
	// waiterCounts is the number of requests that wait for each model; guarded by mu.
	waiterCounts map[domain.ModelName]int
	// coldStartDurations is the moving average of the cold start durations of each model;
	// guarded by mu.
	coldStartDurations map[domain.ModelName]time.Duration
}

// NewCoordinator returns a Coordinator that has no cold start in progress.
func NewCoordinator(d *Deps, m *LeaseManager) *Coordinator {
	return &Coordinator{
		deps:               d,
		leaseManager:       m,
		coldStarts:         make(map[domain.ModelName]*flight),
		waiterCounts:       make(map[domain.ModelName]int),
		coldStartDurations: make(map[domain.ModelName]time.Duration),
	}
}

// EnsureReplica returns the servers that have a model, and its adapter if named, loaded. If
// there is none, it waits for the running cold start of the model, or starts one.
func (c *Coordinator) EnsureReplica(ctx context.Context, w peer.Wake) (peer.Replicas, error) {
	requestedAt := time.Now()
	if ready := c.readyServers(w, requestedAt); len(ready) > 0 {
		return peer.Replicas{Model: w.Model, Servers: ready, ValidFor: routeValidity}, nil
	}
	if err := c.admit(w); err != nil {
		c.deps.recordDecision(w, decisions.Refused, "", "the home refused to wake the model: "+verdict.Of(err).Reason.String())
		return peer.Replicas{}, err
	}
	c.deps.recordDecision(w, decisions.Queued, "", "waits for a cold start at the home, expected to take "+c.estimateColdStart(w.Model).Round(time.Millisecond).String())
	ctx, cancel := context.WithTimeout(ctx, w.Within)
	defer cancel()
	defer c.addWaiter(w.Model)()
	timeoutErr := verdict.Refuse(verdict.DeadlineTooShort, "the model cannot be loaded in time").WithRetryAfter(c.estimateColdStart(w.Model))
	for {
		if err := c.sharedColdStart(ctx, w).wait(ctx, timeoutErr); err != nil {
			return peer.Replicas{}, err
		}
		if ready := c.readyServers(w, requestedAt); len(ready) > 0 {
			return peer.Replicas{Model: w.Model, Servers: ready, ColdStart: true, ValidFor: routeValidity}, nil
		}
		// The cold start succeeded, but no report shows the replica: the report has not
		// arrived yet or the replica has been unloaded again.
		select {
		case <-ctx.Done():
			return peer.Replicas{}, timeoutErr
		case <-time.After(c.reportPollInterval(w)):
		}
	}
}

// reportPollInterval returns how long to wait before the reports are read again. The wait is
// longer if the Wake excludes a server, because the reports of that server change only when
// its owner has polled it again.
func (c *Coordinator) reportPollInterval(w peer.Wake) time.Duration {
	if len(w.Exclude) > 0 {
		return pollInterval
	}
	return pollInterval / 5
}

// readyServers returns the servers that have the model, and the adapter if named, loaded. An
// excluded server counts only if its report was confirmed after the request arrived.
func (c *Coordinator) readyServers(w peer.Wake, requestedAt time.Time) []domain.ServerID {
	var out []domain.ServerID
	for _, l := range c.deps.Reports.ReadyReplicas(w.Model, time.Now()) {
		if w.Adapter != "" && !slices.Contains(l.Replica.Adapters, w.Adapter) {
			continue
		}
		if slices.Contains(w.Exclude, l.Server) && !l.ConfirmedAt.After(requestedAt) {
			continue
		}
		out = append(out, l.Server)
	}
	return out
}

// admit returns an error if the model cannot be loaded now, or if its cold start is expected
// to take longer than the request can wait.
func (c *Coordinator) admit(w peer.Wake) error {
	model, ok := c.modelConfiguration(w.Model)
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if model.Copies < 1 {
		return verdict.Refuse(verdict.NoCapacity, "no replica of the model is allowed")
	}
	if c.deps.IsLogDown() && !c.hasPermit(w.Model) {
		return verdict.Refuse(verdict.LogUnavailable, "the model has no permit yet and none can be had while the platform's log is down").WithRetryAfter(loadRetryAfter)
	}
	if e := c.estimateColdStart(w.Model); e > w.Within {
		return verdict.Refuse(verdict.DeadlineTooShort, "the model is not loaded and cannot be loaded in time").WithRetryAfter(e)
	}
	return nil
}

// hasPermit reports whether a server has a permit for the model that is not revoked, so that
// the load needs no new record in the log.
func (c *Coordinator) hasPermit(m domain.ModelName) bool {
	var attached bool
	c.deps.State.View(func(s *fold.State) { attached = len(serversWithPermit(s, m)) > 0 })
	return attached
}

func (c *Coordinator) modelConfiguration(m domain.ModelName) (model configuration.Model, ok bool) {
	c.deps.State.View(func(s *fold.State) { model, ok = s.Model(m) })
	return model, ok
}

// estimateColdStart returns the expected duration of a cold start of the model.
func (c *Coordinator) estimateColdStart(m domain.ModelName) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.coldStartDurations[m]; d > 0 {
		return d
	}
	return initialColdStartEstimate
}

// handleWake handles a Wake message of another node with EnsureReplica. While this node
// shuts down, it replaces every error by Draining, so that the requester tries the next
// coordinator.
func (c *Coordinator) handleWake(ctx context.Context, w peer.Wake) (peer.Message, error) {
	r, err := c.EnsureReplica(ctx, w)
	if err != nil && c.deps.IsLeaving() {
		return nil, verdict.Refuse(verdict.Draining, "the model's home is stopping")
	}
	return r, err
}

// sharedColdStart returns the running cold start of the model or starts one.
func (c *Coordinator) sharedColdStart(ctx context.Context, w peer.Wake) *flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.coldStarts[w.Model]; f != nil {
		return f
	}
	f := &flight{done: make(chan struct{}), startedAt: time.Now()}
	c.coldStarts[w.Model] = f
	go c.runColdStart(context.WithoutCancel(ctx), w, f)
	return f
}

func (c *Coordinator) runColdStart(ctx context.Context, w peer.Wake, f *flight) {
	ctx, cancel := context.WithTimeout(ctx, coldStartTimeout)
	defer cancel()
	start := time.Now()
	f.err = c.loadOnAnyCandidate(ctx, w)
	c.mu.Lock()
	if f.err == nil {
		c.coldStartDurations[w.Model] = smoothDuration(c.coldStartDurations[w.Model], time.Since(start))
	}
	delete(c.coldStarts, w.Model)
	c.mu.Unlock()
	close(f.done)
	c.deps.Logger.Info().Str("Event", "WakeEnded").Str("Model", string(w.Model)).Dur("Took", time.Since(start)).
		Bool("Ok", f.err == nil).AnErr("Cause", f.err).Msg("cold start ended")
}

// smoothDuration returns the exponentially weighted moving average after another duration d,
// which has a weight of one quarter. An average of 0 means that d is the first duration.
func smoothDuration(average, d time.Duration) time.Duration {
	if average == 0 {
		return d
	}
	return (3*average + d) / 4
}

// loadOnAnyCandidate tries to load the model on each candidate server, in rounds, until one
// load succeeds. Between rounds it asks owners to release an unused permit of the model. It
// returns an error early when the model is no longer configured, when there has been no
// candidate for noCandidateTimeout, or when no request waits any more: an unused replica
// would occupy an accelerator for nothing.
func (c *Coordinator) loadOnAnyCandidate(ctx context.Context, w peer.Wake) error {
	lastErr := noCapacity("no backend server can load the model")
	lastCandidateAt := time.Now()
	for {
		for _, target := range c.candidates(w) {
			err := c.loadOn(ctx, target, w)
			if err == nil {
				return nil
			}
			lastErr = err
			if ctx.Err() != nil {
				return lastErr
			}
		}
		c.releaseUnusedPermit(ctx, w.Model)
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(candidateRetryInterval):
		}
		if _, ok := c.modelConfiguration(w.Model); !ok {
			return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
		}
		if len(c.candidates(w)) > 0 {
			lastCandidateAt = time.Now()
		}
		if time.Since(lastCandidateAt) >= noCandidateTimeout || c.waiterCount(w.Model) == 0 {
			return lastErr
		}
	}
}

func (c *Coordinator) waiterCount(m domain.ModelName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiterCounts[m]
}

// ColdStarts lists the cold starts in progress.
func (c *Coordinator) ColdStarts() []operator.ColdStartStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]operator.ColdStartStatus, 0, len(c.coldStarts))
	for m, f := range c.coldStarts {
		out = append(out, operator.ColdStartStatus{Model: m, Callers: c.waiterCounts[m], Since: time.Since(f.startedAt)})
	}
	return out
}

// addWaiter counts a waiting request until the returned function is called.
func (c *Coordinator) addWaiter(m domain.ModelName) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiterCounts[m]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiterCounts[m]--; c.waiterCounts[m] == 0 {
			delete(c.waiterCounts, m)
		}
	}
}

// loadOn loads the model on one server, through the node that owns it.
func (c *Coordinator) loadOn(ctx context.Context, target candidate, w peer.Wake) error {
	c.deps.recordDecision(w, decisions.LoadAsked, target.server, "asked its owner "+string(target.owner))
	l := peer.Load{Server: target.server, Model: w.Model, Adapter: w.Adapter, Within: coldStartTimeout}
	if target.owner == c.deps.nodeID() {
		_, err := c.leaseManager.Load(ctx, l)
		return err
	}
	response, err := c.deps.Mesh.Call(ctx, target.owner, l)
	if loaded, ok := response.(peer.Loaded); ok {
		for _, r := range loaded.Reports {
			c.deps.Reports.Add(r, time.Now().Add(-loaded.Age))
		}
	}
	return err
}

// releaseUnusedPermit asks the owners of servers that hold a permit for the model but have
// no ready replica, one after another, until one releases its permit.
func (c *Coordinator) releaseUnusedPermit(ctx context.Context, m domain.ModelName) {
	now := time.Now()
	for _, p := range c.permitHolders(m) {
		if slices.ContainsFunc(c.deps.Reports.ReadyReplicas(m, now), func(l ReadyReplica) bool { return l.Server == p.server }) {
			continue
		}
		r := peer.ReleasePermit{Server: p.server, Model: m}
		var err error
		if p.owner == c.deps.nodeID() {
			err = c.leaseManager.ReleasePermit(ctx, r)
		} else {
			_, err = c.deps.Mesh.Call(ctx, p.owner, r)
		}
		if err == nil {
			return
		}
	}
}

// permitHolders returns the leased servers with a permit for the model. Only server and owner
// are set in each candidate.
func (c *Coordinator) permitHolders(m domain.ModelName) []candidate {
	var out []candidate
	c.deps.State.View(func(s *fold.State) {
		for _, p := range s.Permits(m) {
			if l, ok := s.Lease(p.Server); ok {
				out = append(out, candidate{server: p.Server, owner: l.Owner})
			}
		}
	})
	return out
}
