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
	// pollTimeout bounds one read.
	pollTimeout = 2 * time.Second
	// unresponsiveAfter is how long a server may fail to answer before it is reported
	// as not alive.
	unresponsiveAfter = time.Second
	// fenceRenewalDelay is how long an order stays in doubt before the owner renews
	// its lease for a newer fence.
	fenceRenewalDelay = 2 * time.Second
	// proposalTimeoutWhilePolling bounds a wait for the log between two polls: the server must
	// be watched while the log is away.
	proposalTimeoutWhilePolling = time.Second
	// orderTimeout bounds an order that loads no model.
	orderTimeout = 5 * time.Second
	// loadOrderTimeout bounds one order; a load must fit in it.
	loadOrderTimeout = 2 * time.Minute
)

// serverController runs one owned backend server under one lease.
type serverController struct {
	deps  *Deps
	pace  *PaceClient
	lease fold.Lease
	log   zerolog.Logger

	mu sync.Mutex
	// account holds what is loaded, loading and in doubt; guarded by mu.
	account owner.Account
	// state is the last answer of the server, seen when it came.
	state       engine.State
	stateReadAt time.Time
	// lastUsedAt is when each replica last had a request.
	lastUsedAt map[domain.ModelName]time.Time
	// servedCounts is how many requests each replica had taken at the last poll.
	servedCounts map[domain.ModelName]uint64
	// loadDurations is the smoothed duration of each model's loads.
	loadDurations map[domain.ModelName]time.Duration
	// loads are the running loads, for single flight.
	loads map[domain.ModelName]*flight
	// unloading replicas are left out of reports.
	unloading map[domain.ModelName]bool
	// ordersInFlight counts orders without an answer.
	ordersInFlight int
	leaseLost      bool
	// unknownOutcomeSince is when orders without an answer were first seen in doubt.
	unknownOutcomeSince time.Time

	// evictionSlot admits one eviction at a time.
	evictionSlot chan struct{}
	// lastPublished is the last report that was news; guarded by mu.
	lastPublished peer.ServerReport
}

// flight is one piece of work that several callers wait for.
type flight struct {
	done      chan struct{}
	startedAt time.Time
	// err is set before done is closed.
	err error
}

func (f *flight) wait(ctx context.Context, refused error) error {
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return refused
	}
}

func newServerController(d *Deps, p *PaceClient, l fold.Lease) *serverController {
	k := &serverController{
		deps:          d,
		pace:          p,
		lease:         l,
		log:           d.Logger.With().Str("Server", string(l.Server)).Uint64("Fence", uint64(l.Fence)).Logger(),
		lastUsedAt:    make(map[domain.ModelName]time.Time),
		servedCounts:  make(map[domain.ModelName]uint64),
		loadDurations: make(map[domain.ModelName]time.Duration),
		loads:         make(map[domain.ModelName]*flight),
		unloading:     make(map[domain.ModelName]bool),
		evictionSlot:  make(chan struct{}, 1),
	}
	k.account.SetFacts(l.Facts.Memory, l.Facts.ChecksFences)
	k.account.SetLease(l.Fence)
	return k
}

// run keeps the server until the lease is lost and every order has an answer.
func (k *serverController) run(ctx context.Context) {
	k.log.Info().Str("Event", "LeaseTaken").Msg("this node owns the backend server")
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if k.hasLostLease() {
			k.acknowledgeLeaseLoss(ctx)
			return
		}
		k.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reconcile reads the server, gives the orders that nobody waits for, and reports. A
// server that does not answer gets none: they would hold up the report of it.
func (k *serverController) reconcile(ctx context.Context) {
	if k.poll(ctx) && k.confirmFence(ctx) {
		k.unloadUnwanted(ctx)
	}
	k.publishReport()
}

// loseLease stops new orders; the lease has gone to another node.
func (k *serverController) loseLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaseLost = true
}

func (k *serverController) hasLostLease() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaseLost
}

// acknowledgeLeaseLoss tells the new owner, through the log, that no order of this one is
// left. It waits until that is so: for the answers of orders on the way, and for a
// restart of the server where an order has none.
func (k *serverController) acknowledgeLeaseLoss(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	warned := false
	for !k.hasNoPendingOrders() || !k.proposeAcknowledgement(ctx) {
		if !warned {
			warned = true
			k.log.Warn().Str("Event", "LeaseLostInDoubt").Msg("orders without an answer, or the log, keep the old lease in doubt")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k.poll(ctx)
	}
	k.log.Info().Str("Event", "LeaseLost").Msg("another node owns the backend server")
}

// hasNoPendingOrders tells whether no order of this owner can take effect any more.
func (k *serverController) hasNoPendingOrders() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ordersInFlight == 0 && k.account.Quiet()
}

// proposeAcknowledgement proposes the acknowledgement and tells whether the log has it. A
// rejected one has nothing left to clear.
func (k *serverController) proposeAcknowledgement(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	d := fold.DoubtCleared{Server: k.lease.Server, Proof: fold.OwnerAcknowledged, Earlier: k.lease.Fence}
	if _, err := k.deps.State.Propose(ctx, d); err != nil {
		k.log.Warn().Err(err).Str("Event", "AcknowledgementFailed").Msg("the old lease stays in doubt")
		return false
	}
	return true
}

