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
	// minimumPlanGap is the least time between two plans; each linked node adds
	// planGapPerNode.
	minimumPlanGap = 4 * time.Millisecond
	planGapPerNode = 300 * time.Microsecond
	// idleInterval is how often a node checks whether it has become the owner.
	idleInterval = 200 * time.Millisecond
	// updateGapPerNode times the number of linked nodes is the least time between
	// two updates of engine states, so that updates to many nodes do not use up
	// the owner's processor.
	updateGapPerNode = time.Millisecond
	// leaveTimeout bounds the call that leaves the group at shutdown.
	leaveTimeout = time.Second
	// orderWaitTimeout bounds the wait for the responses to orders before that.
	orderWaitTimeout = time.Second
	// renewalsPerTimeToLive is how many times the membership is renewed within its
	// time-to-live.
	renewalsPerTimeToLive = 4
	// linkGracePeriod is how long a new owner treats the number of nodes as
	// unknown, because not all of them have linked to it yet.
	linkGracePeriod = 4 * time.Second
	// joinCall names the calls of joinGroup in recordStoreResult.
	joinCall = "Join"
	// selfCount is added to the number of linked nodes, because the owner has no link
	// to itself.
	selfCount = 1
)

// engineStateDigest contains the parts of a server's engine state that are
// compared to detect a change.
type engineStateDigest struct {
	startedAtMs              int64
	sequence                 uint64
	busy                     bool
	modelCount, adapterCount int
}

func digest(s fleet.EngineState) engineStateDigest {
	d := engineStateDigest{startedAtMs: s.StartedAtMs, sequence: s.Sequence, busy: s.Busy, modelCount: len(s.Models)}
	for _, m := range s.Models {
		d.adapterCount += len(m.Adapters)
	}
	return d
}

// renewMembership renews this node's membership of the group, through which it may
// become the owner, and leaves the group when the node drains or stops.
func (n *Node) renewMembership(ctx context.Context) {
	for ctx.Err() == nil && !n.mustHandOver(time.Now()) {
		n.joinGroup(ctx)
		n.awaitRenewal(ctx)
	}
	n.leaveGroup(context.WithoutCancel(ctx))
}

// joinGroup renews the membership and records the result.
func (n *Node) joinGroup(ctx context.Context) {
	sentAt := n.Uptime.Now()
	n.mu.Lock()
	generation := n.lease.Generation()
	n.mu.Unlock()
	grant, err := n.Group.Join(ctx, generation, n.TimeToLive)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	n.recordStoreResult(time.Now(), joinCall, err)
	switch {
	case err != nil:
		n.lease.RecordRenewalFailure(n.Uptime.Now())
	case !n.isHandOverDue(time.Now()):
		n.lease.ApplyGrant(sentAt, n.Uptime.Now(), grant)
	}
}

// awaitRenewal waits until the membership must be renewed again or the node hands over. After a
// failed renewal, it waits at most until the store recovers.
func (n *Node) awaitRenewal(ctx context.Context) {
	n.mu.Lock()
	interval := n.TimeToLive / renewalsPerTimeToLive
	if left := time.Until(n.handOverAt); n.draining && left > 0 {
		interval = min(interval, left)
	}
	var recovered <-chan struct{}
	if n.failedCalls[joinCall] {
		recovered = n.storeRecovered
	}
	n.mu.Unlock()
	pause.For(ctx, interval, recovered)
}

// mustHandOver reports whether this node leaves the group now because it drains. An owner that
// does not reach the store keeps the lease, because no other node can take it over then.
func (n *Node) mustHandOver(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isHandOverDue(now) && (n.fence == 0 || !n.failedCalls[joinCall])
}

// isHandOverDue reports whether the node drains and its time to leave the group has come. The
// caller holds mu.
func (n *Node) isHandOverDue(now time.Time) bool {
	return n.draining && !now.Before(n.handOverAt)
}

// leaveGroup ends this node's lease, waits for the responses to its orders, so that none arrives
// at an engine after another node has become the owner, and leaves the group.
func (n *Node) leaveGroup(ctx context.Context) {
	n.mu.Lock()
	n.lease.Invalidate()
	n.mu.Unlock()
	n.awaitOrders(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.Group.Leave(ctx); err != nil {
		n.Logger.Info().Str("Event", "LeaveFailed").Err(err).Msg("failed to leave the owner group; the membership may last until its time-to-live has passed")
	}
}

// awaitOrders waits until no order is in flight, at most orderWaitTimeout. The lease must have
// ended, so that no further order starts.
func (n *Node) awaitOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderWaitTimeout)
	defer cancel()
	go func() {
		defer cancel()
		n.ordersInFlight.Wait()
	}()
	<-ctx.Done()
}

