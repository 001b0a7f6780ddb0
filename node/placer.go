package node

import (
	"context"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/caller"
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/rendezvous"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/verdict"
	"github.com/parsleylug/parsleylug/vmlist"
)

const (
	// coordinatorRetryDelay is the wait before the reports and the coordinator are
	// consulted again.
	coordinatorRetryDelay = 50 * time.Millisecond
	// responseMargin is subtracted from a caller's deadline for delivering the response.
	responseMargin = 100 * time.Millisecond
)

// Placer finds loaded replicas in the reports and, where there is none, requests a cold
// start from the model's coordinator. It implements caller.Placer and caller.Backends.
type Placer struct {
	deps        *Deps
	coordinator *Coordinator
}

// NewPlacer returns a Placer; c coordinates the models that hashing assigns to this node.
func NewPlacer(d *Deps, c *Coordinator) *Placer { return &Placer{deps: d, coordinator: c} }

var (
	_ caller.Placer   = (*Placer)(nil)
	_ caller.Backends = (*Placer)(nil)
)

// Place implements caller.Placer.
func (p *Placer) Place(ctx context.Context, n caller.PlacementRequest) ([]routing.Replica, error) {
	for {
		if out := p.readyReplicas(n); len(out) > 0 {
			return out, nil
		}
		within := n.Deadline.Remaining(time.Now()) - responseMargin
		if within <= 0 {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "no replica was ready before the deadline")
		}
		response, err := p.requestColdStart(ctx, n, within)
		if err != nil {
			return nil, err
		}
		if out := p.routableReplicas(response.Servers, n); len(out) > 0 {
			if response.ColdStart {
				setMissingLoadTimes(out)
			}
			return out, nil
		}
		if !pause.For(ctx, coordinatorRetryDelay, nil) {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "the request ended while it waited for a replica")
		}
	}
}

// setMissingLoadTimes sets the load time of replicas that were just loaded and that no
// report shows yet.
func setMissingLoadTimes(replicas []routing.Replica) {
	for i := range replicas {
		if replicas[i].LoadedAt.IsZero() {
			replicas[i].LoadedAt = time.Now()
		}
	}
}

// requestColdStart sends a Wake to the model's coordinator and, where that is unreachable
// or shutting down, to the next node in rendezvous order.
func (p *Placer) requestColdStart(ctx context.Context, n caller.PlacementRequest, within time.Duration) (peer.Replicas, error) {
	w := peer.Wake{
		Request: n.Request, Model: n.Model, Adapter: n.Adapter, Team: n.Team, Priority: n.Priority,
		Region: p.deps.Self.Region, Within: within, Exclude: n.Exclude,
	}
	for _, coordinator := range rendezvous.Rank(coordinatorKey(n.Model), p.deps.activeNodes()) {
		if coordinator == p.deps.nodeID() {
			break
		}
		w.Within = n.Deadline.Remaining(time.Now()) - responseMargin
		a, err := p.deps.Mesh.Call(ctx, coordinator, w)
		if r, ok := a.(peer.Replicas); err == nil && ok {
			return r, nil
		}
		if isCoordinatorRefusal(err) || ctx.Err() != nil {
			return peer.Replicas{}, asNotRun(err)
		}
	}
	// No other coordinator is reachable. A second coordinator for a short time costs only
	// efficiency.
	w.Within = n.Deadline.Remaining(time.Now()) - responseMargin
	r, err := p.coordinator.EnsureReplica(ctx, w)
	return r, asNotRun(err)
}

// isCoordinatorRefusal reports whether a running coordinator refused the request, as
// opposed to a broken link or a coordinator that is shutting down.
func isCoordinatorRefusal(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.Of(err)
	return e.Verdict == verdict.NotRun && e.Reason != verdict.Unknown && e.Reason != verdict.Draining
}

// asNotRun turns any failure to place into NotRun. That verdict is true: nothing was sent
// to a backend server for the caller.
func asNotRun(err error) error {
	if err == nil {
		return nil
	}
	e := *verdict.Of(err)
	if e.Verdict == verdict.NotRun && e.Reason != verdict.Unknown {
		return &e
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "no replica could be found in time", RetryAfter: loadRetryAfter, Cause: err}
}

// MarkUnloaded implements caller.Placer.
func (p *Placer) MarkUnloaded(s domain.ServerID, m domain.ModelName) { p.deps.Reports.Deny(s, m) }

// readyReplicas returns the replicas in the reports that this request may use.
func (p *Placer) readyReplicas(n caller.PlacementRequest) []routing.Replica {
	var servers []domain.ServerID
	now := time.Now()
	loaded := p.deps.Reports.Ready(n.Model, now)
	p.deps.Gossip.FollowForRouting(loaded, now)
	for _, l := range loaded {
		if n.Adapter != "" && !slices.Contains(l.Replica.Adapters, n.Adapter) {
			continue
		}
		if !slices.Contains(n.Exclude, l.Server) {
			servers = append(servers, l.Server)
		}
	}
	return p.routableReplicas(servers, n)
}

// routableReplicas combines servers with the platform's list and the reports, and omits
// drained and leaving ones.
func (p *Placer) routableReplicas(servers []domain.ServerID, n caller.PlacementRequest) []routing.Replica {
	now := time.Now()
	model, drained := p.modelAndDrainFilter(n.Model)
	reports := p.deps.Reports.Ready(n.Model, now)
	out := make([]routing.Replica, 0, len(servers))
	for _, s := range servers {
		v, ok := p.deps.Directory.Server(s)
		if !ok || v.Leaving || drained(v) {
			continue
		}
		r := routing.Replica{
			Server: s, Address: v.Address, Region: v.Region, Zone: v.Zone,
			Concurrency: max(model.Concurrency, 0), ReportedAt: now,
		}
		if i := slices.IndexFunc(reports, func(l Loaded) bool { return l.Server == s }); i >= 0 {
			l := reports[i]
			r.Running, r.Waiting, r.Adapters = l.Replica.Running, l.Replica.Waiting, l.Replica.Adapters
			r.ReportedAt, r.LoadedAt = l.LoadsConfirmedAt, l.ReadySince
		}
		if r.Concurrency == 0 {
			r.Concurrency = configuration.DefaultConcurrency
		}
		out = append(out, r)
	}
	return out
}

// modelAndDrainFilter returns the model's configuration and a filter for the VMs that
// operators drained.
func (p *Placer) modelAndDrainFilter(m domain.ModelName) (model configuration.Model, drained func(vmlist.VM) bool) {
	var drains []configuration.Drain
	p.deps.State.View(func(s *fold.State) {
		model, _ = s.Model(m)
		drains = s.Drains()
	})
	return model, func(v vmlist.VM) bool {
		return slices.ContainsFunc(drains, func(d configuration.Drain) bool {
			return d.Server == domain.ServerID(v.ID) && d.Server != "" || d.Zone == v.Zone && d.Zone != ""
		})
	}
}

// Service implements caller.Backends.
func (p *Placer) Service(n domain.ServiceName) []routing.Replica {
	_, drained := p.modelAndDrainFilter("")
	var out []routing.Replica
	for _, v := range p.deps.Directory.OfKind(vmlist.Service) {
		if v.ServiceName != n || v.Leaving || drained(v) {
			continue
		}
		out = append(out, routing.Replica{
			Server: domain.ServerID(v.ID), Address: v.Address, Region: v.Region, Zone: v.Zone,
			Concurrency: configuration.DefaultConcurrency,
		})
	}
	return out
}
