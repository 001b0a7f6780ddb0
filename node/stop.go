package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/pause"
)

const (
	// defaultDrainLimit ends a stop that does not come to its end.
	defaultDrainLimit = 5 * time.Minute
	// handOverTimeout bounds the wait for other nodes to take the leases.
	handOverTimeout = 5 * time.Second
	// withdrawTimeout bounds the farewell to the platform's list.
	withdrawTimeout = 2 * time.Second
)

// shutdown ends the node gracefully. It cuts off no request unless the limit passes
// or kill ends, and says what was cut.
func (n *Node) shutdown(kill context.Context, servers []*http.Server) error {
	n.shuttingDown.Store(true)
	n.options.Logger.Info().Str("Event", "Stopping").Int("InFlight", n.callers.InFlight()).Msg("not ready any more; running requests end")
	limit := n.options.DrainLimit
	if limit == 0 {
		limit = defaultDrainLimit
	}
	ctx, cancel := context.WithTimeout(kill, limit)
	defer cancel()
	if err := n.mesh.Leave(ctx); err != nil {
		n.options.Logger.Warn().Err(err).Str("Event", "LeaveNotTold").Msg("some peers learn of the stop from the platform's list")
	}
	pause.For(ctx, n.options.DrainGrace, nil)
	n.refusingRequests.Store(true)
	n.waitUntil(ctx, func() bool { return n.callers.InFlight() == 0 })
	cut := n.callers.InFlight()
	if err := n.claims.Drain(ctx); err != nil {
		n.options.Logger.Error().Err(err).Str("Event", "OutcomesNotRecorded").Msg("resends of some commands will be in doubt")
	}
	n.awaitHandOver(ctx)
	n.withdraw()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	if cut > 0 {
		n.options.Logger.Error().Str("Event", "RequestsCut").Int("Requests", cut).Msg("the stop was ended before these requests were")
		return errors.Errorf("node: the stop cut off %d requests", cut)
	}
	n.options.Logger.Info().Str("Event", "Stopped").Msg("every request ended whole")
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

// withdraw takes the node off the platform's list.
func (n *Node) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := n.list.Withdraw(ctx, string(n.options.Node)); err != nil {
		n.options.Logger.Warn().Err(err).Str("Event", "WithdrawFailed").Msg("the platform's list will drop this node by itself")
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
