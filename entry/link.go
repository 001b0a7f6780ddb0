package entry

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// reportInterval is how often a node tells the owner what has changed.
	reportInterval = 250 * time.Millisecond
	// gatherTime is how long a report waits for more requests that begin to wait.
	gatherTime = 5 * time.Millisecond
	// relinkPause is the wait before the owner is looked up again.
	relinkPause = 350 * time.Millisecond
	// longestRelink bounds that wait while there is no owner.
	longestRelink = 1500 * time.Millisecond
	// ownedShard is the one shard that there is.
	ownedShard lease.Shard = 0
)

// keepLink keeps a link to the owner, if that is another node.
func (n *Node) keepLink(ctx context.Context) {
	wait := relinkPause
	for ctx.Err() == nil {
		if n.owns() {
			pause.For(ctx, relinkPause, nil)
			continue
		}
		linked, err := n.link(ctx)
		if linked {
			wait = relinkPause
		}
		if err != nil && ctx.Err() == nil {
			n.Logger.Debug().Str("Event", "OwnerNotLinked").Err(err).Msg("there is no link to the owner")
		}
		n.pauseUntilBack(ctx, wait)
		wait = min(wait*3/2, longestRelink)
	}
}

func (n *Node) owns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease.IsHeld(n.Uptime.Now())
}

// unlinked notes that the owner says nothing more. What it said of the servers
// stands until the registrations are read.
func (n *Node) unlinked() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.news.at = time.Time{}
	n.overlayLost = true
	n.news.renew()
}

// link looks the owner up and works with it until the link breaks. It tells
// whether there was a link.
func (n *Node) link(ctx context.Context) (bool, error) {
	owners, err := n.Group.Owners(ctx)
	if err != nil {
		return false, err
	}
	owner, ok := owners[ownedShard]
	if !ok || owner == n.Name {
		return false, errors.New("nobody else owns the model engines")
	}
	l, err := hub.Dial(ctx, n.Dialer, n.HubAddress(owner))
	if err != nil {
		return false, err
	}
	defer l.Close()
	defer n.unlinked()
	n.Logger.Info().Str("Event", "OwnerLinked").Str("Owner", string(owner)).Msg("linked to the owner")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		n.report(ctx, l)
	}()
	for {
		u, err := l.Receive(ctx)
		if err != nil {
			n.Logger.Info().Str("Event", "OwnerLinkLost").Str("Owner", string(owner)).Err(err).Msg("the link to the owner is lost")
			return true, err
		}
		n.updated(u)
	}
}

// report tells the owner what this node's requests need.
func (n *Node) report(ctx context.Context, l *hub.Link) {
	demands := n.Demand.TakeAll(time.Now())
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	idle := time.Now()
	for {
		n.mu.Lock()
		r := hub.Report{Node: n.Name, Demands: demands, Suspects: n.crashes, Doubted: n.doubted}
		n.crashes, n.doubted = nil, nil
		n.mu.Unlock()
		if len(demands) > 0 || len(r.Suspects) > 0 || len(r.Doubted) > 0 || time.Since(idle) > time.Second {
			if err := l.Send(ctx, r); err != nil {
				return
			}
			idle = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-n.Demand.Urgent():
			pause.For(ctx, gatherTime, nil)
		case <-ticker.C:
		}
		demands = n.Demand.TakeChanges(time.Now())
	}
}

// updated takes in what the owner says.
func (n *Node) updated(u hub.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fence != 0 {
		return
	}
	now := time.Now()
	n.heard(now, u.News)
	if len(u.Servers) == 0 && len(u.Suspects) == 0 && u.Nodes <= n.nodes {
		return
	}
	overlay := make(map[domain.ServerID]fleet.EngineState, len(n.overlay)+len(u.Servers))
	if !n.overlayLost {
		maps.Copy(overlay, n.overlay)
	}
	n.overlayLost = false
	for _, s := range u.Servers {
		overlay[s.ID] = s.Holdings
	}
	n.overlay = overlay
	n.nodes = max(n.nodes, u.Nodes)
	if len(u.Suspects) > 0 && n.OnCrashReports != nil {
		n.OnCrashReports(u.Suspects)
	}
	n.publish(now)
}
