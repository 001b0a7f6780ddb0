package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/objective"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/verdict"
)

// Observer is told what was decided for each request and how it ended. It is
// given no prompt, answer, key or body.
type Observer interface {
	// RecordStep records one step of a request.
	RecordStep(id domain.RequestID, team domain.TeamName, s decisions.Step)
	// RecordOutcome records how a request for a configured model or service ended.
	RecordOutcome(e objective.Event)
}

const (
	// servicePrefix starts the name that a service has among models in reports.
	servicePrefix = "services/"
	// maximumGaps bounds the gaps between tokens that are kept of one request.
	maximumGaps = 4096
)

// trace follows one request. The zero trace tells nobody. It is used by one
// goroutine at a time.
type trace struct {
	observer Observer
	node     domain.NodeID
	id       domain.RequestID
	team     domain.TeamName
	// model is empty until the request was found to name a configured one.
	model    domain.ModelName
	started  time.Time
	deadline domain.Deadline
	// first and last are when the first and the last token came.
	first, last time.Time
	gaps        []time.Duration
	cold        bool
	finished    bool
	failure     *verdict.Error
}

type traceKey struct{}

// observe starts a request's trace.
func (a *API) observe(ctx context.Context, id domain.RequestID) (context.Context, *trace) {
	t := &trace{observer: a.Observer, node: a.Node, id: id, started: time.Now()}
	return context.WithValue(ctx, traceKey{}, t), t
}

func traceOf(ctx context.Context) *trace {
	if t, ok := ctx.Value(traceKey{}).(*trace); ok {
		return t
	}
	return &trace{}
}

func (t *trace) decided(k decisions.Kind, s domain.ServerID, detail string) {
	if t.observer == nil {
		return
	}
	t.observer.RecordStep(t.id, t.team, decisions.Step{At: time.Now(), Kind: k, Node: t.node, Server: s, Model: t.model, Detail: detail})
}

// admitted is told of a request for a configured model or service.
func (t *trace) admitted(team domain.TeamName, model domain.ModelName, due domain.Deadline) {
	t.team, t.model, t.deadline = team, model, due
	t.decided(decisions.Admitted, "", "within "+due.Remaining(t.started).Round(time.Millisecond).String())
}

func (t *trace) placed(replicas int, err error) {
	if err == nil {
		t.decided(decisions.Placed, "", strconv.Itoa(replicas)+" replicas may serve it")
	}
}

// attempt is told of an attempt at a replica. One that was loaded after the
// request came makes it a cold start.
func (t *trace) attempt(r *routing.Replica) {
	t.cold = t.cold || r.LoadedAt.After(t.started)
	t.decided(decisions.AttemptStarted, r.Server, "")
}

func (t *trace) attemptFailed(s domain.ServerID, f failure) {
	t.decided(decisions.AttemptFailed, s, f.String())
}

// token is told of each part that goes to the caller.
func (t *trace) token(part engine.Token) {
	if t.observer == nil {
		return
	}
	now := time.Now()
	switch {
	case t.first.IsZero():
		t.first = now
	case len(t.gaps) < maximumGaps:
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
	t.finished = t.finished || part.FinishReason != ""
}

// failed is told of the failure that the caller is given.
func (t *trace) failed(e *verdict.Error) {
	t.failure = e
	k := decisions.Failed
	if e.Verdict == verdict.NotRun {
		k = decisions.Refused
	}
	t.decided(k, "", e.Reason.String()+" "+e.Verdict.String())
}

// end tells how the request ended; ctx is the caller's connection.
func (t *trace) end(ctx context.Context) {
	if t.observer == nil || t.model == "" {
		return
	}
	e := objective.Event{Team: t.team, Model: t.model, At: time.Now(), Cold: t.cold, Outcome: t.outcome(ctx)}
	if !t.first.IsZero() {
		e.FirstToken, e.BetweenTokens = t.first.Sub(t.started), t.gaps
	}
	switch e.Outcome {
	case objective.Answered:
		t.decided(decisions.Answered, "", "after "+time.Since(t.started).Round(time.Millisecond).String())
	case objective.CallerLeft:
		t.decided(decisions.CallerLeft, "", "")
	case objective.RefusedInTime, objective.RefusedLate, objective.Broken:
	}
	t.observer.RecordOutcome(e)
}

func (t *trace) outcome(ctx context.Context) objective.Outcome {
	switch {
	case t.failure == nil && (t.finished || t.first.IsZero()):
		return objective.Answered
	case ctx.Err() != nil:
		return objective.CallerLeft
	case t.failure == nil || t.failure.Verdict != verdict.NotRun:
		return objective.Broken
	case t.deadline.HasPassed(time.Now()):
		return objective.RefusedLate
	}
	return objective.RefusedInTime
}
