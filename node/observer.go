package node

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// observer records the decisions of the callers' API and how requests ended. It implements
// caller.Observer.
type observer struct{ node *Node }

// RecordStep implements caller.Observer.
func (o observer) RecordStep(id domain.RequestID, team domain.TeamName, s decisions.Step) {
	o.node.journal.Record(id, team, s)
}

// RecordOutcome implements caller.Observer.
func (o observer) RecordOutcome(e objective.Event) { o.node.recorder.Record(e) }

// goal returns a team's current objective for a model.
func (n *Node) goal(k objective.Key, m objective.Measure) objective.Goal {
	var team configuration.Team
	n.replica.View(func(s *fold.State) { team, _ = s.Team(k.Team) })
	return team.Goal(k.Model, m)
}

// recordDecision records a decision of this node about a request that another node may have
// received.
func (d *Deps) recordDecision(w peer.Wake, k decisions.Kind, s domain.ServerID, detail string) {
	if d.Journal == nil {
		return
	}
	d.Journal.Record(w.Request, w.Team, decisions.Step{At: time.Now(), Kind: k, Node: d.nodeID(), Server: s, Model: w.Model, Detail: detail})
}

const (
	// peerRequestTimeout bounds the wait for one node's part of a status report.
	peerRequestTimeout = 2 * time.Second
	// maximumPeerRequests is how many nodes are asked at the same time.
	maximumPeerRequests = 32
)

// collectStatus asks every other live node for a part of a status report and calls add with
// each response, never concurrently. It returns how many nodes sent no usable response.
func (n *Node) collectStatus(ctx context.Context, r peer.StatusRequest, add func(raw []byte) error) int {
	var mu sync.Mutex
	unanswered := 0
	n.forEachPeer(func(to domain.NodeID) {
		raw, err := n.requestStatus(ctx, to, r)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			err = add(raw)
		}
		if err != nil {
			unanswered++
		}
	})
	return unanswered
}

// forEachPeer calls request for every other live node, a bounded number at a time.
func (n *Node) forEachPeer(request func(to domain.NodeID)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maximumPeerRequests)
	for _, m := range n.mesh.Members() {
		if m.Node == n.options.Node {
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			request(m.Node)
		})
	}
	wait.Wait()
}

func (n *Node) requestStatus(ctx context.Context, to domain.NodeID, r peer.StatusRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := n.mesh.Call(ctx, to, r)
	if err != nil {
		return nil, err
	}
	s, ok := response.(peer.Status)
	if !ok {
		return nil, noCapacity("the node answered something else")
	}
	return s.JSON, nil
}

// statusPart returns this node's part of a status report for another node.
func (n *Node) statusPart(r peer.StatusRequest) ([]byte, error) {
	switch r.Part {
	case peer.BurnPart:
		return n.recorder.Snapshot(time.Now()).Encode()
	case peer.DecisionsPart:
		e, _ := n.journal.Find(r.Request)
		return e.Encode()
	case peer.AppliedPart:
		// Handler.Handle answers this part with a peer.Applied.
	}
	return nil, verdict.Refuse(verdict.BadRequest, "the part is not known here")
}
