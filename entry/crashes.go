package entry

import "github.com/parsleylug/parsleylug/suspects"

// maximumPendingReports bounds the crash reports that wait for a link to the owner. The first
// report over a link has all traits again, and the contents that crashed several servers.
const maximumPendingReports = 1024

// ReportCrash reports a request content that crashed a backend server to the other nodes.
func (n *Node) ReportCrash(r suspects.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addCrashReports([]suspects.Report{r})
}

// addCrashReports adds reports to those that have not been sent. The caller holds mu.
func (n *Node) addCrashReports(reports []suspects.Report) {
	n.noteCrashReports(reports)
	room := max(0, maximumPendingReports-len(n.crashReports))
	n.crashReports = append(n.crashReports, reports[:min(room, len(reports))]...)
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
