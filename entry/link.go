package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// reportInterval is how often a node checks for changed demand and reports it
	// to the owner.
	reportInterval = 250 * time.Millisecond
	// reportBatchDelay is how long an urgent report is held back to include further
	// waiting requests.
	reportBatchDelay = 5 * time.Millisecond
	// relinkInterval is the first interval between attempts to link to the owner.
	relinkInterval = 350 * time.Millisecond
	// maximumRelinkInterval bounds the backoff between attempts while they fail.
	maximumRelinkInterval = 1500 * time.Millisecond
	// ownedShard is the only shard: it contains all model engines.
	ownedShard lease.Shard = 0
)

// maintainLink keeps a link to the owner while another node is the owner.
func (n *Node) maintainLink(ctx context.Context) {
	interval := relinkInterval
	for ctx.Err() == nil {
		if n.isOwner() {
			pause.For(ctx, relinkInterval, nil)
			continue
		}
		linked, err := n.followOwner(ctx)
		if linked {
			interval = relinkInterval
		}
		if err != nil && ctx.Err() == nil {
			n.Logger.Debug().Str("Event", "OwnerNotLinked").Err(err).Msg("not linked to the owner")
		}
		n.pauseUntilRecovery(ctx, interval)
		interval = min(interval*3/2, maximumRelinkInterval)
	}
}

// isOwner reports whether this node retains the lease. It may not be permitted to issue orders now.
func (n *Node) isOwner() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retainsLease()
}

// retainsLease is isOwner for a caller that holds mu.
func (n *Node) retainsLease() bool { return n.lease.IsRetained(n.Uptime.Now()) }

// handleLinkLoss shortens the time for which the owner's last store update is fresh, after which
// this node reads the store itself, by a random part: all nodes may have lost their links at once.
// It marks the engine states from the owner as stale. Each stays in use until a newer registration of
// its server is read.
func (n *Node) handleLinkLoss() {
	n.quotas.unlink()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkedAt = time.Time{}
	if left := n.storeUpdateTimeLeft(time.Now()); left > 0 {
		n.storeUpdates.readReportedAt = n.storeUpdates.readReportedAt.Add(-rand.N(left))
	}
	n.overlayStale = true
	n.storeUpdates.notify()
	signal(n.renewTrigger)
}

// followOwner links to the current owner, sends reports and applies its updates
// until the link breaks. It reports whether a link was established.
func (n *Node) followOwner(ctx context.Context) (bool, error) {
	owners, err := n.lookUpOwners(ctx)
	if err != nil {
		return false, err
	}
	owner, ok := owners[ownedShard]
	if !ok || owner == n.Name {
		return false, errors.New("no other node owns the model engines")
	}
	link, err := hub.Dial(ctx, n.Dialer, n.HubAddress(owner))
	if err != nil {
		return false, err
	}
	defer link.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.linkedAt, n.linkedOwner, n.endLink = time.Now(), owner, cancel
	n.mu.Unlock()
	n.quotas.link()
	defer n.handleLinkLoss()
	n.Logger.Info().Str("Event", "OwnerLinked").Str("Owner", string(owner)).Msg("linked to the owner")
	go func() {
		defer cancel()
		n.sendReports(ctx, link)
	}()
	for {
		u, err := link.Receive(ctx)
		if err != nil {
			n.Logger.Info().Str("Event", "OwnerLinkLost").Str("Owner", string(owner)).Err(err).Msg("the link to the owner is lost")
			return true, err
		}
		n.quotas.apply(u.Grants)
		n.applyUpdate(u)
	}
}

// sendReports sends the owner this node's demand, crash reports, stale servers,
// leaving servers and loads of servers. The first report has the complete demand, all leaving servers and
// the request contents that crashed servers, later ones only the changes.
// After a second without a report, it sends an empty one.
func (n *Node) sendReports(ctx context.Context, l *hub.Link) {
	demands := n.Demand.TakeAll(time.Now())
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastSent := time.Now()
	var leaving []hub.LeavingServer
	var lastLeaving fleet.NoticeNumber
	n.resetTraitReport()
	contents := n.contentSnapshot()
	for {
		leaving, lastLeaving = n.leavingServers(time.Now(), lastLeaving)
		n.mu.Lock()
		loads, prefixes := n.takeLoads(time.Now())
		r := hub.Report{
			Node: n.Name, Demands: demands, CrashReports: n.takeCrashReports(time.Now()), Traits: n.takeTraitReport(), Contents: contents, StaleServers: n.staleServers,
			LeavingServers: leaving, Loads: loads, Prefixes: prefixes, Uses: n.quotas.report(), StoreFailure: n.storeFailure(time.Now()),
		}
		contents = nil
		if len(r.Contents) == 0 {
			r.Contents = n.takeContentNews()
		}
		n.staleServers = nil
		n.mu.Unlock()
		if mustSend(r) || time.Since(lastSent) > time.Second {
			if err := l.Send(ctx, r); err != nil {
				return
			}
			lastSent = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-n.Demand.Urgent():
			pause.For(ctx, reportBatchDelay, nil)
		case <-n.quotas.urgent:
			pause.For(ctx, n.quotas.reportDelay(lastSent), nil)
		case <-n.traitsReported:
			pause.For(ctx, reportBatchDelay, nil)
		case <-ticker.C:
		}
		demands = n.Demand.TakeChanges(time.Now())
	}
}

// mustSend reports whether a report has something that the owner needs at once.
func mustSend(r hub.Report) bool {
	return r.StoreFailure.Known || len(r.Demands)+len(r.CrashReports)+len(r.Contents)+len(r.StaleServers)+len(r.LeavingServers) > 0 ||
		!r.Traits.IsEmpty() || !r.Uses.IsEmpty() || hasReports(r.Loads)
}

// applyUpdate applies an update from the owner. A node that is the owner itself
// ignores it.
func (n *Node) applyUpdate(u hub.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fence != 0 {
		return
	}
	now := time.Now()
	if u.CandidateCount > 0 {
		n.candidacy.RecordLinkedCandidates(n.Uptime.Now(), u.CandidateCount)
	}
	n.applyStoreFailure(now, u.StoreFailure)
	n.applyRegistrationChanges(now, u.Registrations)
	n.applyStoreUpdate(now, u.Store)
	n.applyKeyUpdate(u.Keys)
	n.applyTraits(u.Traits, false)
	n.applyLoads(now, u)
	n.restoreContents(u.Contents)
	n.noteCrashReports(u.CrashReports)
	if len(u.Servers) == 0 && len(u.CrashReports) == 0 && u.NodeCount <= n.nodeCount {
		return
	}
	overlay := make(map[domain.ServerID]fleet.EngineState, len(n.overlay)+len(u.Servers))
	// A new owner may not have asked all servers yet; what the one before said of them still counts.
	maps.Copy(overlay, n.overlay)
	n.overlayStale = false
	for _, s := range u.Servers {
		overlay[s.ID] = s.EngineState
	}
	n.overlay = overlay
	n.nodeCount = max(n.nodeCount, u.NodeCount)
	n.applyCrashReports(u.CrashReports)
	n.publishView(now)
}
