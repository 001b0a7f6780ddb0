package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/placement"
)

const (
	// planInterval is the longest time that the owner waits for a trigger before
	// it plans again.
	planInterval = 30 * time.Millisecond
	// minimumPlanGap is the least time between two plans. It grows to cycleGapFactor times the
	// duration of the last cycle, so that cycles leave most of the processor to requests.
	minimumPlanGap = 4 * time.Millisecond
	cycleGapFactor = 5
	// maximumPlanGap bounds it.
	maximumPlanGap = 100 * time.Millisecond
	// idleInterval is how often a node checks whether it has become the owner.
	idleInterval = 200 * time.Millisecond
	// linkGracePeriod is how long a new owner treats the number of nodes as
	// unknown, because not all of them have linked to it yet.
	linkGracePeriod = 4 * time.Second
	// selfCount is added to the number of linked nodes, because the owner has no link
	// to itself.
	selfCount = 1
)

// runOwner runs a cycle after each trigger, or after an interval without one. The
// cycles issue orders while this node is the owner.
func (n *Node) runOwner(ctx context.Context) {
	for ctx.Err() == nil {
		interval := idleInterval
		var urgent <-chan struct{}
		startedAt := time.Now()
		if n.runOwnerCycle(ctx) {
			interval = planInterval
			urgent = n.Demand.Urgent()
			// Wait for further reports, so that one plan covers the reports of many
			// nodes.
			pause.For(ctx, min(maximumPlanGap, minimumPlanGap+cycleGapFactor*time.Since(startedAt)), nil)
		}
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-n.planTrigger:
		case <-urgent:
		case <-t.C:
		}
		t.Stop()
	}
}

// runOwnerCycle updates the ownership. If this node's term as the owner has begun, it starts the
// due queries of engine states and, if it may issue orders, the planned orders, sends changed
// engine states and returns true.
func (n *Node) runOwnerCycle(ctx context.Context) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	uptime := n.Uptime.Now()
	fence, mayOrder := n.lease.Fence(uptime)
	n.updateOwnership(now, uptime)
	n.updateQuotas()
	if !n.lease.IsRetained(uptime) {
		n.Hub.Close()
	}
	if _, hasBegun := n.lease.Term(uptime); !hasBegun {
		return false
	}
	n.planner.RecordDemand(now, n.Name, n.Demand.TakeChanges(now))
	if mayOrder {
		n.beginOrders(now, uptime)
	}
	for _, s := range n.planner.DuePolls(now) {
		go n.queryEngineState(ctx, s)
	}
	n.setPaces(now)
	if mayOrder {
		for _, o := range n.planner.PlanOrders(now) {
			// An order that has started is not cancelled at shutdown: the engine may carry it out.
			go n.sendOrder(context.WithoutCancel(ctx), o, fence)
		}
	}
	n.sendEngineStates(now, n.lease.IsRenewalLate(uptime))
	n.sendLoads(now, n.lease.IsRenewalLate(uptime))
	return true
}

// beginOrders makes the owner query the engine states again before its first order under a fencing
// token: with a LeaseBound, the previous owner may have issued orders after this node's term began.
// The caller holds mu.
func (n *Node) beginOrders(now time.Time, uptime time.Duration) {
	if n.LeaseBound == 0 || n.fence == n.orderFence {
		return
	}
	n.orderFence = n.fence
	n.planner.BeginOrders(now, now.Add(n.lease.PredecessorEnd()-uptime))
}

// updateOwnership starts this node's term as the owner when the term of the lease begins under a
// new fencing token, and ends it when it does not retain the lease. A lease that has only expired ends
// no term: the links, the demand and the engine states are still of use when it is granted again.
// The caller holds mu.
func (n *Node) updateOwnership(now time.Time, uptime time.Duration) {
	n.logLeaseExpiry(uptime)
	if !n.lease.IsRetained(uptime) {
		n.endTerm()
		return
	}
	fence, hasBegun := n.lease.Term(uptime)
	if !hasBegun || fence == n.fence {
		return
	}
	n.fence = fence
	n.Logger.Info().Str("Event", "OwnershipBegun").Uint64("Fence", uint64(fence)).Msg("this node owns the model engines")
	n.ownedSince = now
	n.planner.BeginTerm(now)
	signal(n.traitsChanged)
	signal(n.stored.changed)
	n.planner.RecordDemand(now, n.Name, n.Demand.TakeAll(now))
}

// endTerm ends this node's term as the owner, if it is in one. The caller holds mu.
func (n *Node) endTerm() {
	if n.fence == 0 {
		return
	}
	n.fence = 0
	n.countOwnerLinks(0)
	n.Logger.Info().Str("Event", "OwnershipLost").Msg("this node no longer owns the model engines")
	n.planner.EndTerm()
	n.sentDigests, n.urgentDigests, n.overlay = nil, nil, nil
}

// logLeaseExpiry logs when the lease of this node's term expires and is held again. The caller
// holds mu.
func (n *Node) logLeaseExpiry(uptime time.Duration) {
	expired := n.fence != 0 && !n.lease.IsHeld(uptime)
	if expired == n.leaseExpired {
		return
	}
	n.leaseExpired = expired
	if expired {
		n.Logger.Warn().Str("Event", "LeaseExpired").Int("Links", n.Hub.LinkCount()).Msg("the lease of the owner was not renewed in time; this node issues no orders")
		return
	}
	n.Logger.Info().Str("Event", "LeaseExpiryEnded").Bool("Held", n.lease.IsHeld(uptime)).Msg("the lease of the owner was renewed or is lost")
}

