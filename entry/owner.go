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
	// planInterval is how often the owner looks for orders to give.
	planInterval = 30 * time.Millisecond
	// leastPlanGap is the least time between two plans, planShare what each linked
	// node adds to it.
	leastPlanGap = 4 * time.Millisecond
	planShare    = 300 * time.Microsecond
	// idleInterval is how often a node looks whether it has become the owner.
	idleInterval = 200 * time.Millisecond
	// updateShare is how much each linked node adds to the time between two updates,
	// so that many nodes do not take the owner's processor.
	updateShare = time.Millisecond
	// leaveTimeout bounds the last call of a node that stops.
	leaveTimeout = time.Second
	// membershipParts is how many renewals fit into a time-to-live.
	membershipParts = 4
	// gatheringTime is how long the nodes may take to link to a new owner.
	gatheringTime = 4 * time.Second
	// nodeSelf counts the owner itself among the nodes.
	nodeSelf = 1
)

// signature tells whether a server's holdings have changed.
type signature struct {
	born             int64
	sequence         uint64
	busy             bool
	models, adapters int
}

func sign(h fleet.EngineState) signature {
	s := signature{born: h.StartedAtMs, sequence: h.Sequence, busy: h.Busy, models: len(h.Models)}
	for _, m := range h.Models {
		s.adapters += len(m.Adapters)
	}
	return s
}

// keepMembership renews the membership that makes this node the owner or lets it
// become so.
func (n *Node) keepMembership(ctx context.Context) {
	for ctx.Err() == nil {
		sent := n.Uptime.Now()
		n.mu.Lock()
		generation := n.lease.Generation()
		n.mu.Unlock()
		grant, err := n.Group.Join(ctx, generation, n.TimeToLive)
		if ctx.Err() != nil {
			break
		}
		n.mu.Lock()
		n.storeAnswered(time.Now(), "Join", err)
		if err == nil {
			n.lease.ApplyGrant(sent, grant)
		} else {
			n.lease.RecordRenewalFailure(n.Uptime.Now())
		}
		n.mu.Unlock()
		if err != nil {
			n.pauseUntilBack(ctx, n.TimeToLive/membershipParts)
			continue
		}
		pause.For(ctx, n.TimeToLive/membershipParts, nil)
	}
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := n.Group.Leave(leave); err != nil {
		n.Logger.Info().Str("Event", "LeaveFailed").Err(err).Msg("the group was not told that this node leaves")
	}
}

// own gives orders while this node is the owner.
func (n *Node) own(ctx context.Context) {
	for ctx.Err() == nil {
		interval := idleInterval
		var urgent <-chan struct{}
		if n.plan(ctx) {
			interval = planInterval
			urgent = n.Demand.Urgent()
			// News gathers for a moment: many nodes report, and a plan covers them all.
			pause.For(ctx, leastPlanGap+time.Duration(n.Hub.Nodes())*planShare, nil)
		}
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-n.nudge:
		case <-urgent:
		case <-t.C:
		}
		t.Stop()
	}
}

// plan gives the orders that are due. It returns false where this node is not
// the owner.
func (n *Node) plan(ctx context.Context) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	uptime := n.Uptime.Now()
	fence, valid := n.lease.Fence(uptime)
	n.changeOwner(now, fence, valid)
	if !n.lease.IsHeld(uptime) {
		n.Hub.Close()
	}
	if !valid {
		return false
	}
	n.planner.RecordDemand(now, n.Name, n.Demand.TakeChanges(now))
	for _, s := range n.planner.DuePolls(now) {
		go n.ask(ctx, s)
	}
	for _, o := range n.planner.PlanOrders(now) {
		go n.order(ctx, o, fence)
	}
	if now.Sub(n.toldAt) >= time.Duration(n.Hub.Nodes())*updateShare {
		n.toldAt = now
		n.tell(now)
	}
	return true
}

// changeOwner notes the beginning and the end of a term as owner. The caller
// holds mu.
func (n *Node) changeOwner(now time.Time, fence domain.Fence, valid bool) {
	if !valid {
		fence = 0
	}
	if fence == n.fence {
		return
	}
	n.fence = fence
	if fence == 0 {
		n.Logger.Info().Str("Event", "OwnershipLost").Msg("this node no longer owns the model engines")
		n.planner.EndTerm()
		n.told, n.overlay = nil, nil
		return
	}
	n.Logger.Info().Str("Event", "OwnershipBegun").Uint64("Fence", uint64(fence)).Msg("this node owns the model engines")
	n.ownedSince = now
	n.planner.BeginTerm(now)
	n.planner.RecordDemand(now, n.Name, n.Demand.TakeAll(now))
}

