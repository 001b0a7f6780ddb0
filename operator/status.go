package operator

import (
	"fmt"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Status is the state of the whole system as one node sees it.
type Status struct {
	// Node is the node that collected the status.
	Node    domain.NodeID
	Version string
	At      time.Time
	// Ready is the node's health response to the load balancer. NotReady is the reason
	// why the node is not ready.
	Ready           bool
	NotReady        string
	Log             LogStatus
	Nodes           []NodeStatus
	Servers         []ServerStatus
	Permits         []PermitStatus
	UnknownOutcomes []UnknownOutcomeStatus
	Queues          []QueueStatus
	ColdStarts      []ColdStartStatus
	Ejections       []EjectionStatus
	Suspects        []SuspectStatus
	// Problems is the result of Diagnose.
	Problems []Problem
}

// LogStatus is the state of the platform's log as the node sees it.
type LogStatus struct {
	Up bool
	// Decision and Configuration are the newest offsets of the two streams that the node
	// has applied.
	Decision      domain.Offset
	Configuration domain.Offset
	// LagRecords is the number of records of the decision stream that the node knows of
	// and has not applied yet.
	LagRecords uint64
	// SinceResponse is the time since the log's last response.
	SinceResponse time.Duration
}

// NodeStatus is one entry VM.
type NodeStatus struct {
	Node    domain.NodeID
	Address string
	Region  domain.Region
	Zone    domain.Zone
	Alive   bool
	Leaving bool
	// Roles are names such as "relay" or "pacer". The leases are in Status.Servers.
	Roles []string
	// Leases is the number of backend servers that the node owns.
	Leases int
	// Configuration is the offset of the newest operator record that the node has applied.
	Configuration domain.Offset
}

// ServerStatus is one backend server.
type ServerStatus struct {
	Server domain.ServerID
	// Kind is "Engine" or "Service".
	Kind    string
	Region  domain.Region
	Zone    domain.Zone
	Alive   bool
	Leaving bool
	Drained bool
	// Owner and Fence are the owner and fencing token of the lease in force; both are
	// zero where there is none.
	Owner        domain.NodeID
	Fence        domain.Fence
	ChecksFences bool
	Memory       domain.Bytes
	Used         domain.Bytes
	Running      int
	Waiting      int
}

// PermitStatus is one permit to load a model at a server. The permits of a status are in
// the order of attachment.
type PermitStatus struct {
	Model  domain.ModelName
	Server domain.ServerID
	// Loaded and Loading are the replica's state in the server's last report.
	Loaded  bool
	Loading bool
	// Revoked is set for permits over the limits in the configuration. They count until
	// they are released.
	Revoked bool
}

// UnknownOutcomeStatus is an earlier owner of a server whose orders may still take
// effect.
type UnknownOutcomeStatus struct {
	Server domain.ServerID
	// Owner held the lease with the fencing token EarlierFence.
	Owner        domain.NodeID
	EarlierFence domain.Fence
	// Since is the time for which this node has known of the unknown outcome.
	Since time.Duration
}

// QueueStatus is one queue of waiting requests.
type QueueStatus struct {
	Model   domain.ModelName
	Waiting int
	Running int
	// AverageHoldTime is the average time for which a request keeps its slot.
	AverageHoldTime time.Duration
}

// ColdStartStatus is one cold start in progress.
type ColdStartStatus struct {
	Model  domain.ModelName
	Server domain.ServerID
	// Callers is the number of requests that wait for the cold start.
	Callers int
	// Since is the time since the cold start began.
	Since time.Duration
}

// EjectionStatus is a backend server that outlier ejection keeps out of the node's
// choice for a time.
type EjectionStatus struct {
	Server   domain.ServerID
	Failures int
	// Remaining is the time until the ejection ends.
	Remaining time.Duration
}

// SuspectStatus is one request content that the node runs in isolation or rejects,
// because backend servers crashed while they ran it.
type SuspectStatus struct {
	// Content is the hash of the content in hexadecimal.
	Content string
	Refused bool
	Crashes int
	// Remaining is the time for which the content is still rejected.
	Remaining time.Duration
}

// Severity is how urgent a problem is.
type Severity int

// The severities.
const (
	// Note needs no action now.
	Note Severity = iota
	// Warning needs action within the day.
	Warning
	// Urgent needs action now.
	Urgent
)

// Problem is one condition that an operator should know of or act on. Its message must be
// clear without further context.
type Problem struct {
	Severity Severity
	Message  string
	// Page is the runbook, a file under docs/operating.
	Page string
}

// Thresholds above which a state is a problem.
const (
	maximumLagRecords         = 1000
	maximumColdStartTime      = time.Minute
	maximumUnknownOutcomeTime = time.Minute
	maximumLogResponseAge     = 5 * time.Second
	fullServerFraction        = 0.95
)

// Diagnose returns the problems of a status, the most urgent first.
func Diagnose(s Status) []Problem {
	var d diagnosis
	d.checkLog(s)
	d.checkNodes(s)
	d.checkServers(s)
	d.checkRequests(s)
	return append(append(d[Urgent], d[Warning]...), d[Note]...)
}

// diagnosis holds the problems by severity.
type diagnosis [Urgent + 1][]Problem

func (d *diagnosis) addf(s Severity, page, format string, values ...any) {
	d[s] = append(d[s], Problem{Severity: s, Message: fmt.Sprintf(format, values...), Page: page})
}

func (d *diagnosis) checkLog(s Status) {
	if !s.Log.Up {
		d.addf(Urgent, "log-outage.md", "the platform's log has not answered for %s: no permit moves and no command with a key is accepted", s.Log.SinceResponse.Round(time.Second))
	} else if s.Log.SinceResponse > maximumLogResponseAge {
		d.addf(Warning, "log-outage.md", "the platform's log answered last %s ago", s.Log.SinceResponse.Round(time.Second))
	}
	if s.Log.LagRecords > maximumLagRecords {
		d.addf(Warning, "log-outage.md", "node %s is %d records behind the log", s.Node, s.Log.LagRecords)
	}
	if !s.Ready {
		d.addf(Warning, "first-day.md", "node %s is not ready: %s", s.Node, s.NotReady)
	}
}

func (d *diagnosis) checkNodes(s Status) {
	newest := s.Log.Configuration
	for _, n := range s.Nodes {
		newest = max(newest, n.Configuration)
	}
	for _, n := range s.Nodes {
		switch {
		case !n.Alive:
			d.addf(Warning, "region-cut.md", "node %s in %s does not answer", n.Node, n.Zone)
		case n.Configuration < newest:
			d.addf(Note, "first-day.md", "node %s has configuration %d, the newest is %d", n.Node, n.Configuration, newest)
		}
	}
}

func (d *diagnosis) checkServers(s Status) {
	for _, v := range s.Servers {
		switch {
		case !v.Alive && !v.Leaving:
			d.addf(Warning, "stuck-lease.md", "backend server %s does not answer its owner %s", v.Server, v.Owner)
		case v.Memory > 0 && v.Used > v.Memory:
			d.addf(Urgent, "capacity.md", "backend server %s uses more memory than it has", v.Server)
		case v.Memory > 0 && float64(v.Used) > fullServerFraction*float64(v.Memory):
			d.addf(Note, "capacity.md", "backend server %s is nearly full", v.Server)
		}
		if v.Kind == "Engine" && v.Owner == "" && !v.Leaving {
			d.addf(Warning, "stuck-lease.md", "backend server %s has no owner", v.Server)
		}
	}
	for _, v := range s.UnknownOutcomes {
		if v.Since > maximumUnknownOutcomeTime {
			d.addf(Warning, "stuck-lease.md", "orders of %s to %s have been in doubt for %s: its memory and permits stay reserved", v.Owner, v.Server, v.Since.Round(time.Second))
		}
	}
}

func (d *diagnosis) checkRequests(s Status) {
	for _, w := range s.ColdStarts {
		if w.Since > maximumColdStartTime {
			d.addf(Warning, "slow-weight-store.md", "the cold start of %s at %s has run for %s and %d callers wait", w.Model, w.Server, w.Since.Round(time.Second), w.Callers)
		}
	}
	for _, c := range s.Suspects {
		if c.Refused {
			d.addf(Warning, "poison-request.md", "requests with content %s are refused for %s: %d backend servers crashed on them", c.Content, c.Remaining.Round(time.Second), c.Crashes)
		}
	}
	for _, b := range s.Ejections {
		d.addf(Note, "poison-request.md", "node %s leaves backend server %s out for %s after %d failures", s.Node, b.Server, b.Remaining.Round(time.Second), b.Failures)
	}
}
