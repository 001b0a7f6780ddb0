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
	// coordinatorRetryDelay is how long Place waits before it reads the reports and asks the
	// coordinator again.
	coordinatorRetryDelay = 50 * time.Millisecond
	// responseMargin is the part of the time to a caller's deadline that is kept for
	// delivering the response.
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
func (p *Placer) Place(ctx context.Context, request caller.PlacementRequest) ([]routing.Replica, error) {
	for {
		if out := p.readyReplicas(request); len(out) > 0 {
			return out, nil
		}
		timeout := request.Deadline.Remaining(time.Now()) - responseMargin
		if timeout <= 0 {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "no replica was ready before the deadline")
		}
		response, err := p.requestColdStart(ctx, request, timeout)
		if err != nil {
			return nil, err
		}
		if out := p.routableReplicas(response.Servers, request); len(out) > 0 {
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

// setMissingLoadTimes sets the load time of each replica without one to now. Such a replica
// was just loaded and is in no report yet.
func setMissingLoadTimes(replicas []routing.Replica) {
	for i := range replicas {
		if replicas[i].LoadedAt.IsZero() {
			replicas[i].LoadedAt = time.Now()
		}
	}
}

// requestColdStart sends a Wake to the model's coordinator. While the coordinator is
// unreachable or shutting down, it tries the next node in rendezvous order; this node's own
// coordinator is the last.
func (p *Placer) requestColdStart(ctx context.Context, request caller.PlacementRequest, timeout time.Duration) (peer.Replicas, error) {
	w := peer.Wake{
		Request: request.Request, Model: request.Model, Adapter: request.Adapter, Team: request.Team, Priority: request.Priority,
		Region: p.deps.Self.Region, Within: timeout, Exclude: request.Exclude,
	}
	for _, coordinator := range rendezvous.Rank(coordinatorKey(request.Model), p.deps.activeNodes()) {
		if coordinator == p.deps.nodeID() {
			break
		}
		w.Within = request.Deadline.Remaining(time.Now()) - responseMargin
		response, err := p.deps.Mesh.Call(ctx, coordinator, w)
		if r, ok := response.(peer.Replicas); err == nil && ok {
			return r, nil
		}
		if isCoordinatorRefusal(err) || ctx.Err() != nil {
			return peer.Replicas{}, asNotRun(err)
		}
	}
	// This node is the coordinator, or no node ranked before it is reachable. A second
	// coordinator for a short time breaks no limit.
	w.Within = request.Deadline.Remaining(time.Now()) - responseMargin
	r, err := p.coordinator.EnsureReplica(ctx, w)
	return r, asNotRun(err)
}

// isCoordinatorRefusal reports whether err is the refusal of a running coordinator. It is
// false for a broken link and for a coordinator that is shutting down.
func isCoordinatorRefusal(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.Of(err)
	return e.Verdict == verdict.NotRun && e.Reason != verdict.Unknown && e.Reason != verdict.Draining
}

// asNotRun converts any placement error into one with the verdict NotRun, because the
// caller's request was not sent to a backend server.
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
func (p *Placer) MarkUnloaded(s domain.ServerID, m domain.ModelName) {
	p.deps.Reports.MarkUnloaded(s, m)
}

// readyReplicas returns the replicas in the reports that this request may use, and
// subscribes this node to the loads of the model's replicas.
func (p *Placer) readyReplicas(request caller.PlacementRequest) []routing.Replica {
	var servers []domain.ServerID
	now := time.Now()
	loaded := p.deps.Reports.ReadyReplicas(request.Model, now)
	p.deps.Gossip.FollowForRouting(loaded, now)
	for _, l := range loaded {
		if request.Adapter != "" && !slices.Contains(l.Replica.Adapters, request.Adapter) {
			continue
		}
		if !slices.Contains(request.Exclude, l.Server) {
			servers = append(servers, l.Server)
		}
	}
	return p.routableReplicas(servers, request)
}

// routableReplicas returns a routing.Replica for each server, with its entry in the platform's
// list and its report. It omits servers that are drained, leaving or not listed.
func (p *Placer) routableReplicas(servers []domain.ServerID, request caller.PlacementRequest) []routing.Replica {
	now := time.Now()
	model, drained := p.modelAndDrainFilter(request.Model)
	reports := p.deps.Reports.ReadyReplicas(request.Model, now)
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
		if i := slices.IndexFunc(reports, func(l ReadyReplica) bool { return l.Server == s }); i >= 0 {
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
	for _, v := range p.deps.Directory.VMsOfKind(vmlist.Service) {
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
