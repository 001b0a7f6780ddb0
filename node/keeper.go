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
	// deadAfter is how long a server may fail to answer before it is reported
	// as not alive.
	deadAfter = time.Second
	// doubtfulAfter is how long an order stays in doubt before the owner renews
	// its lease for a newer fence.
	doubtfulAfter = 2 * time.Second
	// upkeepTimeout bounds a wait for the log between two polls: the server must
	// be watched while the log is away.
	upkeepTimeout = time.Second
	// quickOrderTimeout bounds an order that loads no model.
	quickOrderTimeout = 5 * time.Second
	// orderTimeout bounds one order; a load must fit in it.
	orderTimeout = 2 * time.Minute
)

// keeper runs one owned backend server under one lease.
type keeper struct {
	deps  *Deps
	pace  *PaceClient
	lease fold.Lease
	log   zerolog.Logger

	mu sync.Mutex
	// account holds what is loaded, loading and in doubt; guarded by mu.
	account owner.Account
	// state is the last answer of the server, seen when it came.
	state engine.State
	seen  time.Time
	// usedAt is when each replica last had a request.
	usedAt map[domain.ModelName]time.Time
	// served is how many requests each replica had taken at the last poll.
	served map[domain.ModelName]uint64
	// took is the smoothed duration of each model's loads.
	took map[domain.ModelName]time.Duration
	// loads are the running loads, for single flight.
	loads map[domain.ModelName]*flight
	// unloading replicas are left out of reports.
	unloading map[domain.ModelName]bool
	// orders counts orders without an answer.
	orders  int
	retired bool
	// doubtSince is when orders without an answer were first seen in doubt.
	doubtSince time.Time

	// makeRoom admits one eviction at a time.
	makeRoom chan struct{}
	// sent is the last report that was news; guarded by mu.
	sent peer.ServerReport
}

