// Package quota decides which requests the quotas of workspaces admit over all nodes. The owner
// keeps a token bucket for each workspace in a Ledger. Each other node has an Allowance, which
// admits requests from what the owner has told it, or asks the owner for one request. A node that
// hears nothing from the owner takes its share of each bucket along and hands back the rest when it
// is linked again, so that the sum of all buckets never exceeds the quota.
//
// Package entry carries the messages between them and package dispatch asks before the first
// attempt. Package quota reads no clock, does no I/O and starts no goroutines. All times are those of
// a clock that also counts the time in which the VM is suspended.
package quota

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// UpdateInterval is how often the owner sends news to all nodes.
	UpdateInterval = 400 * time.Millisecond
	// UpdateLifetime is how long a node relies on the owner's last update. It covers one lost interval
	// and a busy owner.
	UpdateLifetime = time.Second
	// GrantLifetime is how long after it was asked for a granted amount may be used.
	GrantLifetime = 2 * time.Second
	// ReportBatchDelay is how long an urgent report is held back to include further requests.
	ReportBatchDelay = 5 * time.Millisecond
	// reportGapPerNode makes the nodes together send at most about 14,000 urgent reports a second.
	reportGapPerNode = 70 * time.Microsecond
	// minimumRetryAfter bounds the times after which a refused request should be tried again.
	minimumRetryAfter = 50 * time.Millisecond
	maximumRetryAfter = 10 * time.Minute
)

// ReportGap returns the least time between two urgent reports of one of so many nodes.
func ReportGap(nodes int) time.Duration {
	return max(ReportBatchDelay, time.Duration(nodes)*reportGapPerNode)
}

// Limit is the quota of one workspace: Rate per second and Burst beyond it, over all nodes.
type Limit struct {
	Workspace domain.WorkspaceName
	// Rate is positive, Burst is 0 or more.
	Rate, Burst float64
}

// Terms say by how much the use of a workspace may exceed its quota. The sum over all nodes of what
// ran in each sliding window of length Window must stay under what the quota allows times
// 1 + Tolerance, plus Slack.
type Terms struct {
	Window           time.Duration
	Tolerance, Slack float64
}

// Bound returns the largest sum in a window.
func (t Terms) Bound(l Limit) float64 {
	return l.allowed(t.Window)*(1+t.Tolerance) + t.Slack
}

// allowed returns what the quota allows in a period that begins with a full bucket.
func (l Limit) allowed(period time.Duration) float64 { return l.Rate*period.Seconds() + l.Burst }

// headroomShare is the part of the permitted excess by which the buckets are larger than the
// burst. Requests below the limit are then not refused because reports arrive late or in another
// order. The rest is for what nodes admit before the owner knows, and for requests larger than the
// burst.
const headroomShare = 0.4

// capacity returns the size of the bucket of all nodes.
func (t Terms) capacity(l Limit) float64 {
	return l.Burst + headroomShare*(t.Bound(l)-l.allowed(t.Window))
}

// Ask asks the owner for the amount of one waiting request. IDs are unique within one run of a node.
type Ask struct {
	ID     uint32
	Amount float64
}

// Use is what a node reports on one workspace.
type Use struct {
	Workspace domain.WorkspaceName
	// Used is what the node has admitted without asking, and Refunded what was charged for
	// requests that did not run, both since the last report.
	Used, Refunded float64
	// Share is what is left of the node's share of the bucket, in a report with Joins. It may be
	// negative.
	Share float64
	Asks  []Ask
}

// Report is what a node tells the owner. The zero Report tells nothing.
type Report struct {
	// Joins is set in the first report after the node has decided by its own shares, which it hands
	// back.
	Joins bool
	Uses  []Use
}

// IsEmpty reports whether the report tells nothing.
func (r Report) IsEmpty() bool { return !r.Joins && len(r.Uses) == 0 }

// Level is the state of a workspace's bucket.
type Level struct {
	Workspace domain.WorkspaceName
	// Amount is the content of the bucket, scaled up to all nodes, or the debt of the linked ones if it
	// is negative.
	Amount float64
	// Free means that nodes may admit requests without asking.
	Free bool
	// Calm means that the use of the last window is well below the rate.
	Calm bool
}

// Answer is the owner's answer to an Ask.
type Answer struct {
	ID      uint32
	Granted bool
	// Unknown is set for an amount that is not granted, but that the bucket may have together with the
	// shares of nodes that are not linked.
	Unknown bool
	// RetryAfter is when the bucket may have the amount, if it was not granted.
	RetryAfter time.Duration
}

// Update is what the owner tells a node. The zero Update tells nothing.
type Update struct {
	// Nodes is the number of nodes that share the buckets; 0 if the owner tells nothing of the
	// levels.
	Nodes int
	// Levels are those that have changed. The other levels of earlier news are still right.
	Levels []Level
	// Answers are for the receiving node alone.
	Answers []Answer
	// Rejoins tells the receiving node that it counts as lost, and is to hand back its share.
	Rejoins bool
}

// IsEmpty reports whether the news tell nothing.
func (n Update) IsEmpty() bool {
	return n.Nodes == 0 && len(n.Levels) == 0 && len(n.Answers) == 0 && !n.Rejoins
}

// FollowedBy returns the news with the effect of n and then of next.
func (n Update) FollowedBy(next Update) Update {
	if n.IsEmpty() {
		return next
	}
	merged := Update{Nodes: n.Nodes, Rejoins: n.Rejoins || next.Rejoins, Answers: append(append([]Answer(nil), n.Answers...), next.Answers...)}
	if next.Nodes > 0 {
		merged.Nodes = next.Nodes
	}
	position := map[domain.WorkspaceName]int{}
	for _, l := range append(append([]Level(nil), n.Levels...), next.Levels...) {
		if i, ok := position[l.Workspace]; ok {
			merged.Levels[i] = l
			continue
		}
		position[l.Workspace] = len(merged.Levels)
		merged.Levels = append(merged.Levels, l)
	}
	return merged
}

// retryAfter returns the time in which a bucket with a rate gets an amount.
func retryAfter(missing, rate float64) time.Duration {
	seconds := min(missing/rate, maximumRetryAfter.Seconds())
	if math.IsNaN(seconds) {
		return maximumRetryAfter
	}
	return max(minimumRetryAfter, time.Duration(seconds*float64(time.Second)))
}
