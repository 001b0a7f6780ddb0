package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/rendezvous"
)

// importDelay is how long this node waits for the nodes ranked before it to import
// configuration.
func (n *Node) importDelay() time.Duration {
	for i, m := range rendezvous.Rank(importKey, n.deps.activeNodes()) {
		if m == n.options.Node {
			return time.Duration(i) * importDelayPerRank
		}
	}
	return 0
}

// fetchPeerSnapshot requests the state of every other node and returns the newest. Each
// node is asked only for a state newer than those received, so that few transfer theirs.
func (n *Node) fetchPeerSnapshot(ctx context.Context, atLeast domain.Offset) (domain.Offset, []byte, error) {
	var mu sync.Mutex
	best := peer.Snapshot{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maximumPeerRequests)
	for _, m := range n.mesh.Members() {
		if m.Node == n.options.Node {
			continue
		}
		group.Go(func() error {
			mu.Lock()
			want := max(atLeast, best.Through+1)
			mu.Unlock()
			requestCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
			defer cancel()
			a, err := n.mesh.Call(requestCtx, m.Node, peer.SnapshotRequest{AtLeast: want})
			s, ok := a.(peer.Snapshot)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && ok && s.Through > best.Through {
				best = s
			}
			return nil
		})
	}
	_ = group.Wait()
	if best.Data == nil {
		return 0, nil, errors.New("node: no peer has a state that is new enough")
	}
	return best.Through, best.Data, nil
}

// zoneAppendRate is the rate at which the relay of this node's availability zone may
// append.
func (n *Node) zoneAppendRate() float64 {
	zones := make(map[domain.Zone]bool)
	for _, m := range n.mesh.Members() {
		zones[m.Zone] = true
	}
	return relayAppendsPerSecond / float64(max(1, len(zones)))
}

// nodeAppendRate is the rate at which this node may append without its relay, in addition
// to the relays' rate.
func (n *Node) nodeAppendRate() float64 {
	return directAppendsPerSecond / float64(max(1, len(n.deps.activeNodes())))
}
