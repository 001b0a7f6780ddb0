package dispatch

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/verdict"
)

// fakeQuota decides all requests alike, and counts charges and refunds.
type fakeQuota struct {
	mu       sync.Mutex
	decision QuotaDecision
	// takes counts the calls of Take, charges those that charged, and refunds the calls of GiveBack with
	// a charge. wait is the longest wait that a call permitted.
	takes, charges, refunds int
	wait                    time.Duration
	amount                  float64
	// refuseAgain refuses a request that asks a second time.
	refuseAgain bool
	// demand is the demand of the node after the request.
	demand []placement.Demand
}

func (q *fakeQuota) Take(_ context.Context, c *QuotaCharge, maximumWait time.Duration) QuotaDecision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takes++
	q.wait, q.amount = max(q.wait, maximumWait), c.Amount
	if q.refuseAgain && c.IsTaken {
		c.IsTaken = false
		return QuotaDecision{RetryAfter: time.Second}
	}
	if !c.IsTaken && q.decision.IsAdmitted {
		c.IsTaken = true
		q.charges++
	}
	return q.decision
}

func (q *fakeQuota) GiveBack(c *QuotaCharge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.IsTaken {
		c.IsTaken = false
		q.refunds++
	}
}

// serveWithQuota serves one request of a workspace with a quota.
func serveWithQuota(t *testing.T, q *fakeQuota, newRequest func() *Request, responses ...func(context.Context) (*Response, error)) (Outcome, *fakeCaller, *fakeBackend) {
	t.Helper()
	b := &fakeBackend{responses: responses}
	c := &fakeCaller{}
	var o Outcome
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.Quota = q
		r := newRequest()
		r.Workspace = &fleet.Workspace{Name: "w", Quota: fleet.Quota{Rate: 10, Burst: 10}}
		o = d.Serve(t.Context(), r, c)
		synctest.Wait()
		q.demand = d.Demand.TakeAll(time.Now())
		time.Sleep(time.Second)
	})
	return o, c, b
}

// Guards against a request beyond its quota that is sent, counts in the demand or retry budget, or is
// told to come back before the quota has room.
func TestRequestBeyondItsQuotaIsRefused(t *testing.T) {
	q := &fakeQuota{decision: QuotaDecision{RetryAfter: 3 * time.Second}}
	o, c, b := serveWithQuota(t, q, streamRequest, bodyResponse(200, "x"))
	if e := c.writtenError; o != Refused || e == nil || e.Reason != verdict.LimitReached || e.Verdict != verdict.NotRun {
		t.Fatalf("got %v and %v, want a refusal with LimitReached", o, e)
	}
	if got := c.writtenError.RetryAfter; got < 3*time.Second || got > 4*time.Second {
		t.Errorf("got Retry-After %v, want 3 s and up to a third more", got)
	}
	if len(b.received) != 0 || q.refunds != 0 {
		t.Errorf("got %d attempts and %d refunds, want none", len(b.received), q.refunds)
	}
	if len(q.demand) != 0 {
		t.Errorf("got demand %+v, want none", q.demand)
	}
}

// Guards against a 429 from a node that does not know whether the quota has room.
func TestRequestWithUnknownQuotaIsRefused(t *testing.T) {
	q := &fakeQuota{decision: QuotaDecision{IsUnknown: true}}
	_, c, b := serveWithQuota(t, q, idempotentRequest, bodyResponse(200, "x"))
	if e := c.writtenError; e == nil || e.Reason != verdict.QuotaUnknown || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 || len(b.received) != 0 {
		t.Errorf("got %v and %d attempts, want QuotaUnknown without an attempt", e, len(b.received))
	}
}

// Guards against a request that is charged for its retries too, or gets its charge back although a
// server may have run it.
func TestRequestIsChargedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		responses []func(context.Context) (*Response, error)
		refunds   int
	}{
		"served":                 {[]func(context.Context) (*Response, error){bodyResponse(200, "x")}, 0},
		"refused, then served":   {[]func(context.Context) (*Response, error){refusal(Full), bodyResponse(200, "x")}, 0},
		"lost, then served":      {[]func(context.Context) (*Response, error){failedAttempt(verdict.MayHaveRun), bodyResponse(200, "x")}, 0},
		"lost":                   {[]func(context.Context) (*Response, error){failedAttempt(verdict.MayHaveRun)}, 0},
		"error of the server":    {[]func(context.Context) (*Response, error){bodyResponse(500, "x")}, 0},
		"refused by all servers": {[]func(context.Context) (*Response, error){refusal(Full)}, 1},
		"reached no server":      {[]func(context.Context) (*Response, error){failedAttempt(verdict.NotRun)}, 1},
	} {
		q := &fakeQuota{decision: QuotaDecision{IsAdmitted: true}}
		o, _, b := serveWithQuota(t, q, idempotentRequest, c.responses...)
		if q.charges != 1 || q.refunds != c.refunds {
			t.Errorf("%s (%v, %d attempts): got %d charges and %d refunds, want 1 and %d", name, o, len(b.received), q.charges, q.refunds, c.refunds)
		}
	}
}

