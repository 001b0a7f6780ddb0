package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// metricsInterval is how often the counts are passed to the reporter.
	metricsInterval = 2 * time.Second
	// maximumCountedWorkspaces bounds the workspaces that are counted each, for the memory and the
	// size of the metrics.
	maximumCountedWorkspaces = 64
	// otherWorkspaces is the label of all workspaces beyond that.
	otherWorkspaces = "_others"
)

// Metrics counts requests, attempts and calls to the store, for Prometheus.
// Create it with NewMetrics.
type Metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter

	mu sync.Mutex
	// workspaces are those that are counted by their names, at most maximumCountedWorkspaces.
	workspaces map[domain.WorkspaceName]bool
}

// NewMetrics returns metrics that Handler serves.
func NewMetrics() *Metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{Prefix: "parsleylug", CachedReporter: r, Separator: prometheus.DefaultSeparator}, metricsInterval)
	return &Metrics{scope: scope, reporter: r, workspaces: map[domain.WorkspaceName]bool{}}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// latencyBuckets range from a millisecond to half a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// CountRequest implements dispatch.Counters.
func (m *Metrics) CountRequest(k fleet.Kind, o dispatch.Outcome, latency time.Duration) {
	s := m.scope.Tagged(map[string]string{"kind": k.String(), "outcome": o.String()})
	s.Counter("requests").Inc(1)
	if latency > 0 {
		s.Histogram("first_answer", latencyBuckets).RecordDuration(latency)
	}
}

// CountEnd implements dispatch.Counters.
func (m *Metrics) CountEnd(isNearChange bool) {
	m.scope.Tagged(map[string]string{"near_change": strconv.FormatBool(isNearChange)}).Counter("requests_ended").Inc(1)
}

// CountEndedEarly implements dispatch.Counters.
func (m *Metrics) CountEndedEarly(endedBy string, isNearChange bool) {
	m.scope.Tagged(map[string]string{"ended_by": endedBy, "near_change": strconv.FormatBool(isNearChange)}).Counter("requests_ended_early").Inc(1)
}

// CountAttempt implements dispatch.Counters.
func (m *Metrics) CountAttempt(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("attempts").Inc(1)
}

// CountKeptAway implements dispatch.Counters.
func (m *Metrics) CountKeptAway(r fleet.Restriction) {
	m.scope.Tagged(map[string]string{"restriction": r.String()}).Counter("requests_kept_away").Inc(1)
}

// CountCrash implements dispatch.Counters.
func (m *Metrics) CountCrash() { m.scope.Counter("server_crashes").Inc(1) }

// CountTraitDecision implements dispatch.Counters.
func (m *Metrics) CountTraitDecision(refused bool) {
	m.scope.Tagged(map[string]string{"refused": strconv.FormatBool(refused)}).Counter("trait_decisions").Inc(1)
}

// CountCachedTokens implements dispatch.CacheCounters.
func (m *Metrics) CountCachedTokens(tokens domain.Tokens, isByCache bool) {
	m.scope.Counter("prompt_tokens_cached").Inc(int64(tokens))
	if isByCache {
		m.scope.Counter("requests_chosen_by_cache").Inc(1)
	}
}

// CountRoomRefusal implements dispatch.RoomCounters.
func (m *Metrics) CountRoomRefusal(rank int) { m.ofRank(rank).Counter("room_refusals").Inc(1) }

// RecordRoomWait implements dispatch.RoomCounters.
func (m *Metrics) RecordRoomWait(rank int, wait time.Duration) {
	m.ofRank(rank).Histogram("room_waits", latencyBuckets).RecordDuration(wait)
}

// SetWaitingForRoom implements dispatch.RoomCounters.
func (m *Metrics) SetWaitingForRoom(rank, waiting int) {
	m.ofRank(rank).Gauge("requests_waiting_for_room").Update(float64(waiting))
}

func (m *Metrics) ofRank(rank int) tally.Scope {
	return m.scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)})
}

