package quota

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/limits"
)

const (
	// simShareGroups is the number of groups whose nodes' reports a relay adds up, as in package limits.
	simShareGroups = 20
	simShareLag    = 300 * time.Millisecond
)

// simShares enforces the quotas by the shares of package limits: each node reports its demand once a
// second.
type simShares struct {
	nodes []map[*simWorkspace]*limits.Limit
}

// useShares replaces the ledger by shares. Each node sends and receives at least one message a
// second, with an entry for each workspace.
func (s *simulation) useShares() {
	s.shares = &simShares{}
	for _, n := range s.nodes {
		own := map[*simWorkspace]*limits.Limit{}
		for _, w := range s.workspaces {
			own[w] = &limits.Limit{}
		}
		s.shares.nodes = append(s.shares.nodes, own)
		n.isLinked = false
	}
	groups := min(len(s.nodes), simShareGroups)
	for g := range groups {
		s.after(time.Duration(g)*time.Second/time.Duration(groups), func() { s.reportShares(g, groups) })
	}
}

// time converts the simulated time.
func (s *simulation) time() time.Time { return time.Unix(0, 0).Add(s.now) }

// reportShares sends the demand of the nodes of a group to all others.
func (s *simulation) reportShares(group, groups int) {
	s.after(time.Second, func() { s.reportShares(group, groups) })
	for _, w := range s.workspaces {
		sum := 0.0
		own := make([]float64, len(s.nodes))
		for i := group; i < len(s.nodes); i += groups {
			own[i], _ = s.shares.nodes[i][w].Rates(s.time())
			sum += own[i]
		}
		s.after(simShareLag, func() {
			for i, n := range s.shares.nodes {
				n[w].ApplyReport(s.time(), domain.NodeID(rune('a'+group)), sum-own[i])
			}
		})
	}
	for i := group; i < len(s.nodes); i += groups {
		s.nodes[i].bytes += 2 * (simMessageBytes + simEntryBytes*len(s.workspaces))
	}
}

// handleByShares decides on a request by the share of its node.
func (s *simulation) handleByShares(n *simNode, r simRequest) {
	if s.shares.nodes[n.index][r.w].Allow(s.time(), r.w.limit.Rate, len(s.nodes), r.amount) {
		s.admit(r)
		return
	}
	s.refuse(r)
}
