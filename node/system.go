package node

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
	"github.com/parsleylug/parsleylug/operator"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/platformlog"
	"github.com/parsleylug/parsleylug/reports"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
	"github.com/parsleylug/parsleylug/vmlist"
)

// System gives the administration API access to the node. It implements operator.System.
type System struct{ node *Node }

var _ operator.System = (*System)(nil)

// View implements operator.System.
func (s *System) View(read func(*fold.State)) { s.node.replica.View(read) }

// Append implements operator.System.
func (s *System) Append(ctx context.Context, records [][]byte) (domain.Offset, error) {
	if len(records) == 1 {
		return s.node.replica.AppendConfiguration(ctx, records[0])
	}
	first, err := s.node.log.Append(ctx, fold.ConfigurationStream, records)
	return first, appendVerdict(err)
}

// appendVerdict converts an append error into a verdict that shows operators whether the
// records may be in the log.
func appendVerdict(err error) error {
	if err == nil {
		return nil
	}
	var e *platformlog.Error
	if errors.As(err, &e) && e.Failure == platformlog.NotAppended {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the platform's log did not take the change", Cause: err}
	}
	return verdict.UnknownOutcome(verdict.LogUnavailable, "the platform's log did not answer; the change may be in it", err)
}

// ReadRecords implements operator.System.
func (s *System) ReadRecords(ctx context.Context, from domain.Offset, limit int) ([]operator.StoredRecord, error) {
	p, err := s.node.log.Read(ctx, fold.ConfigurationStream, from, limit, 0)
	if err != nil {
		return nil, err
	}
	if len(p.Records) == 0 && p.Oldest > from {
		if p, err = s.node.log.Read(ctx, fold.ConfigurationStream, p.Oldest, limit, 0); err != nil {
			return nil, err
		}
	}
	out := make([]operator.StoredRecord, 0, len(p.Records))
	for _, e := range p.Records {
		out = append(out, operator.StoredRecord{Offset: e.Offset, Data: e.Data})
	}
	return out, nil
}

// AppliedOffsets implements operator.System.
func (s *System) AppliedOffsets(ctx context.Context) (map[domain.NodeID]domain.Offset, error) {
	out := make(map[domain.NodeID]domain.Offset)
	for n, a := range s.node.collectApplied(ctx, true) {
		out[n] = a.Configuration
	}
	return out, nil
}

// ReleaseContent implements operator.System.
func (s *System) ReleaseContent(content [32]byte) { s.node.callers.ClearSuspect(content) }

// BurnSnapshot implements operator.System.
func (s *System) BurnSnapshot(ctx context.Context) (objective.Snapshot, error) {
	total := s.node.recorder.Snapshot(time.Now())
	unresponsive := s.node.collectStatus(ctx, peer.StatusRequest{Part: peer.BurnPart}, func(raw []byte) error {
		one, err := objective.DecodeSnapshot(raw)
		if err == nil {
			total = objective.Merge(total, one)
		}
		return err
	})
	total.Unresponsive += unresponsive
	return total, nil
}

// Decisions implements operator.System.
func (s *System) Decisions(ctx context.Context, id domain.RequestID) (decisions.Entry, error) {
	local, _ := s.node.journal.Find(id)
	entries := []decisions.Entry{local}
	s.node.collectStatus(ctx, peer.StatusRequest{Part: peer.DecisionsPart, Request: id}, func(raw []byte) error {
		one, err := decisions.Decode(raw)
		if err == nil && len(one.Steps) > 0 {
			entries = append(entries, one)
		}
		return err
	})
	sum := decisions.Merge(entries...)
	sum.Request = id
	return sum, nil
}

// Status implements operator.System.
func (s *System) Status(ctx context.Context) (operator.Status, error) {
	n := s.node
	applied := n.collectApplied(ctx, false)
	out := operator.Status{
		Node: n.options.Node, Version: n.options.Version, At: time.Now(),
		Ready: n.IsReady(), NotReady: n.notReadyReason(),
	}
	lag := n.replica.Lag()
	out.Log = operator.LogStatus{Up: n.replica.IsLogReachable(), SinceResponse: lag}
	n.replica.View(func(f *fold.State) {
		out.Log.Decision, out.Log.Configuration = f.Offset(), f.ConfigurationOffset()
		s.addReplicatedState(&out, f, newestLoads(applied))
	})
	out.Nodes = s.nodeStatuses(out.Servers, applied)
	out.ColdStarts = n.coordinator.ColdStarts()
	s.addUnleasedServers(&out)
	for _, q := range n.callers.Queues() {
		out.Queues = append(out.Queues, operator.QueueStatus{Model: q.Model, Waiting: q.Waiting, Running: q.Running, AverageHoldTime: q.AverageHoldTime})
	}
	for _, c := range n.callers.Suspects() {
		out.Suspects = append(out.Suspects, operator.SuspectStatus{
			Content: hex.EncodeToString(c.Content[:]), Refused: c.Standing == suspects.Refused, Crashes: c.Crashes, Remaining: c.RemainingRefusal,
		})
	}
	for _, e := range n.callers.Ejections() {
		out.Ejections = append(out.Ejections, operator.EjectionStatus{Server: e.Server, Failures: e.Failures, Remaining: e.Remaining})
	}
	return out, nil
}

