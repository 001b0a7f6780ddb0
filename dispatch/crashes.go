package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// crashCheckDelay is the time between the failure of an attempt and the check whether
	// the server still accepts connections. crashCheckTimeout bounds the check.
	crashCheckDelay   = 40 * time.Millisecond
	crashCheckTimeout = 400 * time.Millisecond
	// maximumRequestsPerCrash bounds the requests that are recorded for one crash.
	maximumRequestsPerCrash = 256
	// maximumLoggedRequests bounds the requests that the line about a crash names.
	maximumLoggedRequests = 8
)

// crashRecords holds what this node knows of requests that crash servers. Its mutex is held for
// no call out of this package, since the other side may call in with locks held.
type crashRecords struct {
	mu       sync.Mutex
	contents suspects.List
	traits   suspects.Traits
	// checks holds, for each server whose crash is being checked, the requests that ran there.
	checks     map[domain.ServerID]*crashCheck
	unfinished unfinishedAttempts
}

// crashCheck is a check whether a server has crashed, to which a connection broke at brokenAt.
type crashCheck struct {
	brokenAt time.Time
	requests []crashedRequest
}

// crashedRequest is a request that ran on a server when the connection to it broke.
type crashedRequest struct {
	id      domain.RequestID
	content suspects.Content
	traits  []suspects.Trait
	// ran is how long it had run there.
	ran time.Duration
	// afterToken is true if the caller had received part of the response.
	afterToken bool
}

// ApplyCrashReports applies the reports of other nodes about request contents that were
// running on servers when these crashed.
func (d *Dispatcher) ApplyCrashReports(reports []suspects.Report) {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	d.crashes.contents.ApplyReports(time.Now(), reports)
}

// ApplyTraitReport implements entry.Traits.
func (d *Dispatcher) ApplyTraitReport(r suspects.TraitReport) (news, answer suspects.TraitReport) {
	d.crashes.mu.Lock()
	news, answer, decisions := d.crashes.traits.Apply(time.Now(), r)
	d.crashes.mu.Unlock()
	d.publishDecisions(decisions)
	d.recordReportedCrashes(time.Now(), news.Crashes)
	return news, answer
}

// TraitSnapshot implements entry.Traits.
func (d *Dispatcher) TraitSnapshot() suspects.TraitReport {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	return d.crashes.traits.Snapshot(time.Now())
}

// RestoreContents implements entry.Contents.
func (d *Dispatcher) RestoreContents(records []suspects.ContentRecord) bool {
	d.crashes.mu.Lock()
	isNew := d.crashes.contents.Restore(time.Now(), records)
	d.crashes.mu.Unlock()
	if isNew {
		// Requests that wait may be refused now.
		d.Views.Refresh()
	}
	return isNew
}

// ContentSnapshot implements entry.Contents.
func (d *Dispatcher) ContentSnapshot() []suspects.ContentRecord {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	return d.crashes.contents.Snapshot(time.Now())
}

// AllContents implements entry.Contents.
func (d *Dispatcher) AllContents() []suspects.ContentRecord {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	return d.crashes.contents.All(time.Now())
}

// ContentRecords implements entry.Contents.
func (d *Dispatcher) ContentRecords(contents []suspects.Content) []suspects.ContentRecord {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	return d.crashes.contents.Records(time.Now(), contents)
}

// standing returns whether a request content now runs as usual, in isolation or not at
// all.
func (d *Dispatcher) standing(c suspects.Content) suspects.Standing {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	s, _ := d.crashes.contents.Standing(time.Now(), c)
	return s
}

// refuseSuspect returns the refusal of a request whose content or one of whose traits crashes
// servers, or nil.
func (s *session) refuseSuspect() *verdict.Error {
	now := time.Now()
	c := &s.dispatcher.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, remaining, refused := c.traits.Refused(now, s.request.Traits); refused {
		return s.newTraitRefusal(now, t, remaining)
	}
	if standing, remaining := c.contents.Standing(now, s.request.Content); standing == suspects.Refused {
		return newRefusal(now, s.request, verdict.Quarantined, "this request was running on several servers when they crashed", remaining)
	}
	return nil
}

// admit returns the refusal of a request that is about to be sent to a server, or nil. After the
// refusal of a trait has ended, it lets one request with the trait pass at a time.
func (s *session) admit() *verdict.Error {
	if len(s.request.Traits) == 0 {
		return nil
	}
	now := time.Now()
	c := &s.dispatcher.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, remaining, refused := c.traits.Admit(now, s.request.Traits); refused {
		return s.newTraitRefusal(now, t, remaining)
	}
	return nil
}

func (s *session) newTraitRefusal(now time.Time, t suspects.Trait, remaining time.Duration) *verdict.Error {
	s.refusedTrait = t
	return newRefusal(now, s.request, verdict.Quarantined, "a part of the prompt was in requests on several servers when they crashed", remaining)
}

// recordCompletion records that one attempt generated the whole response, so that neither the
// content nor a trait of the request crashes each server.
func (s *session) recordCompletion(a *attempt) {
	if a.parameters.LastEvent > 0 {
		return
	}
	d := s.dispatcher
	now := time.Now()
	d.crashes.mu.Lock()
	cleared, wasSuspected := d.crashes.contents.RecordCompletion(now, s.request.Content)
	report, decisions := d.crashes.traits.RecordCompletion(now, s.request.Traits)
	d.crashes.mu.Unlock()
	d.publishDecisions(decisions)
	d.reportTraits(report)
	if wasSuspected && d.ReportCrash != nil {
		d.ReportCrash(cleared)
	}
}

