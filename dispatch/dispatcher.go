package dispatch

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// minimumStallTimeout is the lower bound of the stall timeout: the time without an
	// event after which the caller of a stream is expected to disconnect.
	minimumStallTimeout = 2 * time.Second
	// The stall timeout of a route is also at least stallTimeoutLatencyGoals times the
	// goal for the first event and stallTimeoutGapGoals times the goal for the gaps
	// between events.
	stallTimeoutLatencyGoals = 4
	stallTimeoutGapGoals     = 8
	// refusalMargin is how long before its deadline or the stall timeout a waiting request
	// is refused, so that the refusal reaches a caller that still waits for it. It is at
	// most refusalMarginShare of the request's timeout.
	refusalMargin      = 150 * time.Millisecond
	refusalMarginShare = 0.125
	// maximumLinkDelay bounds how much earlier a waiting request is refused because it may have
	// been held up on its way, linkDelayShare bounds it as a share of the request's timeout.
	maximumLinkDelay = time.Second
	linkDelayShare   = 0.25
	// resumeMargin is how long before the stall timeout a broken stream stops waiting for
	// a server. In the rest of the time the new server sends its first event.
	resumeMargin = 400 * time.Millisecond
	// minimumRetryAfter is the lower bound of a Retry-After before its random part is
	// subtracted, if the deadline permits it.
	minimumRetryAfter = 200 * time.Millisecond
	// retryAfterShare is the upper bound of a Retry-After, as a share of the time until
	// the deadline. It must stay below a third.
	retryAfterShare = 0.3
	// retryAfterJitter is the share of a Retry-After that is random.
	retryAfterJitter = 0.3
	// initialRefusalBackoff is the wait after every candidate has refused or failed the
	// request. The wait doubles each time, up to maximumRefusalBackoff.
	initialRefusalBackoff = 60 * time.Millisecond
	maximumRefusalBackoff = 800 * time.Millisecond
	// viewPollInterval is how often a waiting request checks for a server if no new view
	// is published.
	viewPollInterval = 500 * time.Millisecond
	// timeoutGoalShare is the share of the route's latency goal after which an attempt
	// times out if the request may be retried. In the rest of the time another server can
	// still meet the goal.
	timeoutGoalShare = 0.5
	// The attempt timeout is raised to timeoutResponseTimeFactor times the server's
	// recent response time, but to at most timeoutGoalFactor times the latency goal.
	timeoutResponseTimeFactor = 3
	timeoutGoalFactor         = 3
	// minimumAttemptTimeout is the lower bound of the attempt timeout.
	minimumAttemptTimeout = 200 * time.Millisecond
	// streamIdleTimeout is the time without an event after which a retryable stream is
	// resumed at another server.
	streamIdleTimeout = 1200 * time.Millisecond
)

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	// Zone is the availability zone of this node. Regions maps every zone to its region.
	Zone    domain.Zone
	Regions map[domain.Zone]domain.Region
	Views   *Views
	Demand  *DemandCounter
	// Notices holds what the backend servers have said of themselves. New creates it if it
	// is nil.
	Notices *fleet.Notices
	Backend Backend
	Logger  zerolog.Logger
	// SetBudget sets the length, ratio and reserve of a service's retry budget. It is
	// called before each use of the budget.
	SetBudget func(*retries.WindowBudget)
	// Quota charges the requests of workspaces to their quotas. Nil means that there are none.
	Quota Quota
	// ReportCrash sends the other nodes a report about a request content that was running
	// on a server when it crashed. It may be nil.
	ReportCrash func(suspects.Report)
	// ReportTraits sends the other nodes what this node has learned of traits of requests.
	// It may be nil.
	ReportTraits func(suspects.TraitReport)
	// ReportStaleEngineState is called with the ID of a server that lacks a model or
	// adapter that is loaded there according to this node's view. It may be nil.
	ReportStaleEngineState func(domain.ServerID)
	// ResponseMemory bounds the responses of all requests that are held whole; 0 means
	// buffers.DefaultSize.
	ResponseMemory domain.Bytes
	// RoomCounters may be nil.
	RoomCounters RoomCounters
	Counters
	// CacheCounters may be nil.
	CacheCounters
}

