package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/owner"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// pollInterval is how often an owner reads the state of its server.
	pollInterval = 250 * time.Millisecond
	// pollTimeout bounds one read of a server's state.
	pollTimeout = 2 * time.Second
	// unresponsiveAfter is how old the last response of a server must be before reports show
	// the server as not alive.
	unresponsiveAfter = time.Second
	// fenceRenewalDelay is how long a server must have orders of unknown outcome before its
	// owner renews the lease to get a newer fencing token.
	fenceRenewalDelay = 2 * time.Second
	// proposalTimeoutWhilePolling bounds a proposal in the polling loop. The loop must poll
	// the server also while the log is down.
	proposalTimeoutWhilePolling = time.Second
	// orderTimeout bounds an order other than LoadModel.
	orderTimeout = 5 * time.Second
	// loadOrderTimeout bounds a LoadModel order, which includes the whole load.
	loadOrderTimeout = 2 * time.Minute
)

// serverController runs one backend server under one lease of this node: it polls the
// server, issues orders under the lease's fencing token and publishes reports.
type serverController struct {
	deps       *Deps
	paceClient *PaceClient
	lease      fold.Lease
	log        zerolog.Logger

	mu sync.Mutex
	// account decides which orders may be issued to the server.
	account owner.Account
	// state is the engine state that the server returned last, at stateReadAt.
	state       engine.State
	stateReadAt time.Time
	// lastUsedAt is when this node last saw a request on each replica, loaded it or first
	// polled it.
	lastUsedAt map[domain.ModelName]time.Time
	// servedRequests is the count of requests that each replica had served at the last poll.
	servedRequests map[domain.ModelName]uint64
	// loadDurations is the moving average of the load durations of each model.
	loadDurations map[domain.ModelName]time.Duration
	// runningLoads holds the load in progress of each model (single flight).
	runningLoads map[domain.ModelName]*flight
	// unloadsInProgress holds the models that are being unloaded. Reports omit them.
	unloadsInProgress map[domain.ModelName]bool
	// ordersInFlight counts orders whose call has not returned.
	ordersInFlight int
	// leaseLost is set when this node no longer holds the lease.
	leaseLost bool
	// unknownOutcomeSince is since when needsNewFence has seen orders of unknown outcome
	// without interruption; zero if it sees none.
	unknownOutcomeSince time.Time

	// evictionSlot admits one eviction at a time.
	evictionSlot chan struct{}
	// lastPublishedReport is the last report with a change that was sent to all nodes;
	// guarded by mu.
	lastPublishedReport peer.ServerReport
}

// flight is one call whose result several waiters share (single flight).
type flight struct {
	done      chan struct{}
	startedAt time.Time
	// err is set before done is closed.
	err error
}

// wait returns the error of the call when it is done, or timeoutErr when ctx ends.
func (f *flight) wait(ctx context.Context, timeoutErr error) error {
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return timeoutErr
	}
}

func newServerController(d *Deps, p *PaceClient, l fold.Lease) *serverController {
	c := &serverController{
		deps:              d,
		paceClient:        p,
		lease:             l,
		log:               d.Logger.With().Str("Server", string(l.Server)).Uint64("Fence", uint64(l.Fence)).Logger(),
		lastUsedAt:        make(map[domain.ModelName]time.Time),
		servedRequests:    make(map[domain.ModelName]uint64),
		loadDurations:     make(map[domain.ModelName]time.Duration),
		runningLoads:      make(map[domain.ModelName]*flight),
		unloadsInProgress: make(map[domain.ModelName]bool),
		evictionSlot:      make(chan struct{}, 1),
	}
	c.account.SetFacts(l.Facts.Memory, l.Facts.ChecksFences)
	c.account.SetLease(l.Fence)
	return c
}

