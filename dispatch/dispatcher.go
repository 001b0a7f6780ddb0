package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// minimumStallTimeout is the lower bound of the stall timeout: the gap without an
	// event after which a streaming caller is expected to disconnect.
	minimumStallTimeout = 2 * time.Second
	// stallTimeoutGoals and stallTimeoutGaps derive the stall timeout from a route's goals
	// for the first event and for the gaps between events.
	stallTimeoutGoals = 4
	stallTimeoutGaps  = 8
	// refusalMargin is how long before the stall timeout a waiting request is refused.
	refusalMargin = 150 * time.Millisecond
	// resumeMargin is how long before the stall timeout a broken stream stops waiting for
	// a server; the new server needs time to send an event.
	resumeMargin = 400 * time.Millisecond
	// minimumServiceTime is the least time in which a backend server can respond.
	minimumServiceTime = 5 * time.Millisecond
	// minimumRetryAfter is the shortest Retry-After, if the deadline permits it.
	minimumRetryAfter = 200 * time.Millisecond
	// retryAfterShare is the largest Retry-After as a share of the time left; it must stay
	// below a third.
	retryAfterShare = 0.3
	// retryAfterJitter is the share of a Retry-After that is random.
	retryAfterJitter = 0.3
	// initialRefusalBackoff is the wait after every server has refused the request. It
	// doubles with each further round, up to maximumRefusalBackoff.
	initialRefusalBackoff = 60 * time.Millisecond
	maximumRefusalBackoff = 800 * time.Millisecond
	// viewPollInterval is how often a waiting request looks for a server when no new view
	// is published.
	viewPollInterval = 500 * time.Millisecond
	// timeoutGoalShare is the share of the route's goal after which an attempt times out,
	// if the request may be retried. The rest is left for the next server to meet the
	// goal.
	timeoutGoalShare = 0.5
	// timeoutDelayFactor times the server's recent response time is a lower bound of that
	// timeout; timeoutGoalFactor times the goal is an upper bound.
	timeoutDelayFactor = 3
	timeoutGoalFactor  = 3
	// minimumAttemptTimeout is the least timeout of an attempt.
	minimumAttemptTimeout = 200 * time.Millisecond
	// streamIdleTimeout is the gap between events after which a retryable stream is
	// resumed at another server.
	streamIdleTimeout = 1200 * time.Millisecond
	// crashCheckDelay is the wait between the failure of an attempt and the check whether
	// the server still accepts connections; crashCheckTimeout bounds the check.
	crashCheckDelay   = 40 * time.Millisecond
	crashCheckTimeout = 400 * time.Millisecond
)

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	Zone    domain.Zone
	Regions map[domain.Zone]domain.Region
	Views   *Views
	Demand  *DemandCounter
	Backend Backend
	Logger  zerolog.Logger
	// SetBudget updates the length, ratio and reserve of the retry budget of one service.
	// It is called before each use of the budget.
	SetBudget func(*retries.WindowBudget)
	// ReportCrash receives the report about a request content that ran on a crashed
	// server, for the other nodes. It may be nil.
	ReportCrash func(suspects.Report)
	// ReportStaleEngineState receives the ID of a server whose engine state in this node's
	// view is stale: it lists a model or adapter that the server lacks. It may be nil.
	ReportStaleEngineState func(domain.ServerID)
	Counters
}

// Counters count outcomes. They are safe for concurrent use.
type Counters interface {
	// CountRequest counts a request by its kind and outcome and records the time to the
	// first part of its response, 0 for none.
	CountRequest(kind fleet.Kind, outcome Outcome, first time.Duration)
	// CountAttempt counts an attempt by its result.
	CountAttempt(result string)
}

