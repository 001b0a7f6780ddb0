package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// configurationWait is how long one call waits for a new configuration. A call
	// whose answer is lost is noticed after that and the store's timeout.
	configurationWait = 2200 * time.Millisecond
	// informedWait is the same while the owner tells of each change.
	informedWait = 20 * time.Second
	// firstPause and longestPause bound the wait after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// startInterval is the pause before the store is asked again where its first
	// answers cannot be used; it grows to longestStartInterval.
	startInterval        = 150 * time.Millisecond
	longestStartInterval = time.Second
)

// followConfiguration keeps the newest configuration in force.
func (n *Node) followConfiguration(ctx context.Context) {
	var cursor domain.Offset
	wait, start := firstPause, startInterval
	for ctx.Err() == nil {
		call, cancel := n.untilBack(ctx)
		go n.watchNews(call, cancel, cursor)
		c, next, err := n.Feed.Configuration(call, cursor, n.configurationWaits())
		again := call.Err() != nil
		cancel()
		if again {
			continue
		}
		n.mu.Lock()
		n.storeAnswered(time.Now(), "Configuration", err)
		n.mu.Unlock()
		if err != nil {
			n.pauseUntilBack(ctx, wait)
			wait = min(2*wait, longestPause)
			continue
		}
		wait = firstPause
		cursor = next
		if c != nil {
			n.configure(c, next)
		} else if !n.configured() {
			pause.For(ctx, start, nil)
			start = longer(start)
		}
	}
}

func (n *Node) configured() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config != nil
}

// configure puts a configuration in force that was read up to an offset.
func (n *Node) configure(c *fleet.Configuration, end domain.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config != nil && c.Version <= n.config.Version {
		return
	}
	n.config = c
	n.configurationEnd = end
	n.spread(false)
	n.planner.Configure(c)
	n.publish(time.Now())
	n.Logger.Info().Str("Event", "ConfigurationInForce").Int64("Version", int64(c.Version)).Int("Routes", len(c.Routes)).
		Int("Services", len(c.Services)).Msg("a configuration is in force")
}

// followServers keeps the directory of backend servers. While the owner tells of
// changes, the store is read only for these.
func (n *Node) followServers(ctx context.Context) {
	var cursor domain.Offset
	var last time.Time
	start := startInterval
	for ctx.Err() == nil {
		changed := n.newsChanged()
		interval := n.RegistrationsInterval
		if n.unread(time.Now(), cursor, last) {
			changes, whole, next, err := n.Feed.Servers(ctx, cursor)
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				cursor, last = next, time.Now()
			}
			n.learn(changes, whole, next, err)
			if err == nil && !n.hasServers() {
				interval = start
				start = longer(start)
			}
		} else {
			interval = min(interval, n.review())
		}
		n.awaitNews(ctx, interval, changed)
	}
}

// awaitNews waits, but no longer than until the owner tells of a change or the
// store answers again.
func (n *Node) awaitNews(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.back():
	case <-changed:
	case <-t.C:
	}
}

// review publishes what changes with time alone: a server whose registration went
// is usable no longer after a while. It returns how soon the owner's word is old and
// the store is to be read.
func (n *Node) review() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.directory.IsStable(now) {
		n.useServers(now)
	}
	return n.newsLeft(now)
}

// useServers has the planner and the views go by the servers that are usable now,
// and returns how many these are. The caller holds mu.
func (n *Node) useServers(now time.Time) int {
	usable := n.directory.Usable(now)
	n.planner.SetServers(now, usable)
	n.publishServers(usable)
	return len(usable)
}

// longer is the next pause of a node that has nothing yet.
func longer(d time.Duration) time.Duration { return min(d*3/2, longestStartInterval) }

func (n *Node) hasServers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed
}

// learn takes in changes of registrations.
func (n *Node) learn(changes []fleet.Change, whole bool, end domain.Offset, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.storeAnswered(now, "Servers", err)
	if err != nil {
		n.useServers(now)
		return
	}
	var changed []domain.ServerID
	if whole {
		changed = n.directory.ApplyListing(now, changes, end)
	} else {
		changed = n.directory.Apply(now, changes)
	}
	if len(changed) > 0 {
		n.registrationsEnd = end
	}
	n.spread(true)
	if n.overlayLost && n.fence == 0 {
		n.overlay, n.overlayLost = nil, false
	}
	usable := n.useServers(now)
	n.listed = n.listed || usable > 0
	for _, id := range changed {
		n.Logger.Debug().Str("Event", "ServerChanged").Str("Server", string(id)).Int("Usable", usable).Msg("a registration changed")
	}
	n.wake()
}

func (n *Node) wake() {
	select {
	case n.nudge <- struct{}{}:
	default:
	}
}
