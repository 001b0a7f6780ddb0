package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/transfer"
)

// behindLogInterval is how long this node is behind the owner's configuration before it
// logs this. Each further line comes after twice the time of the one before.
const behindLogInterval = time.Second

// followConfiguration reads new configurations from the store and applies them.
func (n *Node) followConfiguration(ctx context.Context) {
	retryPause, startupPause := minimumRetryPause, startupInterval
	for ctx.Err() == nil {
		r := n.readConfiguration(ctx)
		if ctx.Err() != nil {
			return
		}
		n.mu.Lock()
		n.recordStoreResult(time.Now(), "Configuration", r.err)
		n.mu.Unlock()
		if r.err != nil {
			n.pauseUntilRecovery(ctx, jitter(retryPause))
			retryPause = min(2*retryPause, maximumRetryPause)
			continue
		}
		n.applyConfigurationRead(r)
		if n.isOfFormerEra(r.next) {
			continue
		}
		if n.needsConfiguration() && r.next <= r.read.cursor {
			// The store has none yet, or serves an old state.
			pause.For(ctx, startupPause, nil)
			startupPause = nextStartupInterval(startupPause)
			continue
		}
		retryPause, startupPause = minimumRetryPause, startupInterval
	}
}

// jitter returns a random duration between half of d and d, so that nodes that failed
// together do not retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// needsConfiguration reports whether this node has no configuration, or knows of a newer
// one than it has read.
func (n *Node) needsConfiguration() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config == nil || n.isBehind()
}

// isBehind reports whether the owner has announced a configuration that this node has not
// read. The caller holds mu.
func (n *Node) isBehind() bool { return n.storeUpdates.ConfigurationOffset > n.configurationCursor }

// applyConfigurationRead applies the result of a read of the configurations.
func (n *Node) applyConfigurationRead(r configurationResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.recordEra(now, r.next.Era())
	if r.next.Era() < n.restoration.era {
		return
	}
	n.confirmByRead(r)
	if c := r.config; c != nil && (n.config == nil || c.Version > n.config.Version) {
		n.applyConfiguration(now, c, r.next, r.progress)
	} else if n.config != nil && r.next.Era() > n.configurationOffset.Era() {
		// The other nodes have to read the configuration of the restored store too.
		n.configurationOffset = r.next
		n.broadcastStoreUpdate(false, hub.RegistrationChanges{})
	}
	n.configurationCursor = max(n.configurationCursor, r.next)
	n.updateBehind(now)
}

// applyConfiguration puts a configuration in force. The offset is the store's cursor after
// the read that returned it. The caller holds mu.
func (n *Node) applyConfiguration(now time.Time, c *fleet.Configuration, offset domain.Offset, read transfer.State) {
	previous := fleet.Version(0)
	if n.config != nil {
		previous = n.config.Version
	}
	n.recordRemovedKeys(n.config, c)
	n.config = c
	n.updateRevoked()
	n.configurationOffset = offset
	n.broadcastStoreUpdate(false, hub.RegistrationChanges{})
	n.planner.Configure(c)
	n.quotas.configure(c)
	n.publishView(now)
	if n.Counters != nil {
		n.Counters.SetConfiguration(c.Version, offset)
	}
	line := n.Logger.Info().Str("Event", "ConfigurationInForce").Int64("Version", int64(c.Version)).Int64("Previous", int64(previous)).
		Int("Routes", len(c.Routes)).Int("Services", len(c.Services)).
		Uint64("From", n.configurationCursor.Position()).Uint64("Offset", offset.Position()).Uint64("Announced", n.storeUpdates.ConfigurationOffset.Position()).
		Uint64("Era", uint64(offset.Era())).
		Int64("Bytes", read.Bytes).Int64("WaitMs", read.WaitTime().Milliseconds()).Int64("ReadMs", read.ReadTime().Milliseconds())
	if !read.LastByteAt.IsZero() {
		line = line.Int64("ApplyMs", time.Since(read.LastByteAt).Milliseconds())
	}
	if !n.behindSince.IsZero() {
		line = line.Int64("BehindMs", now.Sub(n.behindSince).Milliseconds())
	}
	line.Bool("Owner", n.fence != 0).Msg("applied a new configuration")
}

// updateBehind records since when the owner has announced a configuration that this node
// has not read, and logs it at growing intervals. The caller holds mu.
func (n *Node) updateBehind(now time.Time) {
	if !n.isBehind() {
		if !n.behindSince.IsZero() && n.Counters != nil {
			n.Counters.SetConfigurationBehind(0)
		}
		n.behindSince, n.behindLogGap = time.Time{}, 0
		return
	}
	if n.behindSince.IsZero() {
		n.behindSince, n.behindLogGap = now, behindLogInterval
	}
	behind := now.Sub(n.behindSince)
	if n.Counters != nil {
		n.Counters.SetConfigurationBehind(behind)
	}
	if behind < n.behindLogGap {
		return
	}
	n.behindLogGap = 2 * behind
	version := fleet.Version(0)
	if n.config != nil {
		version = n.config.Version
	}
	n.Logger.Warn().Str("Event", "ConfigurationBehind").Int64("Version", int64(version)).Int64("BehindMs", behind.Milliseconds()).
		Uint64("From", n.configurationCursor.Position()).Uint64("Announced", n.storeUpdates.ConfigurationOffset.Position()).
		Uint64("Era", uint64(n.restoration.era)).
		Msg("the owner has read a newer configuration than this node")
}