// Guards against a charge that is kept for a request without a server, or whose caller leaves before
// the first attempt.
func TestRequestWithoutAttemptIsRefunded(t *testing.T) {
	q := &fakeQuota{decision: QuotaDecision{IsAdmitted: true}}
	cold := func() *Request {
		r := streamRequest()
		r.Model, r.Deadline = "cold", time.Now().Add(time.Second)
		return r
	}
	_, _, b := serveWithQuota(t, q, cold, bodyResponse(200, "x"))
	if len(b.received) != 0 || q.refunds != 1 {
		t.Errorf("got %d attempts and %d refunds, want none and 1", len(b.received), q.refunds)
	}
}

// Guards against requests that run long after they were charged: the charge is looked at again before
// the first attempt, and a refusal then is final.
func TestChargeIsRenewedBeforeTheFirstAttempt(t *testing.T) {
	q := &fakeQuota{decision: QuotaDecision{IsAdmitted: true}, refuseAgain: true}
	_, c, b := serveWithQuota(t, q, idempotentRequest, bodyResponse(200, "x"))
	if e := c.writtenError; e == nil || e.Reason != verdict.LimitReached || len(b.received) != 0 || q.takes != 2 {
		t.Errorf("got %v, %d attempts and %d calls, want a refusal at the second call", e, len(b.received), q.takes)
	}
}

// Guards against a wait for the quota that is longer than an eighth of the latency goal or 100 ms.
func TestWaitForQuotaIsBounded(t *testing.T) {
	for _, c := range []struct{ goal, want time.Duration }{{80 * time.Millisecond, 10 * time.Millisecond}, {8 * time.Second, maximumQuotaWait}, {0, maximumQuotaWait}} {
		q := &fakeQuota{decision: QuotaDecision{IsAdmitted: true}}
		request := func() *Request {
			r := plainRequest(fleet.Idempotent)
			r.Route.LatencyGoal = c.goal
			return r
		}
		serveWithQuota(t, q, request, bodyResponse(200, "x"))
		if q.wait != c.want {
			t.Errorf("goal %v: got a wait of %v, want %v", c.goal, q.wait, c.want)
		}
	}
}

// Guards against a charge in the wrong unit, and against sums that overflow.
func TestQuotaAmount(t *testing.T) {
	tokens := fleet.Quota{Unit: fleet.PromptAndOutputTokens, DefaultTokens: 700}
	for _, c := range []struct {
		quota fleet.Quota
		size  RequestSize
		want  float64
	}{
		{fleet.Quota{}, RequestSize{Known: true, Prompt: 5, MaximumOutput: 6}, 1},
		{tokens, RequestSize{Known: true, Prompt: 5, MaximumOutput: 6}, 11},
		{tokens, RequestSize{}, 700},
		{tokens, RequestSize{Known: true, Prompt: math.MaxInt64, MaximumOutput: math.MaxInt64}, maximumQuotaAmount},
		{tokens, RequestSize{Known: true, Prompt: -5}, 0},
	} {
		if got := quotaAmount(c.quota, c.size); got != c.want {
			t.Errorf("%+v %+v: got %v, want %v", c.quota, c.size, got, c.want)
		}
	}
}

// Guards against work for requests without a quota.
func TestRequestWithoutQuota(t *testing.T) {
	d := newTestDispatcher(&fakeBackend{})
	r := plainRequest(fleet.Idempotent)
	if d.Quota = (&fakeQuota{}); d.quotaCharge(r) != nil {
		t.Error("a request without a workspace is charged")
	}
	r.Workspace = &fleet.Workspace{Name: "w"}
	if d.quotaCharge(r) != nil {
		t.Error("a request of a workspace without a rate is charged")
	}
	r.Workspace.Quota.Rate = 1
	if d.Quota = nil; d.quotaCharge(r) != nil {
		t.Error("a request is charged without a quota")
	}
}
