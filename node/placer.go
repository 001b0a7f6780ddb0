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
	// homeRetry is the wait before another home is asked.
	homeRetry = 50 * time.Millisecond
	// answerMargin is kept back from a caller's deadline for the answer itself.
	answerMargin = 100 * time.Millisecond
)

// Placer finds loaded replicas in the reports and asks the model's home to wake
// one where there is none. It implements caller.Placer and caller.Backends.
type Placer struct {
	deps *Deps
	home *Home
}

// NewPlacer returns a Placer; h serves the models whose home is this node.
func NewPlacer(d *Deps, h *Home) *Placer { return &Placer{deps: d, home: h} }

var (
	_ caller.Placer   = (*Placer)(nil)
	_ caller.Backends = (*Placer)(nil)
)

// Place implements caller.Placer.
func (p *Placer) Place(ctx context.Context, n caller.Need) ([]routing.Replica, error) {
	for {
		if out := p.ready(n); len(out) > 0 {
			return out, nil
		}
		within := n.Deadline.Remaining(time.Now()) - answerMargin
		if within <= 0 {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "no replica was ready before the deadline")
		}
		answer, err := p.ask(ctx, n, within)
		if err != nil {
			return nil, err
		}
		if out := p.replicas(answer.Servers, n); len(out) > 0 {
			if answer.Woken {
				loadedNow(out)
			}
			return out, nil
		}
		if !pause.For(ctx, homeRetry, nil) {
			return nil, verdict.Refuse(verdict.DeadlinePassed, "the request ended while it waited for a replica")
		}
	}
}

// loadedNow dates replicas that were woken and that no report shows yet.
func loadedNow(replicas []routing.Replica) {
	for i := range replicas {
		if replicas[i].LoadedAt.IsZero() {
			replicas[i].LoadedAt = time.Now()
		}
	}
}

// ask sends a Wake to the home; where the home cannot be reached, to the next.
func (p *Placer) ask(ctx context.Context, n caller.Need, within time.Duration) (peer.Replicas, error) {
	w := peer.Wake{
		Request: n.Request, Model: n.Model, Adapter: n.Adapter, Team: n.Team, Priority: n.Priority,
		Region: p.deps.Self.Region, Within: within, Exclude: n.Exclude,
	}
	for _, home := range rendezvous.Rank(homeKey(n.Model), p.deps.members()) {
		if home == p.deps.node() {
			break
		}
		w.Within = n.Deadline.Remaining(time.Now()) - answerMargin
		a, err := p.deps.Mesh.Call(ctx, home, w)
		if r, ok := a.(peer.Replicas); err == nil && ok {
			return r, nil
		}
		if answered(err) || ctx.Err() != nil {
			return peer.Replicas{}, refused(err)
		}
	}
	// No other home answers: a second home for a moment costs efficiency only.
	w.Within = n.Deadline.Remaining(time.Now()) - answerMargin
	r, err := p.home.Wake(ctx, w)
	return r, refused(err)
}

// answered tells whether a home itself refused, in contrast to a broken link and
// to a home that stops.
func answered(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.Of(err)
	return e.Verdict == verdict.NotRun && e.Reason != verdict.Unknown && e.Reason != verdict.Draining
}

// refused turns any failure to place into NotRun, which is true: nothing was sent
// to a backend server for the caller.
func refused(err error) error {
	if err == nil {
		return nil
	}
	e := *verdict.Of(err)
	if e.Verdict == verdict.NotRun && e.Reason != verdict.Unknown {
		return &e
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "no replica could be found in time", RetryAfter: retryLoadAfter, Cause: err}
}

// Unloaded implements caller.Placer.
func (p *Placer) Unloaded(s domain.ServerID, m domain.ModelName) { p.deps.Reports.Drop(s, m) }

// ready returns replicas from the reports that this request may go to.
func (p *Placer) ready(n caller.Need) []routing.Replica {
	var servers []domain.ServerID
	now := time.Now()
	loaded := p.deps.Reports.Ready(n.Model, now)
	p.deps.News.Use(loaded, now)
	for _, l := range loaded {
		if n.Adapter != "" && !slices.Contains(l.Replica.Adapters, n.Adapter) {
			continue
		}
		if !slices.Contains(n.Exclude, l.Server) {
			servers = append(servers, l.Server)
		}
	}
	return p.replicas(servers, n)
}

// replicas joins servers with the platform's list, the reports and the drains.
func (p *Placer) replicas(servers []domain.ServerID, n caller.Need) []routing.Replica {
	now := time.Now()
	model, drained := p.configured(n.Model)
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

// configured reads the model and which VMs the operators drain.
func (p *Placer) configured(m domain.ModelName) (model configuration.Model, drained func(vmlist.VM) bool) {
	var drains []configuration.Drain
	p.deps.Agreement.View(func(s *fold.State) {
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
	_, drained := p.configured("")
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
