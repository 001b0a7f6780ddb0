package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/caller"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// defaultDrainLimit bounds a shutdown if Options.DrainLimit is zero.
	defaultDrainLimit = 5 * time.Minute
	// handOverTimeout bounds the wait until other nodes have taken over the leases.
	handOverTimeout = 5 * time.Second
	// abortTimeout bounds how long the requests that a shutdown cancels may take to send their
	// final responses.
	abortTimeout = 250 * time.Millisecond
	// arrivalTimeout bounds how long the first request of a connection that was accepted before
	// the listener closed may take to arrive.
	arrivalTimeout = time.Second
	// withdrawTimeout bounds the removal of the node from the platform's list.
	withdrawTimeout = 2 * time.Second
)

// shutdown stops the node gracefully. If the drain limit passes or kill ends, it cancels the
// running requests and returns an error with their number.
func (n *Node) shutdown(kill context.Context, servers []*http.Server) error {
	limit := n.options.DrainLimit
	if limit == 0 {
		limit = defaultDrainLimit
	}
	ctx, cancel := context.WithTimeout(kill, limit)
	defer cancel()
	end, _ := ctx.Deadline()
	n.drainEnd.Store(&end)
	n.shuttingDown.Store(true)
	n.options.Logger.Info().Str("Event", "Stopping").Int("InFlight", n.callers.InFlight()).Msg("shutting down: the node is not ready any more and completes running requests")
	if err := n.mesh.AnnounceLeaving(ctx); err != nil {
		n.options.Logger.Warn().Err(err).Str("Event", "LeaveNotTold").Msg("not every peer was notified of the shutdown; the others read it from the platform's list")
	}
	pause.For(ctx, n.options.DrainGrace, nil)
	n.refusingRequests.Store(true)
	n.waitUntil(ctx, func() bool { return n.callers.InFlight() == 0 })
	abortedRequests := n.abortRequests()
	if err := n.claims.Drain(ctx); err != nil {
		n.options.Logger.Error().Err(err).Str("Event", "OutcomesNotRecorded").Msg("not every outcome was recorded; retries of those commands will get CommandInDoubt")
	}
	n.awaitHandOver(ctx)
	n.withdraw()
	n.closeServers(ctx, servers)
	if abortedRequests > 0 {
		n.options.Logger.Error().Str("Event", "RequestsCut").Int("Requests", abortedRequests).Msg("shutdown aborted running requests")
		return errors.Errorf("node: shutdown aborted %d requests", abortedRequests)
	}
	n.options.Logger.Info().Str("Event", "Stopped").Msg("shutdown complete; every request was completed")
	return nil
}

// abortRequests cancels the requests that still run and waits until they have sent their final
// responses, at most abortTimeout. It returns the number of cancelled requests.
func (n *Node) abortRequests() int {
	running := n.callers.InFlight()
	if running == 0 {
		return 0
	}
	n.cancelRequests(caller.ErrShutdown)
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.callers.InFlight() == 0 })
	return running
}

// closeServers closes the listeners and the connections. It waits for responses until ctx ends,
// or at most abortTimeout if ctx has ended.
func (n *Node) closeServers(ctx context.Context, servers []*http.Server) {
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
	}
	n.refuseLastRequests(ctx)
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

// refuseLastRequests closes the callers' listener and waits until the requests that arrive on
// accepted connections are refused. Shutdown of the HTTP server would close these connections
// without a response.
func (n *Node) refuseLastRequests(ctx context.Context) {
	_ = n.options.Caller.Close()
	n.accepting.Wait()
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.connections.busyCount() == 0 })
}

// awaitHandOver waits until other nodes own this node's servers and every lost lease is
// acknowledged. It returns at once if there is no other active node.
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

// waitUntil waits until condition returns true or ctx ends.
func (n *Node) waitUntil(ctx context.Context, condition func() bool) {
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shutdownPollInterval):
		}
	}
}
