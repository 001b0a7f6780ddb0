package entry

import (
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

// RecordNotice records what a backend server said of itself in a response to this node.
// The owner then plans no loads on a leaving server and no longer counts its models.
func (n *Node) RecordNotice(i fleet.Incarnation, source fleet.NoticeSource, notice fleet.Notice) {
	now := time.Now()
	change := n.Notices.Record(now, i, notice)
	if change.BeganInvalid {
		n.Logger.Warn().Str("Event", "NoticeInvalid").Str("Server", string(i.ID)).Stringer("Source", source).Str("Value", notice.Invalid).
			Msg("a backend server sent a header that cannot be used; it counts as missing")
	}
	n.logNotice(i, source, 0, change)
	if !change.BeganLeaving {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyUsable(now)
	n.triggerPlan()
}

// logNotice logs what a notice has changed; age is the time since the server's response.
func (n *Node) logNotice(i fleet.Incarnation, source fleet.NoticeSource, age time.Duration, change fleet.NoticeChange) {
	if change.BeganLeaving {
		n.Logger.Info().Str("Event", "ServerLeaving").Str("Server", string(i.ID)).Int64("Born", i.StartedAtMs).Stringer("Source", source).Int64("AgeMs", age.Milliseconds()).
			Str("Until", "restart").Msg("a backend server says that it leaves; it gets no new requests until it has restarted")
	}
	if change.BeganRetryLater {
		n.Logger.Info().Str("Event", "ServerRetryLater").Str("Server", string(i.ID)).Int64("Born", i.StartedAtMs).Stringer("Source", source).Int64("AgeMs", age.Milliseconds()).
			Time("Until", change.RetryAt).Msg("a backend server asks for no requests for a time")
	}
}

// recordReportedLeaving records the servers that are leaving according to another node.
// The caller holds mu.
func (n *Node) recordReportedLeaving(now time.Time, list []hub.LeavingServer) {
	changed := false
	for _, l := range list {
		change := n.Notices.Record(now.Add(-l.Age), l.Incarnation, fleet.Notice{Leaving: true})
		n.logNotice(l.Incarnation, fleet.FromNode, l.Age, change)
		changed = changed || change.BeganLeaving
	}
	if changed {
		n.applyUsable(now)
	}
}

// leavingServers returns, for a report, the leaving servers with a higher number than
// after, and the highest number that was given.
func (n *Node) leavingServers(now time.Time, after fleet.NoticeNumber) ([]hub.LeavingServer, fleet.NoticeNumber) {
	leaving, last := n.Notices.LeavingAfter(after)
	var list []hub.LeavingServer
	for _, l := range leaving {
		list = append(list, hub.LeavingServer{Incarnation: l.Incarnation, Age: max(0, now.Sub(l.Since))})
	}
	return list, last
}

// withoutLeaving returns the servers that have not said that they leave.
func (n *Node) withoutLeaving(servers []*fleet.Server) []*fleet.Server {
	staying := make([]*fleet.Server, 0, len(servers))
	for _, s := range servers {
		if !n.Notices.IsLeaving(s) {
			staying = append(staying, s)
		}
	}
	return staying
}
