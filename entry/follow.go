package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// configurationWait is how long one call waits for a new configuration. A call
	// whose answer is lost is noticed after that and the store's timeout.
	configurationWait = 2200 * time.Millisecond
	// firstPause and longestPause bound the wait after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// startInterval is how often the store is asked before the first answer that
	// can be used.
	startInterval = 150 * time.Millisecond
)

// followConfiguration keeps the newest configuration in force.
func (n *Node) followConfiguration(ctx context.Context) {
	var cursor domain.Offset
	wait := firstPause
	for ctx.Err() == nil {
		call, cancel := n.untilBack(ctx)
		c, next, err := n.Feed.Configuration(call, cursor, configurationWait)
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
			n.configure(c)
		} else if !n.configured() {
			pause(ctx, startInterval)
		}
	}
}

func (n *Node) configured() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config != nil
}

func (n *Node) configure(c *fleet.Configuration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config != nil && c.Version <= n.config.Version {
		return
	}
	n.config = c
	n.planner.Configure(c)
	n.publish(time.Now())
	n.Logger.Info().Str("Event", "ConfigurationInForce").Int64("Version", int64(c.Version)).Int("Routes", len(c.Routes)).
		Int("Services", len(c.Services)).Msg("a configuration is in force")
}

// followServers keeps the directory of backend servers.
func (n *Node) followServers(ctx context.Context) {
	var cursor domain.Offset
	for ctx.Err() == nil {
		changes, whole, next, err := n.Feed.Servers(ctx, cursor)
		if ctx.Err() != nil {
			return
		}
		interval := n.ServersEvery
		if err == nil {
			cursor = next
		}
		n.learn(changes, whole, next, err)
		if err == nil && !n.hasServers() {
			interval = startInterval
		}
		n.pauseUntilBack(ctx, interval)
	}
}

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
		n.planner.Servers(now, n.directory.Usable(now))
		n.publish(now)
		return
	}
	var changed []domain.ServerID
	if whole {
		changed = n.directory.Replace(now, changes, end)
	} else {
		changed = n.directory.Apply(now, changes)
	}
	usable := n.directory.Usable(now)
	n.listed = n.listed || len(usable) > 0
	n.planner.Servers(now, usable)
	n.publish(now)
	for _, id := range changed {
		n.Logger.Debug().Str("Event", "ServerChanged").Str("Server", string(id)).Int("Usable", len(usable)).Msg("a registration changed")
	}
	n.wake()
}

func (n *Node) wake() {
	select {
	case n.nudge <- struct{}{}:
	default:
	}
}
