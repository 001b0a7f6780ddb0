package entry

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// storeFailureLifetime is the age up to which a failed call to the store is of use to other nodes: the
	// servers register again by then.
	storeFailureLifetime = 2 * time.Second
	// storeFailureInterval is the least time between two updates in which the owner tells of one.
	storeFailureInterval = 500 * time.Millisecond
	// doubtMargin is how long before its drain bound a removed server gets its last request if the store
	// was away for other nodes only, for what the messages and the request take.
	doubtMargin = 300 * time.Millisecond
)

// rejection is an error with which the store has responded to a call.
type rejection interface {
	error
	// IsUnavailable reports whether the store is down, wholly or for this node.
	IsUnavailable() bool
	// IsRateLimit reports whether there were too many calls. A store that is down for this node
	// may say so too.
	IsRateLimit() bool
}

// recordStoreResult records whether a call to the store succeeded, and logs each
// change between failure and success of the call with this name. The caller holds mu.
func (n *Node) recordStoreResult(now time.Time, call string, err error) {
	n.recordStoreEvidence(now, err)
	if (err != nil) == n.failedCalls[call] {
		return
	}
	if err != nil {
		n.failedCalls[call] = true
		n.Logger.Warn().Str("Event", "StoreLost").Str("Call", call).Err(err).Msg("the platform's store does not respond")
		return
	}
	delete(n.failedCalls, call)
	close(n.storeRecovered)
	n.storeRecovered = make(chan struct{})
	n.Logger.Info().Str("Event", "StoreRegained").Str("Call", call).Msg("the platform's store responds again")
}

// recordStoreEvidence records what a call tells of whether registrations may have expired because the
// store was away. The caller holds mu.
func (n *Node) recordStoreEvidence(now time.Time, err error) {
	var r rejection
	switch {
	case err == nil:
		n.directory.RecordStoreSuccess(now)
	case !stderrors.As(err, &r) || r.IsUnavailable():
		n.directory.RecordStoreFailure(now)
	case r.IsRateLimit():
		n.directory.RecordStoreDoubt(now)
	}
}

// storeFailure returns when the store was last away for this node, for the others. The caller holds mu.
func (n *Node) storeFailure(now time.Time) hub.StoreFailure {
	return newStoreFailure(now, n.directory.StoreFailedAt())
}

// knownStoreFailure returns when the store was last away for this node, or for one that has told it. The
// caller holds mu.
func (n *Node) knownStoreFailure(now time.Time) hub.StoreFailure {
	at := n.directory.StoreFailedAt()
	if doubtedAt := n.directory.StoreDoubtedAt(); doubtedAt.After(at) {
		at = doubtedAt
	}
	return newStoreFailure(now, at)
}

func newStoreFailure(now, at time.Time) hub.StoreFailure {
	age := now.Sub(at)
	if age >= storeFailureLifetime {
		return hub.StoreFailure{}
	}
	return hub.StoreFailure{Known: true, Age: max(0, age)}
}

// applyStoreFailure records that the store was away for another node. If servers were removed
// lately, they may be usable again. The caller holds mu.
func (n *Node) applyStoreFailure(now time.Time, f hub.StoreFailure) {
	if !f.Known || f.Age >= storeFailureLifetime {
		return
	}
	n.directory.RecordStoreDoubt(now.Add(-f.Age))
	if !n.directory.IsStable(now) {
		n.applyUsable(now)
	}
}

// passStoreFailure tells all nodes that the store was away for one. The caller holds mu.
func (n *Node) passStoreFailure(now time.Time, f hub.StoreFailure) {
	if !f.Known || now.Sub(n.storeFailureSentAt) < storeFailureInterval {
		return
	}
	n.storeFailureSentAt = now
	if err := n.Hub.Broadcast(hub.Update{StoreFailure: n.knownStoreFailure(now)}); err != nil {
		n.Logger.Error().Str("Event", "NewsFailed").Err(err).Msg("failed to encode a store update for the other nodes")
	}
}

// storeRecovery returns a channel that is closed when a call to the store next
// succeeds after a failed one.
func (n *Node) storeRecovery() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeRecovered
}

// pauseUntilRecovery waits for d, or until the store recovers.
func (n *Node) pauseUntilRecovery(ctx context.Context, d time.Duration) {
	pause.For(ctx, d, n.storeRecovery())
}
