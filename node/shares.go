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

// importDelay returns how long this node waits before it imports configuration: the nodes
// ranked before it should import first.
func (n *Node) importDelay() time.Duration {
	for i, m := range rendezvous.Rank(importKey, n.deps.activeNodes()) {
		if m == n.options.Node {
			return time.Duration(i) * importDelayPerRank
		}
	}
	return 0
}

// fetchPeerSnapshot requests a snapshot from every other node and returns the newest. Each
// request asks for a snapshot newer than those received so far, so that few nodes transfer
// a snapshot.
func (n *Node) fetchPeerSnapshot(ctx context.Context, atLeast domain.Offset) (domain.Offset, []byte, error) {
	var mu sync.Mutex
	newest := peer.Snapshot{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maximumPeerRequests)
	for _, m := range n.mesh.Members() {
		if m.Node == n.options.Node {
			continue
		}
		group.Go(func() error {
			mu.Lock()
			minimumOffset := max(atLeast, newest.Through+1)
			mu.Unlock()
			requestCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
			defer cancel()
			response, err := n.mesh.Call(requestCtx, m.Node, peer.SnapshotRequest{AtLeast: minimumOffset})
			s, ok := response.(peer.Snapshot)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && ok && s.Through > newest.Through {
				newest = s
			}
			return nil
		})
	}
	_ = group.Wait()
	if newest.Data == nil {
		return 0, nil, errors.New("node: no peer sent a snapshot that includes the required offset")
	}
	return newest.Through, newest.Data, nil
}

// zoneAppendRate returns the appends per second that the relay of this node's availability
// zone may make.
func (n *Node) zoneAppendRate() float64 {
	zones := make(map[domain.Zone]bool)
	for _, m := range n.mesh.Members() {
		zones[m.Zone] = true
	}
	return relayAppendsPerSecond / float64(max(1, len(zones)))
}

// nodeAppendRate returns the appends per second that this node may make directly, without
// its relay.
func (n *Node) nodeAppendRate() float64 {
	return directAppendsPerSecond / float64(max(1, len(n.deps.activeNodes())))
}
