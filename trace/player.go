package trace

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/admission"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/limits"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/streams"
	"github.com/parsleylug/parsleylug/suspects"
)

// player holds one of each decision.
type player struct {
	at       int64
	queue    admission.Queue
	shares   limits.Registry
	chooser  routing.Chooser
	set      routing.Set
	budget   retries.Budget
	breakers retries.Breakers
	latency  retries.FirstTokenLatency
	relay    streams.Sequencer
	list     suspects.List
}

// play runs one event. Each group of events returns false where the event is not
// one of its own.
func (p *player) play(now time.Time, e *event) (Outcome, error) {
	if o, ok := p.playAdmission(now, e); ok {
		return o, nil
	}
	if o, ok := p.playLimits(now, e); ok {
		return o, nil
	}
	if o, ok := p.playRouting(now, e); ok {
		return o, nil
	}
	if o, ok := p.playRetries(now, e); ok {
		return o, nil
	}
	if o, ok := p.playStreams(e); ok {
		return o, nil
	}
	o, ok, err := p.playSuspects(now, e)
	if err == nil && !ok {
		err = errors.Errorf("event %q is not known", e.Event)
	}
	return o, err
}

func (p *player) playAdmission(now time.Time, e *event) (Outcome, bool) {
	id := admission.ID(e.ID)
	switch e.Event {
	case "Capacity":
		return changed(p.queue.SetCapacity(now, e.Capacity)), true
	case "Offer":
		d := p.queue.Offer(now, admission.Item{
			ID: id, Team: e.Team, Share: e.Share, Priority: e.Priority,
			Deadline: domain.Deadline{At: milliseconds(e.DeadlineMilliseconds)},
		})
		return Outcome{Answer: d.Outcome.String(), Late: ids(d.LateIDs), WaitMilliseconds: d.RetryAfter.Milliseconds()}, true
	case "Finish":
		return changed(p.queue.Finish(now, id)), true
	case "Release":
		return changed(p.queue.Release(now, id)), true
	case "Leave":
		p.queue.Cancel(id)
		return Outcome{}, true
	}
	return Outcome{}, false
}

func changed(c admission.DequeuedItems) Outcome {
	return Outcome{Admitted: ids(c.AdmittedIDs), Late: ids(c.LateIDs)}
}

func ids(in []admission.ID) []uint64 {
	var out []uint64
	for _, id := range in {
		out = append(out, uint64(id))
	}
	return out
}

func allowed(b bool) Outcome { return Outcome{Allowed: &b} }

func (p *player) playLimits(now time.Time, e *event) (Outcome, bool) {
	switch e.Event {
	case "Allow", "Charge", "Paid", "Enter", "Usage":
	default:
		return Outcome{}, false
	}
	l := p.shares.Limit(now, limits.Name(e.Limit))
	switch e.Event {
	case "Allow":
		o := allowed(l.Allow(now, e.Rate, e.Nodes, e.Amount))
		if !*o.Allowed {
			o.WaitMilliseconds = l.RetryAfter(now, e.Rate, e.Nodes, e.Amount).Milliseconds()
		}
		return o, true
	case "Charge":
		l.Charge(now, e.Amount)
	case "Paid":
		return allowed(l.IsOutOfDebt(now, e.Rate, e.Nodes)), true
	case "Enter":
		return allowed(l.AllowConcurrent(now, e.Rate, e.Nodes, e.Held)), true
	case "Usage":
		l.ApplyReport(now, e.From, e.Demand)
	}
	return Outcome{}, true
}

