package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/transfer"
)

const (
	// pollWait is how long one poll waits for a new configuration.
	pollWait = 2200 * time.Millisecond
	// longPollWait replaces pollWait while the owner sends store updates.
	longPollWait = 20 * time.Second
	// pollCheckInterval is how often a pending poll is checked for a lost response.
	pollCheckInterval = 250 * time.Millisecond
	// lostPollDelay is how long the response to a poll may take to begin after the owner
	// has announced what the poll waits for, before another read is sent.
	lostPollDelay = time.Second
)

// configurationRead is one call that reads the configurations after a cursor.
type configurationRead struct {
	cursor domain.Offset
	isPoll bool
	sentAt time.Time
	// wait is how long the store may wait for a new configuration.
	wait     time.Duration
	progress transfer.Progress
	cancel   context.CancelFunc
	// recovered is closed when the store recovers after the call was sent.
	recovered <-chan struct{}
}

// configurationResult is the result of a read. The field config is nil if the read
// returned none; next is the cursor for the next read.
type configurationResult struct {
	read     *configurationRead
	config   *fleet.Configuration
	next     domain.Offset
	progress transfer.State
	err      error
	// asOf is an uptime at which the store had no other configurations after the cursor.
	asOf time.Duration
}

// readConfiguration reads the configurations after this node's cursor: it polls for a new
// one or, if the owner has announced one, reads it at once. If the response to a poll may
// be lost, it sends another read beside the poll, and the first result counts. A read is
// never ended for another one that has not succeeded, because a large configuration on a
// slow link would then be started over for ever.
func (n *Node) readConfiguration(ctx context.Context) configurationResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan configurationResult, 2)
	first := n.startConfigurationRead(ctx, results, true)
	var second *configurationRead
	retryPause, retryAt := minimumRetryPause, time.Time{}
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			n.recordConfigurationRead(r)
			otherRuns := r.read == first && second != nil || r.read == second && first != nil
			if r.err == nil || !otherRuns {
				return r
			}
			if r.read == first {
				first = nil
				continue
			}
			second = nil
			retryAt = time.Now().Add(jitter(retryPause))
			retryPause = min(2*retryPause, maximumRetryPause)
		case now := <-ticker.C:
			if first == nil {
				continue
			}
			if second == nil && !now.Before(retryAt) && n.mayBeLost(now, first) {
				second = n.startConfigurationRead(ctx, results, false)
			}
			if second != nil && first.progress.HasBegun() && !second.progress.HasBegun() {
				second.cancel()
			}
		}
	}
}

// startConfigurationRead sends a read, whose result goes to results. If mayPoll is set and
// this node knows of no newer configuration, the read waits for one.
func (n *Node) startConfigurationRead(ctx context.Context, results chan<- configurationResult, mayPoll bool) *configurationRead {
	ctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	r := &configurationRead{cursor: n.configurationCursor, sentAt: time.Now(), cancel: cancel, recovered: n.storeRecovered}
	behind := n.isBehind()
	missed := n.storeUpdates.ConfigurationOffset > r.cursor+1
	if mayPoll && !behind {
		r.isPoll, r.wait = true, n.configurationPollWait(r.sentAt)
	}
	sentAt := n.Uptime.Now()
	n.mu.Unlock()
	n.addConfigurationRead(r)
	go func() {
		defer cancel()
		defer n.removeConfigurationRead(r)
		result := configurationResult{read: r}
		if missed {
			// The newest record alone is smaller than all that were missed.
			result.config, result.next, result.err = n.Feed.NewestConfiguration(ctx, r.cursor, &r.progress)
		} else {
			result.config, result.next, result.err = n.Feed.Configuration(ctx, r.cursor, r.wait, &r.progress)
		}
		result.asOf = sentAt
		if result.config == nil && n.Uptime.Now()-sentAt >= r.wait {
			// The store responds to a poll without a result at the end of its wait.
			result.asOf = sentAt + r.wait
		}
		result.progress = r.progress.State()
		results <- result
	}()
	return r
}

func (n *Node) addConfigurationRead(r *configurationRead) {
	n.configurationReadsMu.Lock()
	defer n.configurationReadsMu.Unlock()
	n.configurationReads[r] = true
}

func (n *Node) removeConfigurationRead(r *configurationRead) {
	n.configurationReadsMu.Lock()
	defer n.configurationReadsMu.Unlock()
	delete(n.configurationReads, r)
}

// LinkDelay returns how long a request that arrives now may have been on its way because a
// configuration arrives too: on a slow link, it waits behind what the store sent before it.
func (n *Node) LinkDelay() time.Duration {
	n.configurationReadsMu.Lock()
	defer n.configurationReadsMu.Unlock()
	longest := time.Duration(0)
	for r := range n.configurationReads {
		longest = max(longest, r.progress.State().ReadTime())
	}
	return longest
}

// configurationPollWait returns how long the next poll lets the store wait for a new
// configuration. The caller holds mu.
func (n *Node) configurationPollWait(now time.Time) time.Duration {
	if n.hasFreshStoreUpdate(now) && n.config != nil && !n.needsConfirmation() {
		return longPollWait
	}
	if n.hasWorkspaces() {
		return n.keyPollWait()
	}
	return pollWait
}

// mayBeLost reports whether the response to a poll may be lost: it has not begun, though
// the owner announced a newer configuration lostPollDelay ago, or the store has recovered
// from a failure or was restored since, or no update of the owner is fresh and the poll's wait is over.
func (n *Node) mayBeLost(now time.Time, r *configurationRead) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBehind(now)
	if !r.isPoll || r.progress.HasBegun() {
		return false
	}
	if n.needsConfirmation() && now.Sub(r.sentAt) > pollCheckInterval {
		return true
	}
	if !n.behindSince.IsZero() && now.Sub(n.behindSince) >= lostPollDelay {
		return true
	}
	if !n.hasFreshStoreUpdate(now) && now.Sub(r.sentAt) > pollWait+pollCheckInterval {
		return true
	}
	select {
	case <-r.recovered:
		return true
	default:
		return false
	}
}

// recordConfigurationRead counts a read that has ended, and logs one that failed.
func (n *Node) recordConfigurationRead(r configurationResult) {
	result := configurationReadResult(r)
	if n.Counters != nil {
		n.Counters.CountConfigurationRead(result)
	}
	if r.err == nil {
		return
	}
	n.mu.Lock()
	announced := n.storeUpdates.ConfigurationOffset
	n.mu.Unlock()
	n.Logger.Info().Str("Event", "ConfigurationReadEnded").Str("Result", result).Bool("Poll", r.read.isPoll).
		Uint64("From", r.read.cursor.Position()).Uint64("Announced", announced.Position()).Int("Status", r.progress.Status).Int64("Bytes", r.progress.Bytes).
		Int64("WaitMs", r.progress.WaitTime().Milliseconds()).Int64("ReadMs", r.progress.ReadTime().Milliseconds()).
		Int64("TookMs", time.Since(r.read.sentAt).Milliseconds()).AnErr("Cause", r.err).Msg("a read of the configuration ended without a result")
}

// configurationReadResult names the result of a read.
func configurationReadResult(r configurationResult) string {
	switch {
	case r.err == nil:
		return "Read"
	case errors.Is(r.err, context.Canceled):
		return "Cancelled"
	case r.progress.BegunAt.IsZero():
		return "Unanswered"
	case r.progress.Status != http.StatusOK:
		return "Refused"
	}
	return "BrokenOff"
}