// needsNewFence tells whether orders have been in doubt for long enough on a server
// where a newer fence ends the doubt.
func (k *serverController) needsNewFence(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lease.Facts.ChecksFences || k.leaseLost || len(k.account.Doubtful()) == 0 {
		k.unknownOutcomeSince = time.Time{}
		return false
	}
	if k.unknownOutcomeSince.IsZero() {
		k.unknownOutcomeSince = now
	}
	return now.Sub(k.unknownOutcomeSince) >= fenceRenewalDelay
}

// poll reads the server's state into the account and tells whether it answered.
func (k *serverController) poll(ctx context.Context) bool {
	address, ok := k.address()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	k.mu.Lock()
	mark := k.account.Mark()
	k.mu.Unlock()
	st, err := k.deps.Engines.State(ctx, address)
	if err != nil {
		return false
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = st
	k.stateReadAt = now
	k.syncAccount(nil)
	k.account.Observe(mark, st)
	for _, r := range st.Replicas {
		k.recordUse(r, now)
	}
	return true
}

func (k *serverController) address() (string, bool) {
	return k.deps.Directory.Address(k.lease.Server)
}

// permits reads the permits of the server.
func (k *serverController) permits() (out []fold.Permit) {
	k.deps.State.View(func(s *fold.State) { out = s.ServerPermits(k.lease.Server) })
	return out
}

// syncAccount brings the account up to the agreed state and calls read, if any, with the
// same state; the caller holds mu.
func (k *serverController) syncAccount(read func(*fold.State)) {
	var lease fold.Lease
	var permits []fold.Permit
	k.deps.State.View(func(s *fold.State) {
		lease, _ = s.Lease(k.lease.Server)
		permits = s.ServerPermits(k.lease.Server)
		if read != nil {
			read(s)
		}
	})
	if lease.Fence != k.lease.Fence {
		return
	}
	k.account.SetDoubts(lease.Doubts)
	k.account.SetPermits(permits)
}

// confirmFence confirms this lease at a server that checks fences, also after a
// restart of the server, and clears the doubt about earlier owners. It returns
// whether orders may be given.
func (k *serverController) confirmFence(ctx context.Context) bool {
	if !k.lease.Facts.ChecksFences {
		return true
	}
	if k.needsBarrier() && !k.passBarrier(ctx) {
		return false
	}
	if !k.deps.IsLogDown() {
		k.proposeDoubtsCleared(ctx)
	}
	return true
}

func (k *serverController) needsBarrier() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account.WantsBarrier()
}

func (k *serverController) passBarrier(ctx context.Context) bool {
	k.mu.Lock()
	mark := k.account.Mark()
	k.mu.Unlock()
	st, err := k.issueOrder(ctx, engine.Order{Kind: engine.Barrier})
	if err != nil {
		st = engine.Unclear
	}
	k.mu.Lock()
	k.account.FinishBarrier(mark, k.lease.Fence, st)
	k.mu.Unlock()
	if st != engine.Done {
		return false
	}
	// The state must be read after the barrier: an earlier answer may miss an
	// order that was let in just before it.
	k.poll(ctx)
	return true
}

func (k *serverController) proposeDoubtsCleared(ctx context.Context) {
	var records []fold.Record
	k.deps.State.View(func(s *fold.State) {
		l, ok := s.Lease(k.lease.Server)
		if !ok || l.Fence != k.lease.Fence {
			return
		}
		for _, d := range l.Doubts {
			records = append(records, fold.DoubtCleared{
				Server: l.Server, Fence: l.Fence, Proof: fold.BarrierPassed, Earlier: d.Fence,
			})
		}
	})
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeoutWhilePolling)
	defer cancel()
	if _, err := k.deps.State.Propose(ctx, records...); err != nil {
		k.log.Warn().Err(err).Str("Event", "DoubtNotCleared").Msg("releases wait for the log")
	}
}

// issueOrder gives one order under this lease. The order itself outlives ctx, so that
// its answer is seen; a lost lease refuses it before it is sent. An order that was
// not sent has failed for certain.
func (k *serverController) issueOrder(ctx context.Context, o engine.Order) (engine.OrderStatus, error) {
	address, ok := k.address()
	if !ok {
		return engine.FailedLoad, verdict.Refuse(verdict.NoCapacity, "the backend server is not on the platform's list")
	}
	if !k.beginOrder() {
		return engine.RefusedStale, verdict.Refuse(verdict.NoCapacity, "the lease of the backend server is lost")
	}
	defer k.endOrder()
	o.Fence = k.lease.Fence
	limit := orderTimeout
	if o.Kind == engine.LoadModel {
		limit = loadOrderTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	st, err := k.deps.Engines.Order(ctx, address, o)
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		return engine.FailedLoad, err
	}
	return st, err
}

// beginOrder counts an order unless the lease is lost in the newest state known.
func (k *serverController) beginOrder() bool {
	var holds bool
	k.deps.State.View(func(s *fold.State) {
		l, ok := s.Lease(k.lease.Server)
		holds = ok && l.Fence == k.lease.Fence
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaseLost || !holds {
		return false
	}
	k.ordersInFlight++
	return true
}

func (k *serverController) endOrder() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordersInFlight--
}