// runOwner runs a cycle after each trigger, or after an interval without one. The
// cycles issue orders while this node is the owner.
func (n *Node) runOwner(ctx context.Context) {
	for ctx.Err() == nil {
		interval := idleInterval
		var urgent <-chan struct{}
		if n.runOwnerCycle(ctx) {
			interval = planInterval
			urgent = n.Demand.Urgent()
			// Wait for further reports, so that one plan covers the reports of many
			// nodes.
			pause.For(ctx, minimumPlanGap+time.Duration(n.Hub.LinkCount())*planGapPerNode, nil)
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

// runOwnerCycle updates the ownership. If this node may issue orders as the
// owner, it starts the planned orders and the due queries of engine states,
// broadcasts changed engine states and returns true.
func (n *Node) runOwnerCycle(ctx context.Context) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	uptime := n.Uptime.Now()
	fence, valid := n.lease.Fence(uptime)
	n.updateOwnership(now, fence, valid)
	if !n.lease.IsHeld(uptime) {
		n.Hub.Close()
	}
	if !valid {
		return false
	}
	n.planner.RecordDemand(now, n.Name, n.Demand.TakeChanges(now))
	for _, s := range n.planner.DuePolls(now) {
		go n.queryEngineState(ctx, s)
	}
	for _, o := range n.planner.PlanOrders(now) {
		// An order that has started is not cancelled at shutdown: the engine may carry it out.
		go n.sendOrder(context.WithoutCancel(ctx), o, fence)
	}
	if now.Sub(n.broadcastAt) >= time.Duration(n.Hub.LinkCount())*updateGapPerNode {
		n.broadcastAt = now
		n.broadcastEngineStates(now)
	}
	return true
}

// updateOwnership starts or ends this node's term as the owner when the fencing
// token changes. If holdsLease is false, fence is ignored. The caller holds mu.
func (n *Node) updateOwnership(now time.Time, fence domain.Fence, holdsLease bool) {
	if !holdsLease {
		fence = 0
	}
	if fence == n.fence {
		return
	}
	n.fence = fence
	if fence == 0 {
		n.Logger.Info().Str("Event", "OwnershipLost").Msg("this node no longer owns the model engines")
		n.planner.EndTerm()
		n.sentDigests, n.overlay = nil, nil
		return
	}
	n.Logger.Info().Str("Event", "OwnershipBegun").Uint64("Fence", uint64(fence)).Msg("this node owns the model engines")
	n.ownedSince = now
	n.planner.BeginTerm(now)
	signal(n.traitsChanged)
	n.planner.RecordDemand(now, n.Name, n.Demand.TakeAll(now))
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

// broadcastEngineStates sends the changed engine states and the new crash reports
// to the other nodes, and publishes a view with the new engine states on this
// node. The caller holds mu.
func (n *Node) broadcastEngineStates(now time.Time) {
	states := n.planner.Snapshot()
	if n.sentDigests == nil {
		n.sentDigests = map[domain.ServerID]engineStateDigest{}
	}
	u := hub.Update{NodeCount: n.countNodes(now), CrashReports: n.crashReports, Traits: n.takeTraitReport()}
	n.nodeCount = max(n.nodeCount, u.NodeCount)
	n.crashReports = nil
	for id, state := range states {
		d := digest(state)
		if n.sentDigests[id] == d {
			continue
		}
		n.sentDigests[id] = d
		u.Servers = append(u.Servers, hub.ServerState{ID: id, EngineState: state})
	}
	for id := range n.sentDigests {
		if _, ok := states[id]; !ok {
			delete(n.sentDigests, id)
		}
	}
	if len(u.Servers) == 0 && len(u.CrashReports) == 0 && u.Traits.IsEmpty() {
		return
	}
	n.overlay = states
	n.publishView(now)
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "UpdateFailed").Err(err).Msg("failed to encode an update for the other nodes")
	}
}

// handleReport records the demand, the stale servers and the crash reports that
// another node sent. It ignores the report if this node does not hold the lease.
func (n *Node) handleReport(r hub.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lease.IsHeld(n.Uptime.Now()) {
		return
	}
	n.planner.RecordDemand(time.Now(), r.Node, r.Demands)
	for _, id := range r.StaleServers {
		n.planner.RequestPoll(time.Now(), id)
	}
	n.recordReportedLeaving(time.Now(), r.LeavingServers)
	n.addCrashReports(r.CrashReports)
	n.applyTraits(r.Traits, true)
	if len(r.CrashReports) > 0 && n.OnCrashReports != nil {
		n.OnCrashReports(r.CrashReports)
	}
	n.triggerPlan()
}

// countNodes returns the number of linked nodes and this one. It returns 0 for an
// unknown number if this node is not the owner, or became the owner within the
// last linkGracePeriod. The caller holds mu.
func (n *Node) countNodes(now time.Time) int {
	if n.fence == 0 || now.Sub(n.ownedSince) < linkGracePeriod {
		return 0
	}
	return n.Hub.LinkCount() + selfCount
}

// acceptsLinks reports whether this node holds the lease, so that other nodes may
// link to it.
func (n *Node) acceptsLinks() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease.IsHeld(n.Uptime.Now())
}

// initialUpdate returns the first update for a node that has just linked: the
// node count and the engine states of all servers.
func (n *Node) initialUpdate() hub.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := hub.Update{NodeCount: n.countNodes(time.Now())}
	if n.Traits != nil {
		u.Traits = n.Traits.TraitSnapshot()
	}
	for id, state := range n.planner.Snapshot() {
		u.Servers = append(u.Servers, hub.ServerState{ID: id, EngineState: state})
	}
	return u
}
