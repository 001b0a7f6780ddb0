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
	// shortestPatience is the least gap in a stream after which callers leave.
	shortestPatience = 2 * time.Second
	// patienceGoals and patienceGaps scale a route's goals to that gap.
	patienceGoals = 4
	patienceGaps  = 8
	// patienceMargin is how long before its caller leaves a waiting request is
	// refused.
	patienceMargin = 150 * time.Millisecond
	// resumeMargin is how long before its caller leaves a stream that broke off is
	// given up: the server must still bring an event.
	resumeMargin = 400 * time.Millisecond
	// leastLeft is the least time in which a backend server can answer.
	leastLeft = 5 * time.Millisecond
	// retryMinimum is the shortest Retry-After.
	retryMinimum = 200 * time.Millisecond
	// retryShare is the part of what is left that a caller may be told to wait; it
	// keeps to less than a third.
	retryShare = 0.3
	// retrySpread is the part of a Retry-After over which callers are spread.
	retrySpread = 0.3
	// turnedAwayPause is the wait after every server has refused the request; it
	// doubles each time up to longestTurnedAway.
	turnedAwayPause   = 60 * time.Millisecond
	longestTurnedAway = 800 * time.Millisecond
	// lookAgain is how often a waiting request looks for a server though nothing is
	// known to have changed.
	lookAgain = 500 * time.Millisecond
	// silenceShare is the part of its goal after which a repeatable request is taken
	// to another server where nothing was heard, so that it can still be in time.
	silenceShare = 0.5
	// silenceDelays scales the server's usual time to an answer to a lower bound of
	// that, silenceGoals the goal to an upper one.
	silenceDelays = 3
	silenceGoals  = 3
	// shortestSilence bounds it from below.
	shortestSilence = 200 * time.Millisecond
	// streamSilence is the gap after which a repeatable stream is taken elsewhere.
	streamSilence = 1200 * time.Millisecond
	// crashCheckDelay is how long after a break a server is asked whether it still
	// takes connections, crashCheckTime how long it may take to.
	crashCheckDelay = 40 * time.Millisecond
	crashCheckTime  = 400 * time.Millisecond
)

// Options are what a dispatcher works with.
type Options struct {
	Zone    domain.Zone
	Regions map[domain.Zone]domain.Region
	Views   *Views
	Demand  *Demand
	Backend Backend
	Logger  zerolog.Logger
	// SetBudget sets the bounds of a budget for one service, as of now.
	SetBudget func(*retries.WindowBudget)
	// ReportCrash is told of contents that were running when a server crashed.
	ReportCrash func(suspects.Report)
	// ReportStaleHoldings is told of servers that lack what they are said to hold.
	ReportStaleHoldings func(domain.ServerID)
	Counters
}

// Counters count outcomes; each function may be called at any time.
type Counters interface {
	// CountRequest counts a request by its outcome and the time to its answer.
	CountRequest(kind fleet.Kind, outcome Outcome, first time.Duration)
	// CountAttempt counts a sending by what became of it.
	CountAttempt(result string)
}

// Dispatcher handles requests. New makes one.
type Dispatcher struct {
	Options
	chooser chooser

	// leaving is until when requests may wait once this node stops, in Unix
	// nanoseconds; 0 while it does not.
	leaving atomic.Int64

	mu       sync.Mutex
	budgets  map[domain.ServiceName]*retries.WindowBudget
	suspects suspects.List
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{Options: o, budgets: map[domain.ServiceName]*retries.WindowBudget{}}
}

// Running is how many attempts of this node are under way.
func (d *Dispatcher) Running() int { return d.chooser.running() }

// Drain ends the waiting of requests at a time, since this node stops. Their
// callers then go to other nodes.
func (d *Dispatcher) Drain(until time.Time) {
	d.leaving.Store(until.UnixNano())
	d.Views.Refresh()
}

// ApplyCrashReports takes in what other nodes saw of contents that crash servers.
func (d *Dispatcher) ApplyCrashReports(reports []suspects.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.ApplyReports(time.Now(), reports)
}

func (d *Dispatcher) standing(c suspects.Content) suspects.Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, _ := d.suspects.Standing(time.Now(), c)
	return s
}

func (d *Dispatcher) budget(s domain.ServiceName) *retries.WindowBudget {
	b := d.budgets[s]
	if b == nil {
		b = &retries.WindowBudget{}
		d.budgets[s] = b
	}
	d.SetBudget(b)
	return b
}

func (d *Dispatcher) countRequest(s domain.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(s).CountRequest(time.Now())
}

// mayHedge tells whether a request may leave a server that may still answer.
func (d *Dispatcher) mayHedge(s domain.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(s).SpendHedge(time.Now())
}

func (d *Dispatcher) mayRepeat(s domain.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(s).Spend(time.Now())
}

// checkCrash finds out whether a server that broke off an answer has crashed, and
// if so remembers the content that it ran.
func (d *Dispatcher) checkCrash(s *fleet.Server, c suspects.Content, begun bool) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTime)
	defer cancel()
	if d.Backend.Reach(ctx, s) == nil {
		return
	}
	now := time.Now()
	d.chooser.failed(now, s.ID, true)
	d.mu.Lock()
	report := d.suspects.RecordCrash(now, c, s.ID, false, begun)
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
	// Served requests got a whole answer.
	Served Outcome = iota
	// FailedThere requests got the server's own failure.
	FailedThere
	// Refused requests did not run.
	Refused
	// Failed requests may have run and got no answer.
	Failed
	// Broken streams began and broke off.
	Broken
	// Left requests were given up by their callers.
	Left
)

// refusal is a verdict with a Retry-After that fits what the caller has left.
// Callers that are refused together are told different times, so that they do not
// come back together.
func refusal(now time.Time, r *Request, reason verdict.Reason, message string, wait time.Duration) *verdict.Error {
	left := time.Duration(retryShare * float64(r.Deadline.Sub(now)))
	longest := max(min(wait, left), min(retryMinimum, left), 0)
	return verdict.Refuse(reason, message).WithRetryAfter(longest - time.Duration(retrySpread*rand.Float64()*float64(longest)))
}
