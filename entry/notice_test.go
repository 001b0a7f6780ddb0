package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

var leavingIncarnation = fleet.Incarnation{ID: "i", StartedAtMs: 1}

// permitsRequest reports whether the node may send a new request to the engine "i".
func permitsRequest(n *Node) bool {
	now := time.Now()
	return len(n.Notices.Select(now, now, n.Views.Get().Servers["s"]).Open) > 0
}

// Guards against DRAIN: a complete listing that still says ready, or an announcement by the
// owner, makes a node use a leaving server again.
func TestListingAndAnnouncementDoNotEndALeavingNotice(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, _ *fakePlatform) {
		n.RecordNotice(leavingIncarnation, fleet.FromRequest, fleet.Notice{Leaving: true})
		ready := fleet.Server{ID: "i", Service: "s", Slots: 8, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1}}
		n.applyRegistrations([]fleet.Change{{ID: "i", Offset: 9, Server: &ready}}, true, 10, nil)
		n.applyUpdate(hub.Update{Servers: []hub.ServerState{{ID: "i", EngineState: fleet.EngineState{StartedAtMs: 1, Sequence: 3}}}})
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 10, RegistrationsRead: true}, 20*time.Second)
		if len(n.Views.Get().Servers["s"]) != 1 || permitsRequest(n) {
			t.Error("a request may be sent to the leaving server, want the server in the view and no request")
		}
		restarted := ready
		restarted.EngineState.StartedAtMs = 2
		n.applyRegistrations([]fleet.Change{{ID: "i", Offset: 11, Server: &restarted}}, false, 12, nil)
		if !permitsRequest(n) {
			t.Error("no request may be sent to the new incarnation")
		}
	})
}

// Guards against DRAIN: the store is away, so that no registration says that a server
// leaves, and its owner loads models there.
func TestOwnerPlansNoLoadOnALeavingServerWhileTheStoreIsAway(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		p.update(func() { p.failing = true })
		n.RecordNotice(leavingIncarnation, fleet.FromControl, fleet.Notice{Leaving: true})
		addRequestAndCheckOrders(t, n, p, 0, "orders for the leaving server")
		time.Sleep(time.Minute)
		addRequestAndCheckOrders(t, n, p, 0, "orders for the leaving server a minute later")
		if permitsRequest(n) {
			t.Error("a request may be sent to the leaving server")
		}
	})
}

// Only the node that got the response knows of a leaving server while the store is away. If
// the owner does not learn of it, a model that lives only there is not loaded elsewhere.
func TestOwnerLearnsOfLeavingServersFromReports(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		n.handleReport(hub.Report{Node: "other", LeavingServers: []hub.LeavingServer{{Incarnation: leavingIncarnation, Age: time.Second}}})
		addRequestAndCheckOrders(t, n, p, 0, "orders for the leaving server")
		if permitsRequest(n) {
			t.Error("a request may be sent to the leaving server")
		}
	})
}

// startReportHub starts the hub of an owner, and returns its address and the reports that it
// receives.
func startReportHub(t *testing.T) (string, <-chan hub.Report) {
	t.Helper()
	reports := make(chan hub.Report, 9)
	h := &hub.Hub{OnReport: func(r hub.Report) { reports <- r }, AcceptsLinks: func() bool { return true }, InitialUpdate: func(start func(hub.Update)) { start(hub.Update{}) }}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(h.Close)
	return strings.TrimPrefix(s.URL, "http://"), reports
}

// withLink calls f while a node sends its reports over a new link to the hub at an address.
func withLink(t *testing.T, n *Node, address string, f func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	l, err := hub.Dial(ctx, &net.Dialer{}, address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.sendReports(ctx, l)
	}()
	f()
	cancel()
	<-done
}

// A report lists each leaving server once for each link, and the first report all of them.
func TestReportsListLeavingServers(t *testing.T) {
	address, reports := startReportHub(t)
	n := New(Options{Name: "n"})
	n.RecordNotice(leavingIncarnation, fleet.FromRequest, fleet.Notice{Leaving: true})
	for range 2 {
		withLink(t, n, address, func() {
			first := <-reports
			if len(first.LeavingServers) != 1 || first.LeavingServers[0].Incarnation != leavingIncarnation {
				t.Errorf("first report: got %+v, want the leaving server", first.LeavingServers)
			}
			if second := <-reports; len(second.LeavingServers) != 0 {
				t.Errorf("second report: got %+v, want none", second.LeavingServers)
			}
		})
	}
}

// A server without registration for long is forgotten, so that the table of notices does
// not grow.
func TestNoticesOfRemovedServersEnd(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		n.RecordNotice(leavingIncarnation, fleet.FromRequest, fleet.Notice{Leaving: true})
		p.update(func() { p.removedAtChange, p.changeOffset = true, 50 })
		time.Sleep(20 * time.Minute)
		if got, want := n.Notices.Len(), 0; got != want {
			t.Errorf("notices: got %d, want %d", got, want)
		}
	})
}