func (p *player) playRouting(now time.Time, e *event) (Outcome, bool) {
	request := routing.Request{Adapter: e.Adapter, Exclude: e.Exclude, Seed: e.Seed}
	request.IsEjected = func(s domain.ServerID) bool { return p.breakers.IsEjected(now, s) }
	switch e.Event {
	case "Replicas":
		p.set = routing.GroupByLocality(e.Region, e.Zone, replicas(e.Replicas))
	case "Choose":
		// A choice without a seed would not be the same in each replay.
		request.Seed = max(e.Seed, 1)
		return p.chosen(p.chooser.Choose(now, p.set, request)), true
	case "ChooseAlone":
		return p.chosen(p.chooser.ChooseByRendezvousHash(p.set, request)), true
	case "Done":
		p.chooser.Done(e.Server)
	default:
		return Outcome{}, false
	}
	return Outcome{}, true
}

func (p *player) chosen(i int, ok bool) Outcome {
	if !ok {
		return allowed(false)
	}
	return Outcome{Server: p.set.Replicas[i].Server}
}

func replicas(in []replica) []routing.Replica {
	out := make([]routing.Replica, len(in))
	for i, r := range in {
		out[i] = routing.Replica{
			Server: r.Server, Region: r.Region, Zone: r.Zone, Running: r.Running, Waiting: r.Waiting, Concurrency: r.Concurrency,
			ReportedAt: milliseconds(r.ReportedAtMilliseconds), LoadedAt: milliseconds(r.LoadedMilliseconds), Adapters: r.Adapters,
		}
	}
	return out
}

func (p *player) playRetries(now time.Time, e *event) (Outcome, bool) {
	switch e.Event {
	case "Request":
		p.budget.CountRequest(now)
	case "Spend":
		return allowed(p.budget.Spend(now)), true
	case "Backoff":
		random := min(max(e.Random, 0), math.Nextafter(1, 0))
		return Outcome{WaitMilliseconds: retries.Backoff(e.Attempts, random).Milliseconds()}, true
	case "Failed":
		p.breakers.RecordFailure(now, e.Server, e.Unreached)
	case "Succeeded":
		p.breakers.RecordSuccess(now, e.Server)
	case "Use":
		return allowed(!p.breakers.IsEjected(now, e.Server)), true
	case "FirstToken":
		p.latency.Record(time.Duration(e.Milliseconds) * time.Millisecond)
	case "Hedge":
		after, ok := p.latency.HedgeDelay()
		o := allowed(ok)
		o.WaitMilliseconds = after.Milliseconds()
		return o, true
	default:
		return Outcome{}, false
	}
	return Outcome{}, true
}

func (p *player) playStreams(e *event) (Outcome, bool) {
	switch e.Event {
	case "Attempt":
		p.relay.StartAttempt(e.Attempt)
		return Outcome{}, true
	case "Part":
		return Outcome{Step: p.relay.Accept(e.Attempt, e.Index).String()}, true
	case "Progress":
		left := time.Duration(e.Milliseconds) * time.Millisecond
		return Outcome{WaitMilliseconds: streams.ProgressTimeout(e.Begun, left).Milliseconds()}, true
	}
	return Outcome{}, false
}

func (p *player) playSuspects(now time.Time, e *event) (Outcome, bool, error) {
	switch e.Event {
	case "Crashed", "Learned", "Completed", "Standing", "Start":
	default:
		return Outcome{}, false, nil
	}
	c, err := contentOf(e.Content)
	if err != nil {
		return Outcome{}, false, err
	}
	switch e.Event {
	case "Crashed":
		p.list.RecordCrash(now, c, e.Server, e.Alone, e.Begun)
	case "Learned":
		p.list.ApplyReports(now, []suspects.Report{{Content: c, Crashes: e.Crashes, Server: e.Server, Isolated: e.Alone, AfterToken: e.Begun}})
	case "Completed":
		_, was := p.list.RecordCompletion(c)
		return allowed(was), true, nil
	case "Standing":
		s, left := p.list.Standing(now, c)
		return Outcome{Standing: s.String(), WaitMilliseconds: left.Milliseconds()}, true, nil
	case "Start":
		return Outcome{WaitMilliseconds: suspects.DelayToNextSlot(now, c).Milliseconds()}, true, nil
	}
	return Outcome{}, true, nil
}