// Counters count the outcomes of requests and the results of attempts. They are safe for
// concurrent use.
type Counters interface {
	// CountRequest counts a request by its kind and outcome. timeToResponseStart is the
	// time from the arrival of the request to the first part of its response, 0 if there
	// was no response.
	CountRequest(kind fleet.Kind, outcome Outcome, timeToResponseStart time.Duration)
	// CountEnd counts a request that has ended. isNearChange is true if a version of the
	// configuration came into force shortly before.
	CountEnd(isNearChange bool)
	// CountEndedEarly counts a request that this node ended without a complete response of a
	// server before its time limit, by what ended its latest attempt.
	CountEndedEarly(endedBy string, isNearChange bool)
	// CountAttempt counts an attempt by its result.
	CountAttempt(result string)
	// CountKeptAway counts a request that was kept away from a server by a restriction; at
	// most once for each request and restriction.
	CountKeptAway(r fleet.Restriction)
	// CountCrash counts the crash of a server that ran requests of this node.
	CountCrash()
	// CountTraitDecision counts a trait that is refused from now on, or no longer.
	CountTraitDecision(refused bool)
}

// Dispatcher handles the requests that one node receives. Create it with New. It is safe
// for concurrent use.
type Dispatcher struct {
	Options
	chooser chooser
	rooms   rooms

	// shutdown is nil until Drain is called.
	shutdown atomic.Pointer[Shutdown]
	// reloadedAt is when the node last read its settings again; nil if it has not.
	reloadedAt atomic.Pointer[time.Time]
	// durations are those of the requests that this node has passed on.
	durations recentDurations
	// eventSteps are those of the services whose streams this node has passed on.
	eventSteps eventSteps

	mu      sync.Mutex
	budgets map[domain.ServiceName]*retries.WindowBudget

	crashes crashRecords
	// bodies bounds the responses that are held whole.
	bodies buffers.Pool
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	if o.Notices == nil {
		o.Notices = &fleet.Notices{}
	}
	d := &Dispatcher{Options: o, budgets: map[domain.ServiceName]*retries.WindowBudget{}}
	d.bodies.Size = o.ResponseMemory
	d.chooser.cacheTokens = d.cacheTokens
	d.crashes.checks = map[domain.ServerID]*crashCheck{}
	d.crashes.contents.IsExplained = d.crashes.traits.IsExplained
	return d
}

// Running returns the number of attempts in flight.
func (d *Dispatcher) Running() int { return d.chooser.inFlight() }

// budget returns the retry budget of a service after SetBudget has updated its settings.
// The caller holds mu.
func (d *Dispatcher) budget(s domain.ServiceName) *retries.WindowBudget {
	b := d.budgets[s]
	if b == nil {
		b = &retries.WindowBudget{}
		d.budgets[s] = b
	}
	d.SetBudget(b)
	return b
}

// countRequest counts a first attempt in the retry budget of a service.
func (d *Dispatcher) countRequest(s domain.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(s).CountRequest(time.Now())
}

// spendHedge spends retry budget on replacing an attempt whose server may still respond.
// It reports whether the budget permitted this.
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
	// Broken streams were aborted after their head was sent to the caller.
	Broken
	// Left requests were abandoned by their callers.
	Left
)

// newRefusal returns an error for a request that did not run. Its Retry-After is
// expectedWait, raised to minimumRetryAfter and limited to retryAfterShare of the time
// until the deadline. A random part is subtracted, so that callers that are refused at
// once do not all retry at once.
func newRefusal(now time.Time, r *Request, reason verdict.Reason, message string, expectedWait time.Duration) *verdict.Error {
	maximumRetryAfter := time.Duration(retryAfterShare * float64(r.Deadline.Sub(now)))
	retryAfter := max(min(expectedWait, maximumRetryAfter), min(minimumRetryAfter, maximumRetryAfter), 0)
	return verdict.Refuse(reason, message).WithRetryAfter(retryAfter - time.Duration(retryAfterJitter*rand.Float64()*float64(retryAfter)))
}