// addUnleasedServers adds the listed backend servers without a lease: plain services, which
// need none, and engines that no node owns yet.
func (s *System) addUnleasedServers(out *operator.Status) {
	leased := make(map[domain.ServerID]bool)
	for _, v := range out.Servers {
		leased[v.Server] = true
	}
	for _, k := range []vmlist.VMKind{vmlist.Engine, vmlist.Service} {
		for _, v := range s.node.deps.Directory.OfKind(k) {
			id := domain.ServerID(v.ID)
			if leased[id] {
				continue
			}
			out.Servers = append(out.Servers, operator.ServerStatus{
				Server: id, Kind: k.String(), Region: v.Region, Zone: v.Zone, Alive: true, Leaving: v.Leaving,
				Drained: s.node.deps.isServerDrained(id, v.Zone), ChecksFences: v.ChecksFences, Memory: v.Memory,
			})
		}
	}
}

// addReplicatedState adds the leases, permits and doubts of the replicated state, with the
// servers' reports and load counts.
func (s *System) addReplicatedState(out *operator.Status, f *fold.State, counts map[domain.ServerID]reports.Loads) {
	now := time.Now()
	known := s.node.deps.Reports
	for _, l := range f.Leases() {
		vm, listed := s.node.deps.Directory.Server(l.Server)
		v := operator.ServerStatus{
			Server: l.Server, Kind: "Engine", Region: l.Facts.Region, Zone: l.Facts.Zone,
			Leaving: !listed || vm.Leaving, Drained: f.IsServerDrained(l.Server, l.Facts.Zone),
			Owner: l.Owner, Fence: l.Fence, ChecksFences: l.Facts.ChecksFences, Memory: l.Facts.Memory,
		}
		r, seen := known.UsableReport(l.Server, now)
		v.Alive = seen
		if seen {
			v.Used = l.Facts.Memory - r.FreeMemory
		}
		for _, m := range counts[l.Server].Models {
			v.Running += m.Running
			v.Waiting += m.Waiting
		}
		for _, p := range f.ServerPermits(l.Server) {
			out.Permits = append(out.Permits, permitStatus(p, known, now))
		}
		for _, d := range l.Doubts {
			out.UnknownOutcomes = append(out.UnknownOutcomes, operator.UnknownOutcomeStatus{
				Server: l.Server, Owner: d.Owner, EarlierFence: d.Fence, Since: s.node.leaseManager.doubtClock.age(l.Server, d.Fence, now),
			})
		}
		out.Servers = append(out.Servers, v)
	}
}

// newestLoads returns the load counts of each server from the owner with the newest fencing
// token.
func newestLoads(applied map[domain.NodeID]peer.Applied) map[domain.ServerID]reports.Loads {
	out := make(map[domain.ServerID]reports.Loads)
	for _, a := range applied {
		for _, l := range a.Loads {
			if l.Fence >= out[l.Server].Fence {
				out[l.Server] = l
			}
		}
	}
	return out
}

func permitStatus(p fold.Permit, known *Reports, now time.Time) operator.PermitStatus {
	out := operator.PermitStatus{Model: p.Model, Server: p.Server, Revoked: p.Revoked}
	r, ok := known.UsableReport(p.Server, now)
	if i := modelIndex(r, p.Model); ok && i >= 0 {
		out.Loaded, out.Loading = !r.Models[i].Loading, r.Models[i].Loading
	}
	return out
}

// nodeStatuses returns the members, with the configuration offset that each has applied.
func (s *System) nodeStatuses(servers []operator.ServerStatus, applied map[domain.NodeID]peer.Applied) []operator.NodeStatus {
	leases := make(map[domain.NodeID]int)
	for _, v := range servers {
		leases[v.Owner]++
	}
	roles := s.node.roles()
	var out []operator.NodeStatus
	for _, m := range s.node.mesh.Members() {
		out = append(out, operator.NodeStatus{
			Node: m.Node, Address: m.Address, Region: m.Region, Zone: m.Zone, Alive: true, Leaving: m.Leaving,
			Roles: roles[m.Node], Leases: leases[m.Node], Configuration: applied[m.Node].Configuration,
		})
	}
	return out
}
