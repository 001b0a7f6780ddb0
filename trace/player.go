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

// player holds the state of each decision and applies events to it.
type player struct {
	lastAtMilliseconds int64
	queue              admission.Queue
	limits             limits.Registry
	chooser            routing.Chooser
	replicaSet         routing.Set
	budget             retries.Budget
	breakers           retries.Breakers
	latency            retries.FirstTokenLatency
	sequencer          streams.Sequencer
	suspects           suspects.List
}

// play applies one event and returns its outcome. The functions for a group of events return
// false if the event does not belong to their group.
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
		return dequeuedOutcome(p.queue.SetCapacity(now, e.Capacity)), true
	case "Offer":
		d := p.queue.Offer(now, admission.Item{
			ID: id, Team: e.Team, Share: e.Share, Priority: e.Priority,
			Deadline: domain.Deadline{At: timeAt(e.DeadlineMilliseconds)},
		})
		return Outcome{Answer: d.Outcome.String(), Late: ids(d.LateIDs), WaitMilliseconds: d.RetryAfter.Milliseconds()}, true
	case "Finish":
		return dequeuedOutcome(p.queue.Finish(now, id)), true
	case "Release":
		return dequeuedOutcome(p.queue.Release(now, id)), true
	case "Leave":
		p.queue.Cancel(id)
		return Outcome{}, true
	}
	return Outcome{}, false
}

func dequeuedOutcome(c admission.DequeuedItems) Outcome {
	return Outcome{Admitted: ids(c.AdmittedIDs), Late: ids(c.LateIDs)}
}

func ids(in []admission.ID) []uint64 {
	var out []uint64
	for _, id := range in {
		out = append(out, uint64(id))
	}
	return out
}

func allowedOutcome(b bool) Outcome { return Outcome{Allowed: &b} }

func (p *player) playLimits(now time.Time, e *event) (Outcome, bool) {
	switch e.Event {
	case "Allow", "Charge", "Paid", "Enter", "Usage":
	default:
		return Outcome{}, false
	}
	l := p.limits.Limit(now, limits.Name(e.Limit))
	switch e.Event {
	case "Allow":
		o := allowedOutcome(l.Allow(now, e.Rate, e.Nodes, e.Amount))
		if !*o.Allowed {
			o.WaitMilliseconds = l.RetryAfter(now, e.Rate, e.Nodes, e.Amount).Milliseconds()
		}
		return o, true
	case "Charge":
		l.Charge(now, e.Amount)
	case "Paid":
		return allowedOutcome(l.IsOutOfDebt(now, e.Rate, e.Nodes)), true
	case "Enter":
		return allowedOutcome(l.AllowConcurrent(now, e.Rate, e.Nodes, e.Held)), true
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
		p.replicaSet = routing.GroupByLocality(e.Region, e.Zone, replicas(e.Replicas))
	case "Choose":
		// Without a seed, the choice would be random and differ between replays.
		request.Seed = max(e.Seed, 1)
		return p.choiceOutcome(p.chooser.Choose(now, p.replicaSet, request)), true
	case "ChooseAlone":
		return p.choiceOutcome(p.chooser.ChooseByRendezvousHash(p.replicaSet, request)), true
	case "Done":
		p.chooser.Done(e.Server)
	default:
		return Outcome{}, false
	}
	return Outcome{}, true
}

func (p *player) choiceOutcome(i int, ok bool) Outcome {
	if !ok {
		return allowedOutcome(false)
	}
	return Outcome{Server: p.replicaSet.Replicas[i].Server}
}

func replicas(in []replica) []routing.Replica {
	out := make([]routing.Replica, len(in))
	for i, r := range in {
		out[i] = routing.Replica{
			Server: r.Server, Region: r.Region, Zone: r.Zone, Running: r.Running, Waiting: r.Waiting, Concurrency: r.Concurrency,
			ReportedAt: timeAt(r.ReportedAtMilliseconds), LoadedAt: timeAt(r.LoadedMilliseconds), Adapters: r.Adapters,
		}
	}
	return out
}

func (p *player) playRetries(now time.Time, e *event) (Outcome, bool) {
	switch e.Event {
	case "Request":
		p.budget.CountRequest(now)
	case "Spend":
		return allowedOutcome(p.budget.Spend(now)), true
	case "Backoff":
		jitter := min(max(e.Random, 0), math.Nextafter(1, 0))
		return Outcome{WaitMilliseconds: retries.Backoff(e.Attempts, jitter).Milliseconds()}, true
	case "Failed":
		p.breakers.RecordFailure(now, e.Server, e.Unreached)
	case "Succeeded":
		p.breakers.RecordSuccess(now, e.Server)
	case "Use":
		return allowedOutcome(!p.breakers.IsEjected(now, e.Server)), true
	case "FirstToken":
		p.latency.Record(time.Duration(e.Milliseconds) * time.Millisecond)
	case "Hedge":
		after, ok := p.latency.HedgeDelay()
		o := allowedOutcome(ok)
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
		p.sequencer.StartAttempt(e.Attempt)
		return Outcome{}, true
	case "Part":
		return Outcome{Step: p.sequencer.Accept(e.Attempt, e.Index).String()}, true
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
	c, err := parseContent(e.Content)
	if err != nil {
		return Outcome{}, false, err
	}
	switch e.Event {
	case "Crashed":
		p.suspects.RecordCrash(now, c, e.Server, e.Alone, e.Begun)
	case "Learned":
		p.suspects.ApplyReports(now, []suspects.Report{{Content: c, Crashes: e.Crashes, Server: e.Server, Isolated: e.Alone, AfterToken: e.Begun}})
	case "Completed":
		_, wasSuspected := p.suspects.RecordCompletion(now, c)
		return allowedOutcome(wasSuspected), true, nil
	case "Standing":
		s, left := p.suspects.Standing(now, c)
		return Outcome{Standing: s.String(), WaitMilliseconds: left.Milliseconds()}, true, nil
	case "Start":
		return Outcome{WaitMilliseconds: suspects.DelayToNextSlot(now, c).Milliseconds()}, true, nil
	}
	return Outcome{}, true, nil
}