// run controls the server until ctx ends, or until the lease is lost and its loss is
// acknowledged.
func (c *serverController) run(ctx context.Context) {
	c.log.Info().Str("Event", "LeaseTaken").Msg("this node owns the backend server")
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if c.hasLostLease() {
			c.acknowledgeLeaseLoss(ctx)
			return
		}
		c.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reconcile polls the server, issues the orders that serve no request (barriers and unloads)
// and publishes a report. It issues no such order to a server that does not respond, because
// the order would delay the report that the server is unresponsive.
func (c *serverController) reconcile(ctx context.Context) {
	if c.poll(ctx) && c.confirmFenceAndClearDoubts(ctx) {
		c.unloadAndReleaseUnwanted(ctx)
	}
	c.publishReport()
}

// loseLease makes the controller issue no more orders and acknowledge the loss of its lease.
// It is called when the replicated state no longer has this lease.
func (c *serverController) loseLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseLost = true
}

func (c *serverController) hasLostLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseLost
}

// acknowledgeLeaseLoss waits until no order under this lease can take effect any more, and
// then records this in the log for the new owner. It waits for the responses to orders in
// flight and, if orders have an unknown outcome, for a restart of the server.
func (c *serverController) acknowledgeLeaseLoss(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	warned := false
	for !c.hasNoPendingOrders() || !c.proposeAcknowledgement(ctx) {
		if !warned {
			warned = true
			c.log.Warn().Str("Event", "LeaseLostInDoubt").Msg("waiting to acknowledge the lost lease: orders of unknown outcome remain or the log is down")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.poll(ctx)
	}
	c.log.Info().Str("Event", "LeaseLost").Msg("another node owns the backend server")
}

// hasNoPendingOrders reports whether no order under this lease can take effect any more.
func (c *serverController) hasNoPendingOrders() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ordersInFlight == 0 && c.account.IsQuiescent()
}

// proposeAcknowledgement proposes the acknowledgement and reports whether it was appended.
// A rejection by the state machine means that there is no doubt to clear.
func (c *serverController) proposeAcknowledgement(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	d := fold.DoubtCleared{Server: c.lease.Server, Proof: fold.OwnerAcknowledged, EarlierFence: c.lease.Fence}
	if _, err := c.deps.State.Propose(ctx, d); err != nil {
		c.log.Warn().Err(err).Str("Event", "AcknowledgementFailed").Msg("acknowledgement of the lost lease could not be appended; retrying")
		return false
	}
	return true
}

// needsNewFence reports whether a server that checks fencing tokens has had orders of
// unknown outcome for fenceRenewalDelay. A barrier under a newer token ends their effect.
func (c *serverController) needsNewFence(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lease.Facts.ChecksFences || c.leaseLost || len(c.account.ModelsWithUnknownOutcome()) == 0 {
		c.unknownOutcomeSince = time.Time{}
		return false
	}
	if c.unknownOutcomeSince.IsZero() {
		c.unknownOutcomeSince = now
	}
	return now.Sub(c.unknownOutcomeSince) >= fenceRenewalDelay
}

// poll reads the server's state, applies it to the account and records the use of the
// replicas. It reports whether the server responded.
func (c *serverController) poll(ctx context.Context) bool {
	address, ok := c.address()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c.mu.Lock()
	requestedAt := c.account.Now()
	c.mu.Unlock()
	st, err := c.deps.Engines.State(ctx, address)
	if err != nil {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = st
	c.stateReadAt = now
	c.syncAccount(nil)
	c.account.Observe(requestedAt, st)
	for _, r := range st.Replicas {
		c.recordUse(r, now)
	}
	return true
}

func (c *serverController) address() (string, bool) {
	return c.deps.Directory.Address(c.lease.Server)
}

func (c *serverController) permits() (out []fold.Permit) {
	c.deps.State.View(func(s *fold.State) { out = s.ServerPermits(c.lease.Server) })
	return out
}

// syncAccount applies the doubts and permits of the replicated state to the account, unless
// the state has another fencing token. If read is not nil, syncAccount calls it with the same
// state. The caller holds mu.
func (c *serverController) syncAccount(read func(*fold.State)) {
	var lease fold.Lease
	var permits []fold.Permit
	c.deps.State.View(func(s *fold.State) {
		lease, _ = s.Lease(c.lease.Server)
		permits = s.ServerPermits(c.lease.Server)
		if read != nil {
			read(s)
		}
	})
	if lease.Fence != c.lease.Fence {
		return
	}
	c.account.SetDoubts(lease.Doubts)
	c.account.SetPermits(permits)
}

// confirmFenceAndClearDoubts issues a barrier order under this lease's fencing token if the
// server needs one, and then proposes that the doubts about earlier owners are cleared. It
// does nothing for a server that ignores fencing tokens. It reports whether other orders may
// be issued.
func (c *serverController) confirmFenceAndClearDoubts(ctx context.Context) bool {
	if !c.lease.Facts.ChecksFences {
		return true
	}
	if c.needsBarrier() && !c.passBarrier(ctx) {
		return false
	}
	if !c.deps.IsLogDown() {
		c.proposeDoubtsCleared(ctx)
	}
	return true
}

func (c *serverController) needsBarrier() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.NeedsBarrier()
}

