package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/pause"
)

const (
	// defaultDrainLimit bounds a shutdown for which no DrainLimit is set.
	defaultDrainLimit = 5 * time.Minute
	// handOverTimeout bounds the wait for other nodes to take over the leases.
	handOverTimeout = 5 * time.Second
	// withdrawTimeout bounds the removal of the node from the platform's list.
	withdrawTimeout = 2 * time.Second
)

// shutdown stops the node gracefully. It aborts no request unless the drain limit passes or
// kill ends, and then reports how many it aborted.
func (n *Node) shutdown(kill context.Context, servers []*http.Server) error {
	n.shuttingDown.Store(true)
	n.options.Logger.Info().Str("Event", "Stopping").Int("InFlight", n.callers.InFlight()).Msg("shutting down: the node is not ready any more and completes running requests")
	limit := n.options.DrainLimit
	if limit == 0 {
		limit = defaultDrainLimit
	}
	ctx, cancel := context.WithTimeout(kill, limit)
	defer cancel()
	if err := n.mesh.AnnounceLeaving(ctx); err != nil {
		n.options.Logger.Warn().Err(err).Str("Event", "LeaveNotTold").Msg("not every peer was notified of the shutdown; the others read it from the platform's list")
	}
	pause.For(ctx, n.options.DrainGrace, nil)
	n.refusingRequests.Store(true)
	n.waitUntil(ctx, func() bool { return n.callers.InFlight() == 0 })
	aborted := n.callers.InFlight()
	if err := n.claims.Drain(ctx); err != nil {
		n.options.Logger.Error().Err(err).Str("Event", "OutcomesNotRecorded").Msg("not every outcome was recorded; retries of those commands will get CommandInDoubt")
	}
	n.awaitHandOver(ctx)
	n.withdraw()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	if aborted > 0 {
		n.options.Logger.Error().Str("Event", "RequestsCut").Int("Requests", aborted).Msg("shutdown aborted running requests")
		return errors.Errorf("node: shutdown aborted %d requests", aborted)
	}
	n.options.Logger.Info().Str("Event", "Stopped").Msg("shutdown complete; every request was completed")
	return nil
}

// awaitHandOver waits until other nodes own this node's servers.
func (n *Node) awaitHandOver(ctx context.Context) {
	if len(n.deps.activeNodes()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.leaseManager.HasHandedOver() })
}

// withdraw removes the node from the platform's list.
func (n *Node) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := n.list.Withdraw(ctx, string(n.options.Node)); err != nil {
		n.options.Logger.Warn().Err(err).Str("Event", "WithdrawFailed").Msg("node could not be removed from the platform's list, where its entry will expire")
	}
}

func (n *Node) waitUntil(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shutdownPollInterval):
		}
	}
}