// Dispatcher handles the requests of one node. Create it with New. It is safe for
// concurrent use.
type Dispatcher struct {
	Options
	chooser chooser

	// drainUntil is the latest time until which requests may wait while this node drains,
	// in Unix nanoseconds, or 0 if it does not drain.
	drainUntil atomic.Int64

	mu       sync.Mutex
	budgets  map[domain.ServiceName]*retries.WindowBudget
	suspects suspects.List
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{Options: o, budgets: map[domain.ServiceName]*retries.WindowBudget{}}
}

// Running returns the number of attempts in flight.
func (d *Dispatcher) Running() int { return d.chooser.inFlight() }

// Drain limits the waits of all requests to the given time, since this node shuts down.
// The callers of requests that are then refused retry at other nodes.
func (d *Dispatcher) Drain(until time.Time) {
	d.drainUntil.Store(until.UnixNano())
	d.Views.Refresh()
}

// ApplyCrashReports applies other nodes' reports about request contents that ran on
// crashed servers.
func (d *Dispatcher) ApplyCrashReports(reports []suspects.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.ApplyReports(time.Now(), reports)
}

// standing returns whether a content runs as usual, in isolation or not at all.
func (d *Dispatcher) standing(c suspects.Content) suspects.Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, _ := d.suspects.Standing(time.Now(), c)
	return s
}

// budget returns the retry budget of a service with its current settings. The caller holds
// mu.
func (d *Dispatcher) budget(s domain.ServiceName) *retries.WindowBudget {
	b := d.budgets[s]
	if b == nil {
		b = &retries.WindowBudget{}
		d.budgets[s] = b
	}
	d.SetBudget(b)
	return b
}

// countRequest adds a first attempt to the retry budget of a service.
func (d *Dispatcher) countRequest(s domain.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(s).CountRequest(time.Now())
}

// spendHedge spends retry budget on replacing an attempt whose server may still respond,
// and reports whether the budget permitted it.
func (d *Dispatcher) spendHedge(s domain.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(s).SpendHedge(time.Now())
}

// spendRetry spends retry budget on a retry and reports whether the budget permitted it.
func (d *Dispatcher) spendRetry(s domain.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(s).Spend(time.Now())
}

// checkCrash checks whether a server that failed an attempt still accepts connections. If
// not, the server counts as crashed, and the crash is recorded against the content.
func (d *Dispatcher) checkCrash(s *fleet.Server, c suspects.Content, afterToken bool) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if d.Backend.Reach(ctx, s) == nil {
		return
	}
	now := time.Now()
	d.chooser.recordFailure(now, s.ID, true)
	d.mu.Lock()
	report := d.suspects.RecordCrash(now, c, s.ID, false, afterToken)
	d.mu.Unlock()
	d.Logger.Info().Str("Event", "ServerCrashed").Str("Server", string(s.ID)).Int("ContentCrashes", report.Crashes).Msg("a server crashed while it ran a request")
	if d.ReportCrash != nil {
		d.ReportCrash(report)
	}
}

// Outcome is how a request ended.
type Outcome int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Outcome,Refusal -output=names_string.go

// The outcomes.
const (
	// Served requests got a complete response.
	Served Outcome = iota
	// FailedThere requests got the error response of a backend server.
	FailedThere
	// Refused requests did not run at any backend server.
	Refused
	// Failed requests may have run, but the response is lost.
	Failed
	// Broken streams were aborted after their head was sent.
	Broken
	// Left requests were abandoned by their callers.
	Left
)

// newRefusal returns an error for a request that did not run. Its Retry-After is the
// expected wait, at least minimumRetryAfter and at most a share of the time left. It is
// random in part, so that callers refused together do not all retry together.
func newRefusal(now time.Time, r *Request, reason verdict.Reason, message string, wait time.Duration) *verdict.Error {
	limit := time.Duration(retryAfterShare * float64(r.Deadline.Sub(now)))
	longest := max(min(wait, limit), min(minimumRetryAfter, limit), 0)
	return verdict.Refuse(reason, message).WithRetryAfter(longest - time.Duration(retryAfterJitter*rand.Float64()*float64(longest)))
}