// checkCrash checks whether the server of a broken attempt still accepts connections. One check
// at a time is made for a server, for all attempts that break meanwhile.
func (d *Dispatcher) checkCrash(s *fleet.Server, r crashedRequest) {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	check := d.checkCrashLocked(s)
	if len(check.requests) < maximumRequestsPerCrash {
		check.requests = append(check.requests, r)
	}
}

// checkCrashLocked returns the check of a server, which it starts unless one is under way. The caller
// holds the mu of the crashes.
func (d *Dispatcher) checkCrashLocked(s *fleet.Server) *crashCheck {
	check, isChecked := d.crashes.checks[s.ID]
	if !isChecked {
		check = &crashCheck{brokenAt: time.Now()}
		d.crashes.checks[s.ID] = check
		go d.confirmCrash(s)
	}
	return check
}

// confirmCrash records and reports the crash of a server that does not accept connections.
func (d *Dispatcher) confirmCrash(s *fleet.Server) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := d.Backend.Reach(ctx, s)
	d.crashes.mu.Lock()
	check := d.crashes.checks[s.ID]
	delete(d.crashes.checks, s.ID)
	if err != nil {
		check.addRequests(d.crashes.unfinished.take(s.ID, check.brokenAt))
	}
	d.crashes.mu.Unlock()
	if err != nil {
		d.recordCrash(time.Now(), s.ID, check)
	}
}

// addRequests adds requests that ran on the server, without those that are known.
func (c *crashCheck) addRequests(requests []crashedRequest) {
	known := map[domain.RequestID]bool{}
	for _, r := range c.requests {
		known[r.id] = true
	}
	for _, r := range requests {
		if !known[r.id] && len(c.requests) < maximumRequestsPerCrash {
			c.requests = append(c.requests, r)
		}
	}
}

// recordCrash records that a server crashed while it ran requests of this node, and reports it
// to the other nodes.
func (d *Dispatcher) recordCrash(now time.Time, id domain.ServerID, check *crashCheck) {
	d.chooser.recordFailure(now, id, true)
	d.crashes.mu.Lock()
	report, decisions := d.crashes.traits.RecordTraitCrash(now, check.traitCrash(now, id))
	contents := make([]suspects.Report, 0, len(check.requests))
	for _, r := range check.requests {
		contents = append(contents, d.crashes.contents.RecordCrash(now, r.content, id, false, r.afterToken))
	}
	d.crashes.mu.Unlock()
	d.CountCrash()
	d.logCrash(id, check.requests, contents)
	d.publishDecisions(decisions)
	d.reportTraits(report)
	if d.ReportCrash == nil {
		return
	}
	for _, r := range contents {
		d.ReportCrash(r)
	}
}

// traitCrash returns the crash of a server with the traits of the requests that ran there.
func (c *crashCheck) traitCrash(now time.Time, id domain.ServerID) suspects.TraitCrash {
	k := suspects.TraitCrash{Server: id, Age: now.Sub(c.brokenAt)}
	longest := map[suspects.Trait]time.Duration{}
	for _, r := range c.requests {
		for _, t := range r.traits {
			longest[t] = max(longest[t], r.ran)
		}
	}
	for t, ran := range longest {
		k.Traits, k.Ran = append(k.Traits, t), append(k.Ran, ran)
	}
	return k
}

// reportTraits passes a report that is not empty on to the other nodes.
func (d *Dispatcher) reportTraits(r suspects.TraitReport) {
	if d.ReportTraits != nil && !r.IsEmpty() {
		d.ReportTraits(r)
	}
}

// logCrash logs the crash of a server and the requests of this node that ran there, with their
// traits.
func (d *Dispatcher) logCrash(id domain.ServerID, requests []crashedRequest, contents []suspects.Report) {
	crashes := 0
	for _, r := range contents {
		crashes = max(crashes, r.Crashes)
	}
	var names []string
	for _, r := range requests[:min(len(requests), maximumLoggedRequests)] {
		names = append(names, fmt.Sprintf("%s %x", r.id, r.traits))
	}
	d.Logger.Info().Str("Event", "ServerCrashed").Str("Server", string(id)).Int("Running", len(requests)).Strs("Requests", names).Int("ContentCrashes", crashes).
		Msg("a server crashed while it ran requests")
}

// publishDecisions logs and counts which traits are refused from now on, or no longer, and wakes
// the requests that wait for a server, since they may be refused now.
func (d *Dispatcher) publishDecisions(decisions []suspects.Decision) {
	for _, c := range decisions {
		d.CountTraitDecision(c.Refused)
		trait := fmt.Sprintf("%x", c.Trait)
		if !c.Refused {
			d.Logger.Info().Str("Event", "TraitCleared").Str("Trait", trait).Msg("requests with the trait are served again, because one has completed")
			continue
		}
		d.Logger.Warn().Str("Event", "TraitRefused").Str("Trait", trait).Strs("Servers", domain.Strings(c.Servers)).Int64("ForMs", c.Length.Milliseconds()).
			Msg("requests with the trait are refused, because it explains the crashes of these servers")
	}
	if len(decisions) > 0 {
		d.Views.Refresh()
	}
}
