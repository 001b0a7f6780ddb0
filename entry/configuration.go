package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/transfer"
)

// behindLogInterval is the first interval between two lines that say that this node is
// behind the owner's configuration; it doubles with each line.
const behindLogInterval = time.Second

var (
	errStoreRecovered  = errors.New("the store recovered")
	errBehindOwner     = errors.New("the owner announced a newer configuration")
	errNoFreshUpdate   = errors.New("no update of the owner is fresh")
	errPollNotRequired = errors.New("the poll has ended")
)

// followConfiguration polls the store for new configurations and applies them.
func (n *Node) followConfiguration(ctx context.Context) {
	retryPause, startupPause := minimumRetryPause, startupInterval
	for ctx.Err() == nil {
		cursor := n.configurationPosition()
		callCtx, cancel := n.cancelOnRecovery(ctx)
		go n.cancelLostPoll(callCtx, cancel, cursor)
		var progress transfer.Progress
		c, next, err := n.Feed.Configuration(callCtx, cursor, n.configurationPollWait(), &progress)
		cause := context.Cause(callCtx)
		cancel(errPollNotRequired)
		if cause != nil {
			n.recordConfigurationRead(cursor, &progress, cause)
			continue
		}
		n.recordConfigurationRead(cursor, &progress, err)
		n.mu.Lock()
		n.recordStoreResult(time.Now(), "Configuration", err)
		n.mu.Unlock()
		if err != nil {
			n.pauseUntilRecovery(ctx, retryPause)
			retryPause = min(2*retryPause, maximumRetryPause)
			continue
		}
		retryPause = minimumRetryPause
		n.applyConfigurationRead(c, next, progress.State())
		if c == nil && !n.hasConfiguration() {
			pause.For(ctx, startupPause, nil)
			startupPause = nextStartupInterval(startupPause)
		}
	}
}

// configurationPosition returns the offset up to which this node has read the
// configurations.
func (n *Node) configurationPosition() domain.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configurationCursor
}

func (n *Node) hasConfiguration() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config != nil
}

// applyConfigurationRead applies the result of a read of the configurations up to next.
// The parameter c is nil if the read returned none.
func (n *Node) applyConfigurationRead(c *fleet.Configuration, next domain.Offset, read transfer.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if c != nil && (n.config == nil || c.Version > n.config.Version) {
		n.applyConfiguration(now, c, next, read)
	}
	n.configurationCursor = max(n.configurationCursor, next)
	n.updateBehind(now)
}

// applyConfiguration puts a configuration in force. The offset is the store's cursor after
// the read that returned it. The caller holds mu.
func (n *Node) applyConfiguration(now time.Time, c *fleet.Configuration, offset domain.Offset, read transfer.State) {
	previous := fleet.Version(0)
	if n.config != nil {
		previous = n.config.Version
	}
	n.config = c
	n.configurationOffset = offset
	n.broadcastStoreUpdate(false)
	n.planner.Configure(c)
	n.publishView(now)
	if n.Counters != nil {
		n.Counters.SetConfiguration(c.Version, offset)
	}
	line := n.Logger.Info().Str("Event", "ConfigurationInForce").Int64("Version", int64(c.Version)).Int64("Previous", int64(previous)).
		Int("Routes", len(c.Routes)).Int("Services", len(c.Services)).
		Uint64("From", uint64(n.configurationCursor)).Uint64("Offset", uint64(offset)).Uint64("Announced", uint64(n.storeUpdates.ConfigurationOffset)).
		Int64("Bytes", read.Bytes).Int64("WaitMs", read.WaitTime().Milliseconds()).Int64("ReadMs", read.ReadTime().Milliseconds())
	if !read.LastByteAt.IsZero() {
		line = line.Int64("ApplyMs", time.Since(read.LastByteAt).Milliseconds())
	}
	if !n.behindSince.IsZero() {
		line = line.Int64("BehindMs", now.Sub(n.behindSince).Milliseconds())
	}
	line.Bool("Owner", n.fence != 0).Msg("applied a new configuration")
}

// recordConfigurationRead counts a read of the configurations that has ended, and logs one
// that failed or was cancelled for the given reason. The reason is nil for a success.
func (n *Node) recordConfigurationRead(cursor domain.Offset, p *transfer.Progress, reason error) {
	result := configurationReadResult(reason)
	if n.Counters != nil {
		n.Counters.CountConfigurationRead(result)
	}
	if reason == nil {
		return
	}
	s := p.State()
	n.mu.Lock()
	announced := n.storeUpdates.ConfigurationOffset
	n.mu.Unlock()
	line := n.Logger.Info().Str("Event", "ConfigurationReadEnded").Str("Result", result).Uint64("From", uint64(cursor)).Uint64("Announced", uint64(announced)).
		Int64("Bytes", s.Bytes).Int64("WaitMs", s.WaitTime().Milliseconds()).Int64("ReadMs", s.ReadTime().Milliseconds())
	if !s.SentAt.IsZero() {
		line = line.Int64("TookMs", time.Since(s.SentAt).Milliseconds())
	}
	line.AnErr("Cause", reason).Msg("a read of the configuration ended without a result")
}

// configurationReadResult names the result of a read that ended for the given reason.
func configurationReadResult(reason error) string {
	switch {
	case reason == nil:
		return "Read"
	case errors.Is(reason, errBehindOwner):
		return "BehindOwner"
	case errors.Is(reason, errNoFreshUpdate):
		return "NoFreshUpdate"
	case errors.Is(reason, errStoreRecovered):
		return "StoreRecovered"
	case errors.Is(reason, context.Canceled):
		return "Stopped"
	}
	return "Failed"
}

// configurationPollWait returns how long the next poll lets the store wait for a
// new configuration.
func (n *Node) configurationPollWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasFreshStoreUpdate(time.Now()) && n.config != nil {
		return longPollWait
	}
	return pollWait
}

// cancelLostPoll cancels a poll for configurations after cursor if its response
// may be lost. This is so if the owner's store updates show a newer configuration
// at two checks in a row, or if no store update is fresh and the poll has lasted
// longer than pollWait. It returns when ctx, the context of the poll, ends.
func (n *Node) cancelLostPoll(ctx context.Context, cancel context.CancelCauseFunc, cursor domain.Offset) {
	start := time.Now()
	wasBehind := false
	for pause.For(ctx, pollCheckInterval, nil) {
		n.mu.Lock()
		now := time.Now()
		n.updateBehind(now)
		isBehind := n.storeUpdates.ConfigurationOffset > cursor
		timedOut := !n.hasFreshStoreUpdate(now) && now.Sub(start) > pollWait
		n.mu.Unlock()
		if isBehind && wasBehind {
			cancel(errBehindOwner)
			return
		}
		if timedOut {
			cancel(errNoFreshUpdate)
			return
		}
		wasBehind = isBehind
	}
}

// updateBehind records since when the owner has announced a configuration that this node
// has not read, and logs it at growing intervals. The caller holds mu.
func (n *Node) updateBehind(now time.Time) {
	if n.storeUpdates.ConfigurationOffset <= n.configurationCursor {
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
	n.behindLogGap *= 2
	version := fleet.Version(0)
	if n.config != nil {
		version = n.config.Version
	}
	n.Logger.Warn().Str("Event", "ConfigurationBehind").Int64("Version", int64(version)).Int64("BehindMs", behind.Milliseconds()).
		Uint64("From", uint64(n.configurationCursor)).Uint64("Announced", uint64(n.storeUpdates.ConfigurationOffset)).
		Msg("the owner has read a newer configuration than this node")
}