// CountRejected implements platform.FrontCounters.
func (m *Metrics) CountRejected(reason verdict.Reason) {
	m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("requests_rejected").Inc(1)
}

// CountUnfinished implements platform.FrontCounters.
func (m *Metrics) CountUnfinished(end fmt.Stringer) {
	m.scope.Tagged(map[string]string{"ended_by": end.String()}).Counter("responses_unfinished").Inc(1)
}

// CountConnectionClosed implements platform.ConnectionCounters.
func (m *Metrics) CountConnectionClosed(reason fmt.Stringer) {
	m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("caller_connections_closed").Inc(1)
}

// ListenerCounters counts the connections of one listener that a limit closed.
type ListenerCounters struct{ scope tally.Scope }

// OfListener returns the counters of a listener that is not the one for callers.
func (m *Metrics) OfListener(listener string) ListenerCounters {
	return ListenerCounters{m.scope.Tagged(map[string]string{"listener": listener})}
}

// CountConnectionClosed implements platform.ConnectionCounters.
func (c ListenerCounters) CountConnectionClosed(reason fmt.Stringer) {
	c.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("connections_closed").Inc(1)
}

// SetConnectionUsage implements platform.UsageGauges.
func (m *Metrics) SetConnectionUsage(listener string, open int, unread domain.Bytes) {
	s := m.scope.Tagged(map[string]string{"listener": listener})
	s.Gauge("connections_open").Update(float64(open))
	s.Gauge("connections_unread_bytes").Update(float64(unread))
}

// CountWorkspaceRequest implements platform.FrontCounters.
func (m *Metrics) CountWorkspaceRequest(w domain.WorkspaceName, outcome string) {
	m.scope.Tagged(map[string]string{"workspace": m.workspaceLabel(w), "outcome": outcome}).Counter("workspace_requests").Inc(1)
}

// workspaceLabel returns the label for a workspace: its name for the first
// maximumCountedWorkspaces, otherWorkspaces for all others.
func (m *Metrics) workspaceLabel(w domain.WorkspaceName) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.workspaces[w] && len(m.workspaces) >= maximumCountedWorkspaces {
		return otherWorkspaces
	}
	m.workspaces[w] = true
	return string(w)
}

// CountStoreCall implements platform.StoreCounters.
func (m *Metrics) CountStoreCall(call string, succeeded bool, responseBytes int) {
	s := m.scope.Tagged(map[string]string{"call": call, "succeeded": strconv.FormatBool(succeeded)})
	s.Counter("store_calls").Inc(1)
	s.Counter("store_answer_bytes").Inc(int64(responseBytes))
}

// SetConfiguration implements Counters.
func (m *Metrics) SetConfiguration(v fleet.Version, offset domain.Offset) {
	m.scope.Gauge("configuration_version").Update(float64(v))
	m.scope.Gauge("configuration_read_offset").Update(float64(offset.Position()))
}

// CountStoreRestoration implements Counters.
func (m *Metrics) CountStoreRestoration() { m.scope.Counter("store_restorations").Inc(1) }

// SetConfigurationBehind implements Counters.
func (m *Metrics) SetConfigurationBehind(d time.Duration) {
	m.scope.Gauge("configuration_behind_seconds").Update(d.Seconds())
}

// SetOwnerLinks implements Counters.
func (m *Metrics) SetOwnerLinks(links int) { m.scope.Gauge("owner_links").Update(float64(links)) }

// CountConfigurationRead implements Counters.
func (m *Metrics) CountConfigurationRead(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("configuration_reads").Inc(1)
}

// CountQuotaDecision implements Counters.
func (m *Metrics) CountQuotaDecision(basis string) {
	m.scope.Tagged(map[string]string{"basis": basis}).Counter("quota_decisions").Inc(1)
}

// SetContendedWorkspaces implements Counters.
func (m *Metrics) SetContendedWorkspaces(workspaces int) {
	m.scope.Gauge("quota_contended_workspaces").Update(float64(workspaces))
}