// passBarrier issues the barrier order, polls the server and reports whether the server
// executed the order.
func (c *serverController) passBarrier(ctx context.Context) bool {
	c.mu.Lock()
	mark := c.account.Now()
	c.mu.Unlock()
	st, err := c.issueOrder(ctx, engine.Order{Kind: engine.Barrier})
	if err != nil {
		st = engine.Unclear
	}
	c.mu.Lock()
	c.account.FinishBarrier(mark, c.lease.Fence, st)
	c.mu.Unlock()
	if st != engine.Done {
		return false
	}
	// Poll after the barrier: a state from before it may lack the effect of an order that
	// the server accepted just before the barrier.
	c.poll(ctx)
	return true
}

// proposeDoubtsCleared proposes to clear every doubt about an earlier owner of the server.
// The proof is the barrier, after which orders under older fencing tokens are rejected.
func (c *serverController) proposeDoubtsCleared(ctx context.Context) {
	var records []fold.Record
	c.deps.State.View(func(s *fold.State) {
		l, ok := s.Lease(c.lease.Server)
		if !ok || l.Fence != c.lease.Fence {
			return
		}
		for _, d := range l.Doubts {
			records = append(records, fold.DoubtCleared{
				Server: l.Server, Fence: l.Fence, Proof: fold.BarrierPassed, EarlierFence: d.Fence,
			})
		}
	})
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeoutWhilePolling)
	defer cancel()
	if _, err := c.deps.State.Propose(ctx, records...); err != nil {
		c.log.Warn().Err(err).Str("Event", "DoubtNotCleared").Msg("cleared doubts could not be appended; permits stay reserved")
	}
}

// issueOrder sends one order under this lease and returns its status. A canceled ctx does
// not end the order, so that its response is seen. Without sending the order, issueOrder
// returns FailedLoad if the server's address is unknown or the connection fails, and
// RefusedStale if the lease is lost.
func (c *serverController) issueOrder(ctx context.Context, o engine.Order) (engine.OrderStatus, error) {
	address, ok := c.address()
	if !ok {
		return engine.FailedLoad, verdict.Refuse(verdict.NoCapacity, "the backend server is not on the platform's list")
	}
	if !c.beginOrder() {
		return engine.RefusedStale, verdict.Refuse(verdict.NoCapacity, "the lease of the backend server is lost")
	}
	defer c.endOrder()
	o.Fence = c.lease.Fence
	timeout := orderTimeout
	if o.Kind == engine.LoadModel {
		timeout = loadOrderTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	st, err := c.deps.Engines.Order(ctx, address, o)
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		return engine.FailedLoad, err
	}
	return st, err
}

// beginOrder increments ordersInFlight and returns true, or returns false if the lease is
// lost or the replicated state has another fencing token.
func (c *serverController) beginOrder() bool {
	var holdsLease bool
	c.deps.State.View(func(s *fold.State) {
		l, ok := s.Lease(c.lease.Server)
		holdsLease = ok && l.Fence == c.lease.Fence
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseLost || !holdsLease {
		return false
	}
	c.ordersInFlight++
	return true
}

func (c *serverController) endOrder() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordersInFlight--
}
