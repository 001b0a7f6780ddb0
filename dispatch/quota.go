package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// quotaWaitShare is the share of the latency goal for which a request waits for the owner's answer
	// about its quota. Such a wait costs nothing even if the request is refused.
	quotaWaitShare = 0.125
	// maximumQuotaWait bounds that wait.
	maximumQuotaWait = 100 * time.Millisecond
	// quotaRetryJitter is the largest part by which a Retry-After for a quota is prolonged, so that
	// refused callers do not return together.
	quotaRetryJitter = 1.0 / 3
	// unknownQuotaRetry is the Retry-After where the node does not know whether the quota has room.
	unknownQuotaRetry = 500 * time.Millisecond
	// maximumQuotaAmount bounds what one request counts as. Callers choose the number of tokens.
	maximumQuotaAmount = 1e15
)

// Quota charges requests to the quotas of workspaces. It is safe for concurrent use.
type Quota interface {
	// Take charges a request, and waits for that for maximumWait at most. A charge that is recent is
	// not repeated. An older one is replaced, because the quota bounds what runs in a period.
	Take(ctx context.Context, c *QuotaCharge, maximumWait time.Duration) QuotaDecision
	// GiveBack refunds the charge of a request that did not run.
	GiveBack(c *QuotaCharge)
}

// QuotaCharge is what one request is charged.
type QuotaCharge struct {
	Workspace domain.WorkspaceName
	// Amount is in the unit of the quota.
	Amount float64
	// IsTaken and TakenAt belong to the Quota: whether the amount is charged, and since when by its
	// clock.
	IsTaken bool
	TakenAt time.Duration
}

// QuotaDecision says whether a request may run under its quota.
type QuotaDecision struct {
	IsAdmitted bool
	// IsUnknown is set for a request that is not admitted because the node does not know whether the
	// quota has room.
	IsUnknown bool
	// RetryAfter is when the quota may have room.
	RetryAfter time.Duration
	// Basis names for logs and metrics what the decision is based on.
	Basis string
}

// quotaCharge returns what the request is charged, nil if it has no quota.
func (d *Dispatcher) quotaCharge(r *Request) *QuotaCharge {
	if d.Quota == nil || r.Workspace == nil || r.Workspace.Quota.Rate <= 0 {
		return nil
	}
	return &QuotaCharge{Workspace: r.Workspace.Name, Amount: quotaAmount(r.Workspace.Quota, r.Size)}
}

// quotaAmount returns what a request of a size counts as.
func quotaAmount(q fleet.Quota, s RequestSize) float64 {
	amount := 1.0
	if q.Unit == fleet.PromptAndOutputTokens {
		amount = q.DefaultTokens
		if s.Known {
			// The sum of the two as whole numbers may overflow.
			amount = float64(s.Prompt) + float64(s.MaximumOutput)
		}
	}
	return math.Min(maximumQuotaAmount, math.Max(0, amount))
}

// takeQuota charges the request to its quota and returns the refusal if it is not admitted.
func (s *session) takeQuota(ctx context.Context) *verdict.Error {
	if s.quotaCharge == nil {
		return nil
	}
	wait := maximumQuotaWait
	if goal := s.request.Route.LatencyGoal; goal > 0 {
		wait = min(wait, time.Duration(quotaWaitShare*float64(goal)))
	}
	s.quotaDecision = s.dispatcher.Quota.Take(ctx, s.quotaCharge, wait)
	switch d := s.quotaDecision; {
	case d.IsAdmitted:
		return nil
	case d.IsUnknown:
		return newRefusal(time.Now(), s.request, verdict.QuotaUnknown, "this node does not know whether the quota of the workspace has room", max(unknownQuotaRetry, d.RetryAfter))
	default:
		jitter := time.Duration(quotaRetryJitter * rand.Float64() * float64(d.RetryAfter))
		return verdict.Refuse(verdict.LimitReached, "the quota of the workspace is used up").WithRetryAfter(d.RetryAfter + jitter)
	}
}

// giveBackQuota refunds the charge of a request that did not run.
func (s *session) giveBackQuota() {
	if s.quotaCharge != nil {
		s.dispatcher.Quota.GiveBack(s.quotaCharge)
	}
}

// serveWithinQuota runs the request if its quota has room.
func (s *session) serveWithinQuota(ctx context.Context) (Outcome, *verdict.Error) {
	if e := s.takeQuota(ctx); e != nil {
		// The request counts neither in the demand nor in the retry budget.
		s.caller.WriteError(e)
		return Refused, e
	}
	if s.refuseSuspect() == nil {
		s.dispatcher.Demand.countArrival(s.demandKey)
	}
	s.dispatcher.countRequest(s.request.Service)
	outcome, e := s.run(ctx)
	if outcome == Refused || !s.hasAttempted() {
		s.giveBackQuota()
	}
	return outcome, e
}

// hasAttempted reports whether the request was sent to a server.
func (s *session) hasAttempted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts > 0
}