// flight is one piece of work that several callers wait for.
type flight struct {
	done  chan struct{}
	began time.Time
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

func newKeeper(d *Deps, p *PaceClient, l fold.Lease) *keeper {
	k := &keeper{
		deps:      d,
		pace:      p,
		lease:     l,
		log:       d.Logger.With().Str("Server", string(l.Server)).Uint64("Fence", uint64(l.Fence)).Logger(),
		usedAt:    make(map[domain.ModelName]time.Time),
		served:    make(map[domain.ModelName]uint64),
		took:      make(map[domain.ModelName]time.Duration),
		loads:     make(map[domain.ModelName]*flight),
		unloading: make(map[domain.ModelName]bool),
		makeRoom:  make(chan struct{}, 1),
	}
	k.account.SetFacts(l.Facts.Memory, l.Facts.ChecksFences)
	k.account.SetLease(l.Fence)
	return k
}

// run keeps the server until the lease is lost and every order has an answer.
func (k *keeper) run(ctx context.Context) {
	k.log.Info().Str("Event", "LeaseTaken").Msg("this node owns the backend server")
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if k.isRetired() {
			k.acknowledge(ctx)
			return
		}
		k.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// step reads the server, gives the orders that nobody waits for, and reports. A
// server that does not answer gets none: they would hold up the report of it.
func (k *keeper) step(ctx context.Context) {
	if k.poll(ctx) && k.raiseFence(ctx) {
		k.takeDown(ctx)
	}
	k.report()
}

// retire stops new orders; the lease has gone to another node.
func (k *keeper) retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

func (k *keeper) isRetired() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.retired
}

// acknowledge tells the new owner, through the log, that no order of this one is
// left. It waits until that is so: for the answers of orders on the way, and for a
// restart of the server where an order has none.
func (k *keeper) acknowledge(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	warned := false
	for !k.quiet() || !k.tellLost(ctx) {
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

// quiet tells whether no order of this owner can take effect any more.
func (k *keeper) quiet() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.orders == 0 && k.account.IsQuiescent()
}

// tellLost proposes the acknowledgement and tells whether the log has it. A
// rejected one has nothing left to clear.
func (k *keeper) tellLost(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	d := fold.DoubtCleared{Server: k.lease.Server, Proof: fold.OwnerAcknowledged, Earlier: k.lease.Fence}
	if _, err := k.deps.Agreement.Propose(ctx, d); err != nil {
		k.log.Warn().Err(err).Str("Event", "AcknowledgementFailed").Msg("the old lease stays in doubt")
		return false
	}
	return true
}

// wantsNewFence tells whether orders have been in doubt for long enough on a server
// where a newer fence ends the doubt.
func (k *keeper) wantsNewFence(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lease.Facts.ChecksFences || k.retired || len(k.account.ModelsWithUnknownOutcome()) == 0 {
		k.doubtSince = time.Time{}
		return false
	}
	if k.doubtSince.IsZero() {
		k.doubtSince = now
	}
	return now.Sub(k.doubtSince) >= doubtfulAfter
}

// poll reads the server's state into the account and tells whether it answered.
func (k *keeper) poll(ctx context.Context) bool {
	address, ok := k.address()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	k.mu.Lock()
	mark := k.account.Now()
	k.mu.Unlock()
	st, err := k.deps.Engines.State(ctx, address)
	if err != nil {
		return false
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = st
	k.seen = now
	k.agree(nil)
	k.account.Observe(mark, st)
	for _, r := range st.Replicas {
		k.noteUse(r, now)
	}
	return true
}

func (k *keeper) address() (string, bool) {
	return k.deps.Directory.Address(k.lease.Server)
}

// permits reads the permits of the server.
func (k *keeper) permits() (out []fold.Permit) {
	k.deps.Agreement.View(func(s *fold.State) { out = s.ServerPermits(k.lease.Server) })
	return out
}

// agree brings the account up to the agreed state and calls read, if any, with the
// same state; the caller holds mu.
func (k *keeper) agree(read func(*fold.State)) {
	var lease fold.Lease
	var permits []fold.Permit
	k.deps.Agreement.View(func(s *fold.State) {
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

// raiseFence confirms this lease at a server that checks fences, also after a
// restart of the server, and clears the doubt about earlier owners. It returns
// whether orders may be given.
func (k *keeper) raiseFence(ctx context.Context) bool {
	if !k.lease.Facts.ChecksFences {
		return true
	}
	if k.wantsBarrier() && !k.barrier(ctx) {
		return false
	}
	if !k.deps.LogDown() {
		k.clearDoubts(ctx)
	}
	return true
}

func (k *keeper) wantsBarrier() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account.NeedsBarrier()
}

func (k *keeper) barrier(ctx context.Context) bool {
	k.mu.Lock()
	mark := k.account.Now()
	k.mu.Unlock()
	st, err := k.order(ctx, engine.Order{Kind: engine.Barrier})
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

func (k *keeper) clearDoubts(ctx context.Context) {
	var records []fold.Record
	k.deps.Agreement.View(func(s *fold.State) {
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
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	if _, err := k.deps.Agreement.Propose(ctx, records...); err != nil {
		k.log.Warn().Err(err).Str("Event", "DoubtNotCleared").Msg("releases wait for the log")
	}
}

// order gives one order under this lease. The order itself outlives ctx, so that
// its answer is seen; a lost lease refuses it before it is sent. An order that was
// not sent has failed for certain.
func (k *keeper) order(ctx context.Context, o engine.Order) (engine.OrderStatus, error) {
	address, ok := k.address()
	if !ok {
		return engine.FailedLoad, verdict.Refuse(verdict.NoCapacity, "the backend server is not on the platform's list")
	}
	if !k.beginOrder() {
		return engine.RefusedStale, verdict.Refuse(verdict.NoCapacity, "the lease of the backend server is lost")
	}
	defer k.endOrder()
	o.Fence = k.lease.Fence
	limit := quickOrderTimeout
	if o.Kind == engine.LoadModel {
		limit = orderTimeout
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
func (k *keeper) beginOrder() bool {
	var holds bool
	k.deps.Agreement.View(func(s *fold.State) {
		l, ok := s.Lease(k.lease.Server)
		holds = ok && l.Fence == k.lease.Fence
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.retired || !holds {
		return false
	}
	k.orders++
	return true
}

func (k *keeper) endOrder() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders--
}
