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

// Observer records the decisions on each request and its outcome, for operators. It
// receives no prompt, response, key or body.
type Observer interface {
	// RecordStep records one step of a request.
	RecordStep(id domain.RequestID, team domain.TeamName, s decisions.Step)
	// RecordOutcome records the outcome of a request for a configured model or service.
	RecordOutcome(e objective.Event)
}

const (
	// servicePrefix precedes the name of a service in reports, which list services and
	// models together.
	servicePrefix = "services/"
	// maximumTokenGaps bounds the intervals between tokens that are stored for one
	// request.
	maximumTokenGaps = 4096
)

// trace follows one request and passes its steps and its outcome to the Observer. The
// zero trace records nothing. It is used by one goroutine at a time.
type trace struct {
	observer Observer
	node     domain.NodeID
	id       domain.RequestID
	team     domain.TeamName
	// model is empty until the request is found to name a configured model or service.
	model     domain.ModelName
	startedAt time.Time
	deadline  domain.Deadline
	// firstTokenAt and lastTokenAt are the times at which the first and the latest token
	// were received.
	firstTokenAt, lastTokenAt time.Time
	tokenGaps                 []time.Duration
	coldStart                 bool
	finished                  bool
	failure                   *verdict.Error
}

type traceKey struct{}

// startTrace returns a new trace and a context that carries it.
func (a *API) startTrace(ctx context.Context, id domain.RequestID) (context.Context, *trace) {
	t := &trace{observer: a.Observer, node: a.Node, id: id, startedAt: time.Now()}
	return context.WithValue(ctx, traceKey{}, t), t
}

func traceFrom(ctx context.Context) *trace {
	if t, ok := ctx.Value(traceKey{}).(*trace); ok {
		return t
	}
	return &trace{}
}

func (t *trace) recordStep(kind decisions.Kind, s domain.ServerID, detail string) {
	if t.observer == nil {
		return
	}
	t.observer.RecordStep(t.id, t.team, decisions.Step{At: time.Now(), Kind: kind, Node: t.node, Server: s, Model: t.model, Detail: detail})
}

// recordAdmission records that a request names a configured model or service that its
// team may use.
func (t *trace) recordAdmission(team domain.TeamName, model domain.ModelName, deadline domain.Deadline) {
	t.team, t.model, t.deadline = team, model, deadline
	t.recordStep(decisions.Admitted, "", "within "+deadline.Remaining(t.startedAt).Round(time.Millisecond).String())
}

func (t *trace) recordPlacement(replicas int, err error) {
	if err == nil {
		t.recordStep(decisions.Placed, "", strconv.Itoa(replicas)+" replicas may serve it")
	}
}

// recordAttempt records an attempt at a replica. If the replica was loaded after the
// request arrived, the request counts as a cold start.
func (t *trace) recordAttempt(r *routing.Replica) {
	t.coldStart = t.coldStart || r.LoadedAt.After(t.startedAt)
	t.recordStep(decisions.AttemptStarted, r.Server, "")
}

func (t *trace) recordAttemptFailure(s domain.ServerID, f failure) {
	t.recordStep(decisions.AttemptFailed, s, f.String())
}

// recordToken records the time of a token that is sent to the caller.
func (t *trace) recordToken(token engine.Token) {
	if t.observer == nil {
		return
	}
	now := time.Now()
	switch {
	case t.firstTokenAt.IsZero():
		t.firstTokenAt = now
	case len(t.tokenGaps) < maximumTokenGaps:
		t.tokenGaps = append(t.tokenGaps, now.Sub(t.lastTokenAt))
	}
	t.lastTokenAt = now
	t.finished = t.finished || token.FinishReason != ""
}

// recordFailure records the failure that the caller receives.
func (t *trace) recordFailure(e *verdict.Error) {
	t.failure = e
	kind := decisions.Failed
	if e.Verdict == verdict.NotRun {
		kind = decisions.Refused
	}
	t.recordStep(kind, "", e.Reason.String()+" "+e.Verdict.String())
}

// finish reports the outcome of the request. ctx is the context of the caller's
// connection.
func (t *trace) finish(ctx context.Context) {
	if t.observer == nil || t.model == "" {
		return
	}
	e := objective.Event{Team: t.team, Model: t.model, At: time.Now(), Cold: t.coldStart, Outcome: t.outcome(ctx)}
	if !t.firstTokenAt.IsZero() {
		e.FirstToken, e.BetweenTokens = t.firstTokenAt.Sub(t.startedAt), t.tokenGaps
	}
	switch e.Outcome {
	case objective.Answered:
		t.recordStep(decisions.Answered, "", "after "+time.Since(t.startedAt).Round(time.Millisecond).String())
	case objective.CallerLeft:
		t.recordStep(decisions.CallerLeft, "", "")
	case objective.RefusedInTime, objective.RefusedLate, objective.Broken:
	}
	t.observer.RecordOutcome(e)
}

func (t *trace) outcome(ctx context.Context) objective.Outcome {
	switch {
	case t.failure == nil && (t.finished || t.firstTokenAt.IsZero()):
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
