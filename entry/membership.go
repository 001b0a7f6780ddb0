package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// leaveTimeout bounds the call that leaves the group at shutdown.
	leaveTimeout = time.Second
	// orderWaitTimeout bounds the wait for the responses to orders before that.
	orderWaitTimeout = time.Second
	// renewalsPerTimeToLive is how many times the membership is renewed within its
	// time-to-live.
	renewalsPerTimeToLive = 4
	// joinCall names the calls of joinGroup in recordStoreResult.
	joinCall = "Join"
	// candidacyInterval is how often a node that is no member of the group decides whether to
	// join it, and how often it may look at the group.
	candidacyInterval = 250 * time.Millisecond
	// maximumOwnersAge is the age up to which a list of the owners serves for a look at the
	// group. The attempts to link bring new ones.
	maximumOwnersAge = 600 * time.Millisecond
)

// renewMembership renews this node's membership of the group, through which it may
// become the owner, while it is a candidate. It leaves the group when the node drains or stops.
func (n *Node) renewMembership(ctx context.Context) {
	isMember := false
	for ctx.Err() == nil && !n.mustHandOver(time.Now()) {
		switch {
		case n.isCandidate():
			isMember = true
			n.joinGroup(ctx)
			n.awaitRenewal(ctx)
		case isMember:
			isMember = false
			n.leaveGroup(context.WithoutCancel(ctx))
		default:
			pause.For(ctx, candidacyInterval, nil)
		}
	}
	if isMember {
		n.leaveGroup(context.WithoutCancel(ctx))
	}
}

// isCandidate reports whether this node is to be a member of the group now, and logs a change.
func (n *Node) isCandidate() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Uptime.Now()
	n.candidacy.Start(now)
	if n.lease.IsHeld(now) || n.hasWorkingOwner(time.Now()) {
		n.candidacy.RecordOwner(now)
	}
	isMember := n.candidacy.IsMember(now)
	if isMember != n.wasCandidate {
		n.wasCandidate = isMember
		n.Logger.Info().Str("Event", "CandidacyChanged").Bool("Candidate", isMember).Bool("Standby", n.Standby).
			Msg("this node joins or leaves the group of possible owners")
	}
	return isMember
}

// hasWorkingOwner reports whether this node is linked to an owner that reads the store. A link that
// is new counts until the owner's first report of a read is due. The caller holds mu.
func (n *Node) hasWorkingOwner(now time.Time) bool {
	return n.hasFreshStoreUpdate(now) || !n.linkedAt.IsZero() && now.Sub(n.linkedAt) < n.storeUpdateLife()
}

// watchGroup looks at the group while this node may have to join it, is a member that may be
// needless, or is linked to an owner that does not read the store.
func (n *Node) watchGroup(ctx context.Context) {
	for pause.For(ctx, jitter(2*candidacyInterval), nil) {
		n.mu.Lock()
		mustSurvey := n.candidacy.NeedsSurvey(n.Uptime.Now())
		mustLook := mustSurvey || !n.linkedAt.IsZero() && !n.hasWorkingOwner(time.Now())
		n.mu.Unlock()
		if !mustLook {
			continue
		}
		owners, err := n.recentOwners(ctx)
		if err != nil {
			continue
		}
		n.endLinkToPredecessor(owners)
		if mustSurvey {
			n.recordSurvey(n.surveyGroup(ctx, owners))
		}
	}
}

// endLinkToPredecessor ends the link to an owner that has a successor, of which the owner cannot
// know while it does not reach the store.
func (n *Node) endLinkToPredecessor(owners map[lease.Shard]domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	owner, ok := owners[ownedShard]
	if !ok || n.linkedAt.IsZero() || owner == n.linkedOwner || n.hasWorkingOwner(time.Now()) {
		return
	}
	n.Logger.Info().Str("Event", "OwnerReplaced").Str("Owner", string(n.linkedOwner)).Str("Successor", string(owner)).
		Msg("the linked owner does not read the store, and the store has given the engines to another node")
	n.endLink()
}

// ownerList is a response of the store, and when it arrived.
type ownerList struct {
	owners map[lease.Shard]domain.NodeID
	at     time.Time
}

// lookUpOwners asks the store for the owners of the shards.
func (n *Node) lookUpOwners(ctx context.Context) (map[lease.Shard]domain.NodeID, error) {
	owners, err := n.Group.Owners(ctx)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastOwners = ownerList{owners, time.Now()}
	return owners, nil
}

// recentOwners returns the owners that the last call for a link returned, or asks the store if that
// is older than maximumOwnersAge.
func (n *Node) recentOwners(ctx context.Context) (map[lease.Shard]domain.NodeID, error) {
	n.mu.Lock()
	last := n.lastOwners
	n.mu.Unlock()
	if !last.at.IsZero() && time.Since(last.at) < maximumOwnersAge {
		return last.owners, nil
	}
	return n.lookUpOwners(ctx)
}

// surveyGroup returns what this node sees of the other members that own a shard. The store has a
// bounded number of shards.
func (n *Node) surveyGroup(ctx context.Context, owners map[lease.Shard]domain.NodeID) lease.Survey {
	owner, hasOwner := owners[ownedShard]
	s := lease.Survey{HasOwner: hasOwner}
	seen := map[domain.NodeID]bool{n.Name: true}
	var others []domain.NodeID
	for _, id := range owners {
		if seen[id] {
			continue
		}
		seen[id] = true
		s.Holders++
		if !n.IsStandby(id) {
			s.Candidates++
		}
		if id != owner {
			others = append(others, id)
		}
	}
	s.Responds = n.anyResponds(ctx, others)
	return s
}

// anyResponds reports whether one of some nodes responds.
func (n *Node) anyResponds(ctx context.Context, nodes []domain.NodeID) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(nodes))
	for _, id := range nodes {
		go func() { results <- hub.Responds(ctx, n.Dialer, n.HubAddress(id)) }()
	}
	for range nodes {
		if <-results {
			return true
		}
	}
	return false
}

func (n *Node) recordSurvey(s lease.Survey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.candidacy.RecordSurvey(n.Uptime.Now(), s)
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
	if err == nil {
		n.recordEra(time.Now(), grant.Era)
	}
	switch {
	case err != nil:
		n.lease.RecordRenewalFailure(n.Uptime.Now())
	case !n.isHandOverDue(time.Now()):
		n.applyGrant(sentAt, generation, grant)
	}
}

// applyGrant records the store's response to a membership call that was sent at sentAt with a
// generation. The caller holds mu.
func (n *Node) applyGrant(sentAt time.Duration, generation lease.Generation, g lease.Grant) {
	now := n.Uptime.Now()
	wasOwner := n.lease.IsRetained(now)
	n.candidacy.RecordGrant(now, g)
	n.lease.ApplyGrant(sentAt, now, g)
	if g.Generation != generation {
		// The store gives a shard that this member lost to another one when this member has
		// sent the new generation.
		signal(n.renewTrigger)
	}
	if isOwner := n.lease.IsRetained(now); isOwner != wasOwner {
		// The links of a lost shard end at once. The nodes that link to a new owner need to
		// know how far it has read the registrations.
		n.triggerPlan()
		n.storeUpdates.notify()
	}
}

// awaitRenewal waits until the membership must be renewed again or the node hands over, and less
// long after a change of the group or the loss of the owner. After a failed renewal, it waits at most
// until the store recovers.
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
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-n.renewTrigger:
	case <-t.C:
	}
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
