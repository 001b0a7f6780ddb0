package entry

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/suspects"
)

// maximumPendingReports bounds the crash reports that wait for a link to the owner. The first
// report over a link has all traits again, and the contents that crashed several servers.
const maximumPendingReports = 1024

// maximumContentNews bounds the contents whose records wait for a link to the owner, and those in a
// message.
const maximumContentNews = 256

// ReportCrash reports a request content that crashed a backend server to the other nodes. If it has
// crashed several, it tells all of these crashes, since the reports of earlier ones may have been lost
// with a link or a node.
func (n *Node) ReportCrash(r suspects.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addCrashReports([]suspects.Report{r})
	if r.Crashes >= suspects.CrashLimit {
		n.addContentNews(r.Content)
	}
}

// applyCrashReports applies the reports of other nodes, and tells what their senders do not know.
// The caller holds mu.
func (n *Node) applyCrashReports(reports []suspects.Report) {
	if len(reports) == 0 || n.OnCrashReports == nil {
		return
	}
	n.OnCrashReports(reports)
	if n.Contents == nil {
		return
	}
	reported := map[suspects.Content]int{}
	var contents []suspects.Content
	for _, r := range reports {
		if r.Crashes == 0 {
			continue
		}
		if _, ok := reported[r.Content]; !ok {
			contents = append(contents, r.Content)
		}
		reported[r.Content] = max(reported[r.Content], r.Crashes)
	}
	for _, r := range n.Contents.ContentRecords(contents) {
		if len(r.Crashes) > reported[r.Content] {
			n.addContentNews(r.Content)
		}
	}
}

// addContentNews makes the records of contents be sent soon. The caller holds mu.
func (n *Node) addContentNews(contents ...suspects.Content) {
	for _, c := range contents {
		if len(n.contentNews) < maximumContentNews && !slices.Contains(n.contentNews, c) {
			n.contentNews = append(n.contentNews, c)
		}
	}
	if len(contents) > 0 {
		n.triggerPlan()
		signal(n.traitsReported)
	}
}

// takeContentNews returns the records of contents that have not been sent. The caller holds mu.
func (n *Node) takeContentNews() []suspects.ContentRecord {
	if n.Contents == nil || len(n.contentNews) == 0 {
		return nil
	}
	records := n.Contents.ContentRecords(n.contentNews)
	n.contentNews = nil
	return records
}

// addCrashReports adds reports to those that have not been sent. The caller holds mu.
func (n *Node) addCrashReports(reports []suspects.Report) {
	n.noteCrashReports(reports)
	room := max(0, maximumPendingReports-len(n.crashReports))
	now := time.Now()
	for _, r := range reports[:min(room, len(reports))] {
		n.crashReports = append(n.crashReports, pendingReport{Report: r, since: now})
	}
}

// pendingReport is a crash report that has not been sent since a time.
type pendingReport struct {
	suspects.Report
	since time.Time
}

// takeCrashReports returns the crash reports that have not been sent, with their ages now: a report that
// waited for a link would else count as one of another crash. The caller holds mu.
func (n *Node) takeCrashReports(now time.Time) []suspects.Report {
	var reports []suspects.Report
	for _, p := range n.crashReports {
		p.Age += now.Sub(p.since)
		reports = append(reports, p.Report)
	}
	n.crashReports = nil
	return reports
}

// ReportTraits reports what this node has learned of traits of requests to the other nodes.
func (n *Node) ReportTraits(r suspects.TraitReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addTraitReport(r)
}

// addTraitReport adds a report to what has not been sent, and makes it sent soon. The caller
// holds mu.
func (n *Node) addTraitReport(r suspects.TraitReport) {
	if r.IsEmpty() {
		return
	}
	n.notePossiblyStored(r.Refusals)
	if n.traitReport.Len() < maximumPendingReports {
		n.traitReport.Append(r)
	}
	n.triggerPlan()
	signal(n.traitsReported)
	signal(n.traitsChanged)
}

// signal sends a value on a channel unless one is waiting there.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// takeTraitReport returns what has not been sent. The caller holds mu.
func (n *Node) takeTraitReport() suspects.TraitReport {
	r := n.traitReport
	n.traitReport = suspects.TraitReport{}
	return r
}

// resetTraitReport makes the next report say all that this node knows of traits.
func (n *Node) resetTraitReport() {
	if n.Traits == nil {
		return
	}
	n.mu.Lock()
	n.traitReport = suspects.TraitReport{}
	n.mu.Unlock()
	n.ReportTraits(n.Traits.TraitSnapshot())
}

// applyTraits applies what another node has sent of traits. The owner passes on what was new
// to it; every node passes on what contradicts it. The caller holds mu.
func (n *Node) applyTraits(r suspects.TraitReport, isOwner bool) {
	if n.Traits == nil || r.IsEmpty() {
		return
	}
	n.notePossiblyStored(r.Refusals)
	news, answer := n.Traits.ApplyTraitReport(r)
	if isOwner {
		n.addTraitReport(news)
	}
	n.addTraitReport(answer)
}