func (n *Node) ask(ctx context.Context, s fleet.Server) {
	asked := time.Now()
	h, err := n.Engines.QueryHoldings(ctx, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.RecordReport(time.Now(), asked, s.ID, h, err)
	if err != nil {
		n.Logger.Debug().Str("Event", "ReportFailed").Str("Server", string(s.ID)).Err(err).Msg("a server did not report")
	} else {
		n.Logger.Debug().Str("Event", "Reported").Str("Server", string(s.ID)).Uint64("Sequence", h.Sequence).Int64("Born", h.StartedAtMs).Bool("Busy", h.Busy).Msg("a server has reported")
	}
	n.wake()
}

func (n *Node) order(ctx context.Context, o placement.Order, f domain.Fence) {
	// The lease may have ended since the plan was made.
	n.mu.Lock()
	now, valid := n.lease.Fence(n.Uptime.Now())
	n.mu.Unlock()
	out := placement.Rejected
	var err error
	sent := time.Now()
	if valid && now == f {
		out, err = n.Engines.Order(ctx, o, f)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.RecordOutcome(time.Now(), sent, o, out)
	if out == placement.Fenced {
		n.lease.Invalidate()
	}
	n.Logger.Info().Str("Event", "Ordered").Stringer("Operation", o.Operation).Stringer("Outcome", out).Str("Server", string(o.Server.ID)).
		Str("Model", string(o.Model)).Str("Adapter", string(o.Adapter)).Uint64("Expected", o.ExpectedSequence).Uint64("Fence", uint64(f)).
		Int64("TookMs", time.Since(sent).Milliseconds()).AnErr("Cause", err).Msg(o.Reason)
	n.wake()
}

// tell passes changed holdings on to the other nodes and to this one's view. The
// caller holds mu.
func (n *Node) tell(now time.Time) {
	held := n.planner.Snapshot()
	if n.told == nil {
		n.told = map[domain.ServerID]signature{}
	}
	u := hub.Update{Nodes: n.countNodes(now), Suspects: n.crashes}
	n.nodes = max(n.nodes, u.Nodes)
	n.crashes = nil
	for id, h := range held {
		s := sign(h)
		if n.told[id] == s {
			continue
		}
		n.told[id] = s
		u.Servers = append(u.Servers, hub.Server{ID: id, Holdings: h})
	}
	for id := range n.told {
		if _, ok := held[id]; !ok {
			delete(n.told, id)
		}
	}
	if len(u.Servers) == 0 && len(u.Suspects) == 0 {
		return
	}
	n.overlay = held
	n.publish(now)
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "UpdateFailed").Err(err).Msg("an update for the nodes cannot be encoded")
	}
}

// reported takes in what another node needs.
func (n *Node) reported(r hub.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lease.IsHeld(n.Uptime.Now()) {
		return
	}
	n.planner.RecordDemand(time.Now(), r.Node, r.Demands)
	for _, id := range r.Doubted {
		n.planner.RequestPoll(time.Now(), id)
	}
	n.crashes = append(n.crashes, r.Suspects...)
	if len(r.Suspects) > 0 && n.OnCrashReports != nil {
		n.OnCrashReports(r.Suspects)
	}
	n.wake()
}

// countNodes is how many nodes there are, 0 while they may not all have linked
// yet. The caller holds mu.
func (n *Node) countNodes(now time.Time) int {
	if n.fence == 0 || now.Sub(n.ownedSince) < gatheringTime {
		return 0
	}
	return n.Hub.Nodes() + nodeSelf
}

// accepts tells whether other nodes may link to this one as the owner.
func (n *Node) accepts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease.IsHeld(n.Uptime.Now())
}

// joined returns everything a node must know that has just linked.
func (n *Node) joined() hub.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := hub.Update{Nodes: n.countNodes(time.Now())}
	for id, h := range n.planner.Snapshot() {
		u.Servers = append(u.Servers, hub.Server{ID: id, Holdings: h})
	}
	return u
}
