package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// Action is what a change does to callers or replicas.
type Action int

// The actions.
const (
	// Allow means that callers may use something new. A model is loaded on the first
	// request for it.
	Allow Action = iota
	// Load means that a replica is loaded again, in a new version.
	Load
	// TakeDown means that a replica is unloaded after its requests have ended.
	TakeDown
	// Refuse means that requests are rejected from now on.
	Refuse
)

// Effect is one thing that a change would do.
type Effect struct {
	// Action is an Action in text form.
	Action string
	Model  string `json:",omitempty"`
	Server string `json:",omitempty"`
	Reason string
}

// dryRun returns the effects of records without writing them.
func (a *API) dryRun(ctx context.Context, records []configuration.Record) (Change, error) {
	status, err := a.deps.System.Status(ctx)
	if err != nil {
		return Change{}, refuse(Unavailable, "the state of the system cannot be read: "+err.Error())
	}
	change := Change{DryRun: true, Results: make([]ChangeResult, 0, len(records))}
	a.deps.System.View(func(s *fold.State) {
		for _, r := range records {
			p := planner{state: s, status: status}
			p.plan(r)
			change.Results = append(change.Results, ChangeResult{
				Subject:        r.Subject(),
				Result:         Checked.String(),
				CurrentVersion: uint64(s.VersionOf(r)),
				Effects:        p.effects,
			})
		}
	})
	return change, nil
}

// planner computes the effects of one record.
type planner struct {
	state   *fold.State
	status  Status
	effects []Effect
}

func (p *planner) addf(a Action, m domain.ModelName, s domain.ServerID, format string, values ...any) {
	p.effects = append(p.effects, Effect{Action: a.String(), Model: string(m), Server: string(s), Reason: fmt.Sprintf(format, values...)})
}

func (p *planner) plan(r configuration.Record) {
	switch {
	case r.Model != nil:
		p.planModel(*r.Model)
	case r.Adapter != nil:
		p.addf(Allow, r.Adapter.Model, "", "callers may ask for %s", r.Adapter.FullName())
	case r.Service != nil:
		p.addf(Allow, "", "", "callers may call /services/%s", r.Service.Name)
	case r.Team != nil:
		p.planTeam(*r.Team)
	case r.Drain != nil && !r.Drain.Off:
		p.planDrain(*r.Drain)
	case r.Quarantine != nil && !r.Quarantine.Release:
		p.addf(Refuse, "", "", "requests with this content are refused")
	case r.Remove != nil:
		p.planRemoval(*r.Remove)
	}
}

func (p *planner) planModel(m configuration.Model) {
	old, exists := p.state.Model(m.Name)
	switch {
	case m.Paused:
		p.addf(Refuse, m.Name, "", "the model is paused")
		p.addTakeDowns(m.Name, "the model is paused")
		return
	case !exists:
		p.addf(Allow, m.Name, "", "up to %d copies may be loaded, the first when a caller asks", m.Copies)
		return
	case old.Paused:
		p.addf(Allow, m.Name, "", "the model is no longer paused")
	}
	p.planReplicas(old, m)
}

// planReplicas adds the effects on the replicas of a model that remains configured and
// not paused. Permits are kept in the order of attachment, up to the number of copies.
func (p *planner) planReplicas(old, m configuration.Model) {
	keptPermits := domain.ReplicaCount(0)
	for _, permit := range p.status.Permits {
		if permit.Model != m.Name {
			continue
		}
		loaded := permit.Loaded || permit.Loading
		switch {
		case len(m.Regions) > 0 && !slices.Contains(m.Regions, p.regionOf(permit.Server)):
			p.addTakeDown(permit, "its region is no longer listed")
			continue
		case keptPermits >= m.Copies:
			p.addTakeDown(permit, fmt.Sprintf("only %d copies are allowed", m.Copies))
			continue
		case loaded && old.Version != m.Version:
			p.addTakeDown(permit, "version "+string(old.Version)+" is replaced")
			p.addf(Load, m.Name, permit.Server, "version %s", m.Version)
		}
		keptPermits++
	}
	if m.Copies > old.Copies {
		p.addf(Allow, m.Name, "", "up to %d copies may be loaded instead of %d", m.Copies, old.Copies)
	}
	if m.Copies == 0 {
		p.addf(Refuse, m.Name, "", "no copy is allowed")
	}
}

// addTakeDown adds a TakeDown effect if the permit's replica is loaded or loading.
func (p *planner) addTakeDown(permit PermitStatus, reason string) {
	if permit.Loaded || permit.Loading {
		p.addf(TakeDown, permit.Model, permit.Server, "%s", reason)
	}
}

func (p *planner) addTakeDowns(m domain.ModelName, reason string) {
	for _, permit := range p.status.Permits {
		if permit.Model == m {
			p.addTakeDown(permit, reason)
		}
	}
}

func (p *planner) regionOf(s domain.ServerID) domain.Region {
	for _, v := range p.status.Servers {
		if v.Server == s {
			return v.Region
		}
	}
	return ""
}

func (p *planner) planTeam(t configuration.Team) {
	if len(t.Models) > 0 {
		p.addf(Refuse, "", "", "team %s may call %d models only", t.Name, len(t.Models))
	}
	if p.state.Deployment().RequireKeys && len(t.Keys) == 0 {
		p.addf(Refuse, "", "", "team %s has no key", t.Name)
	}
}

func (p *planner) planDrain(d configuration.Drain) {
	servers := map[domain.ServerID]bool{}
	for _, v := range p.status.Servers {
		if v.Server == d.Server || d.Zone != "" && v.Zone == d.Zone {
			servers[v.Server] = true
		}
	}
	for _, s := range slices.Sorted(maps.Keys(servers)) {
		p.addf(Refuse, "", s, "the server takes no new work")
	}
	for _, permit := range p.status.Permits {
		if servers[permit.Server] {
			p.addTakeDown(permit, "its server is drained")
		}
	}
	if d.Node != "" {
		p.addf(Refuse, "", "", "node %s is not ready for new callers and gives its leases back", d.Node)
	}
}

func (p *planner) planRemoval(r configuration.Remove) {
	p.addf(Refuse, "", "", "%s %s is no longer configured", r.Kind.WireName(), r.Name)
	if r.Kind == configuration.KindModel {
		p.addTakeDowns(domain.ModelName(r.Name), "the model is removed")
	}
}
