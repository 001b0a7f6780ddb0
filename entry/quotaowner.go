package entry

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/quota"
)

// quotaLinksInterval is how often the owner compares the ledger with the links.
const quotaLinksInterval = 250 * time.Millisecond

// begin makes this node keep the ledger, if it does not yet. The ledger knows nodes by their
// addresses, so that a process that was started again takes the place of the one before. Until the
// other nodes have linked, the ledger has this node's share alone.
func (q *quotas) begin(self domain.NodeID) {
	q.withLimits(func(now time.Duration) {
		if q.ledger != nil {
			return
		}
		q.allowance.Link(now)
		q.endWaits()
		q.ledger = quota.NewLedger(now, q.terms, self, q.allowance.Nodes())
		if now < q.unlimitedUntil {
			// The limits are new, so that no node can have used them up.
			q.ledger.Configure(now, nil)
		}
		q.ledger.Configure(now, q.limits)
		q.ledger.Record(now, self, q.allowance.Uses(now))
		q.free = map[domain.WorkspaceName]bool{}
		q.linksCheckedAt = now
	})
}

// end makes this node give up the ledger. It keeps its own share of the buckets.
func (q *quotas) end() {
	q.withLimits(func(now time.Duration) {
		if q.ledger == nil {
			return
		}
		q.allowance.Apply(now, q.ledger.FullUpdate(now))
		q.allowance.Unlink(now)
		q.ledger = nil
		q.countContended(0)
	})
}

// record applies the report of a node at the owner. It returns the reply to the node, and the news
// for all nodes if they are due.
func (q *quotas) record(node domain.NodeID, r quota.Report) (reply, news quota.Update) {
	q.withLimits(func(now time.Duration) {
		if q.ledger == nil {
			return
		}
		reply = q.ledger.Reply(now, node, r, q.ledger.Record(now, node, r))
		news = q.news(now)
	})
	return reply, news
}

// advance does the periodic work of the owner. The parameter nodes returns the addresses of the
// linked nodes. It returns the news for all nodes if they are due.
func (q *quotas) advance(nodes func() map[domain.NodeID]bool) quota.Update {
	var news quota.Update
	q.withLimits(func(now time.Duration) {
		if q.ledger == nil {
			return
		}
		q.ledger.Advance(now)
		if now-q.linksCheckedAt >= quotaLinksInterval {
			q.linksCheckedAt = now
			q.forgetUnlinked(now, nodes())
		}
		news = q.news(now)
	})
	return news
}

func (q *quotas) forgetUnlinked(now time.Duration, linked map[domain.NodeID]bool) {
	for _, id := range q.ledger.Linked() {
		if !linked[id] {
			q.ledger.Forget(now, id)
		}
	}
}

// news returns the news that are due, and logs the workspaces that they concern. The caller holds
// mu.
func (q *quotas) news(now time.Duration) quota.Update {
	n := q.ledger.Update(now)
	changed := false
	for _, l := range n.Levels {
		if l.Free == q.free[l.Workspace] {
			continue
		}
		changed = true
		q.free[l.Workspace] = l.Free
		if l.Free {
			q.logger.Info().Str("Event", "QuotaEased").Str("Workspace", string(l.Workspace)).Float64("Level", l.Amount).Msg("the bucket of a workspace is well filled; the nodes admit its requests without asking")
			continue
		}
		q.logger.Info().Str("Event", "QuotaContended").Str("Workspace", string(l.Workspace)).Float64("Level", l.Amount).Msg("the bucket of a workspace runs low; the nodes ask for each of its requests")
	}
	if changed {
		q.countContended(len(q.ledger.Contended(now)))
	}
	return n
}

func (q *quotas) countContended(workspaces int) {
	if q.counters != nil {
		q.counters.SetContendedWorkspaces(workspaces)
	}
}

// fullUpdate returns all levels, for a node that has just linked.
func (q *quotas) fullUpdate() quota.Update {
	var n quota.Update
	q.withLimits(func(now time.Duration) {
		if q.ledger != nil {
			n = q.ledger.FullUpdate(now)
		}
	})
	return n
}

// isOwner reports whether this node has the ledger.
func (q *quotas) isOwner() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger != nil
}

// quotaID returns the name of a node in the ledger.
func (n *Node) quotaID(id domain.NodeID) domain.NodeID {
	if n.HubAddress == nil {
		return id
	}
	return domain.NodeID(n.HubAddress(id))
}

// recordQuotaReport applies a node's report on quotas at the owner and answers it at once, without
// a wait for Node.mu, which a plan may hold for long.
func (n *Node) recordQuotaReport(r hub.Report) {
	if !n.quotas.isEnabled.Load() {
		return
	}
	if !n.quotas.isOwner() {
		n.beginQuotas()
	}
	n.quotas.orderMu.Lock()
	defer n.quotas.orderMu.Unlock()
	reply, news := n.quotas.record(n.quotaID(r.Node), r.Uses)
	if !reply.IsEmpty() {
		n.logQuotaFailure(n.Hub.Send([]domain.NodeID{r.Node}, hub.Update{Grants: reply}))
	}
	n.broadcastQuotas(news)
}

// beginQuotas makes this node keep the ledger if it retains the lease.
func (n *Node) beginQuotas() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.retainsLease() {
		n.quotas.begin(n.quotaID(n.Name))
	}
}

// updateQuotas does the owner's periodic work on quotas. The caller holds mu.
func (n *Node) updateQuotas() {
	if !n.quotas.isEnabled.Load() {
		return
	}
	if !n.retainsLease() {
		n.quotas.end()
		return
	}
	n.quotas.begin(n.quotaID(n.Name))
	n.quotas.orderMu.Lock()
	defer n.quotas.orderMu.Unlock()
	n.broadcastQuotas(n.quotas.advance(n.linkedAddresses))
}

// linkedAddresses returns the linked nodes as the ledger names them.
func (n *Node) linkedAddresses() map[domain.NodeID]bool {
	nodes := n.Hub.Nodes()
	addresses := make(map[domain.NodeID]bool, len(nodes))
	for _, id := range nodes {
		addresses[n.quotaID(id)] = true
	}
	return addresses
}

func (n *Node) broadcastQuotas(news quota.Update) {
	if !news.IsEmpty() {
		n.logQuotaFailure(n.Hub.Broadcast(hub.Update{Grants: news}))
	}
}

func (n *Node) logQuotaFailure(err error) {
	if err != nil {
		n.Logger.Error().Str("Event", "QuotaUpdateFailed").Err(err).Msg("failed to encode an update of quotas for the other nodes")
	}
}