// queryEngineState queries a server's engine state and records the result in the
// planner.
func (n *Node) queryEngineState(ctx context.Context, s fleet.Server) {
	requestedAt := time.Now()
	state, err := n.Engines.QueryEngineState(ctx, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.RecordReport(time.Now(), requestedAt, s.ID, state, err)
	if err != nil {
		n.Logger.Debug().Str("Event", "ReportFailed").Str("Server", string(s.ID)).Err(err).Msg("failed to query the engine state of a backend server")
	} else {
		n.Logger.Debug().Str("Event", "Reported").Str("Server", string(s.ID)).Uint64("Sequence", state.Sequence).Int64("Born", state.StartedAtMs).Bool("Busy", state.Busy).Msg("a backend server reported its engine state")
	}
	n.triggerPlan()
}

// sendOrder sends an order and records its outcome. If the fencing token f is no
// longer valid, it records the order as rejected and does not send it.
func (n *Node) sendOrder(ctx context.Context, o placement.Order, f domain.Fence) {
	// The lease may have expired since the order was planned.
	n.mu.Lock()
	currentFence, valid := n.lease.Fence(n.Uptime.Now())
	mustSend := valid && currentFence == f
	if mustSend {
		n.ordersInFlight.Add(1)
		defer n.ordersInFlight.Done()
	}
	n.mu.Unlock()
	outcome := placement.Rejected
	var err error
	sentAt := time.Now()
	if mustSend {
		outcome, err = n.Engines.Order(ctx, o, f)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.RecordOutcome(time.Now(), sentAt, o, outcome)
	if outcome == placement.Fenced {
		n.lease.Invalidate()
	}
	n.Logger.Info().Str("Event", "Ordered").Stringer("Operation", o.Operation).Stringer("Outcome", outcome).Str("Server", string(o.Server.ID)).
		Str("Model", string(o.Model)).Str("Adapter", string(o.Adapter)).Uint64("Expected", o.ExpectedSequence).Uint64("Fence", uint64(f)).
		Int64("TookMs", time.Since(sentAt).Milliseconds()).AnErr("Cause", err).Msg(o.Reason)
	n.triggerPlan()
}

// handleReport records the demand, the stale servers and the crash reports that
// another node sent. It ignores the report if this node does not retain the lease.
func (n *Node) handleReport(r hub.Report) {
	n.recordQuotaReport(r)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lease.IsRetained(n.Uptime.Now()) {
		return
	}
	n.planner.RecordDemand(time.Now(), r.Node, r.Demands)
	for _, id := range r.StaleServers {
		n.planner.RequestPoll(time.Now(), id)
	}
	n.recordReportedLeaving(time.Now(), r.LeavingServers)
	n.applyStoreFailure(time.Now(), r.StoreFailure)
	n.passStoreFailure(time.Now(), r.StoreFailure)
	if n.restoreContents(r.Contents) {
		for _, c := range r.Contents {
			n.addContentNews(c.Content)
		}
	}
	n.addCrashReports(r.CrashReports)
	n.applyTraits(r.Traits, true)
	n.mergeLoads(time.Now(), r)
	n.applyCrashReports(r.CrashReports)
	if hasOnlyLoads(r) {
		return
	}
	n.triggerPlan()
}

// logInvalidReport logs why the link to a node ends.
func (n *Node) logInvalidReport(id domain.NodeID, err error) {
	n.Logger.Warn().Str("Event", "ReportInvalid").Str("From", string(id)).Err(err).Msg("a node sent a report that cannot be used; its link ends")
}

// countNodes returns the number of linked nodes that have sent a report, and this one. A link
// without a report may be nobody's, and nodes keep the largest number that they were told. It
// returns 0 for an unknown number if this node is not the owner, or became the owner within the
// last linkGracePeriod. The caller holds mu.
func (n *Node) countNodes(now time.Time) int {
	if n.fence == 0 || now.Sub(n.ownedSince) < linkGracePeriod {
		return 0
	}
	return len(n.Hub.Nodes()) + selfCount
}

// countCandidates returns the number of linked nodes that are no standbys, this one included.
func (n *Node) countCandidates() int {
	count := 0
	if !n.Standby {
		count = selfCount
	}
	for _, id := range n.Hub.Nodes() {
		if !n.IsStandby(id) {
			count++
		}
	}
	return count
}

// acceptsLinks reports whether this node is the owner, so that other nodes may link to it.
func (n *Node) acceptsLinks() bool { return n.isOwner() }

// initialUpdate calls start with the first update for a node that has just linked: the
// node count and the engine states of all servers.
func (n *Node) initialUpdate(start func(hub.Update)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas.orderMu.Lock()
	defer n.quotas.orderMu.Unlock()
	now := time.Now()
	u := hub.Update{NodeCount: n.countNodes(now), Grants: n.quotas.fullUpdate()}
	isRead := n.registrationsKnown.Era() == n.restoration.era
	if age := now.Sub(n.registrationsReadAt); isRead && n.retainsLease() && age < n.RegistrationsInterval {
		u.Store = n.storeUpdate(true)
		u.Store.ReadAge = age
	}
	if n.retainsLease() {
		u.Keys = n.keyUpdate(0)
	}
	if n.Traits != nil {
		u.Traits = n.Traits.TraitSnapshot()
	}
	u.Contents = n.contentSnapshot()
	for id, state := range n.planner.Snapshot() {
		u.Servers = append(u.Servers, hub.ServerState{ID: id, EngineState: state})
	}
	start(u)
}
