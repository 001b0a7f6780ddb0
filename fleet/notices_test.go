package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const testDrainBound = 2 * time.Second

func noticeServer(id domain.ServerID, startedAtMs int64) *Server {
	return &Server{ID: id, State: Ready, EngineState: EngineState{StartedAtMs: startedAtMs}}
}

// selectionOf returns the group in which a single server is selected.
func selectionOf(n *Notices, arrivedAt time.Time, s *Server) string {
	selection := n.Select(time.Now(), arrivedAt, []*Server{s})
	switch {
	case len(selection.Open) == 1:
		return "Open"
	case len(selection.LastResort) == 1:
		return "LastResort"
	case len(selection.Restricted) == 1:
		return selection.Restricted[0].String()
	}
	return "missing"
}

func checkSelection(t *testing.T, n *Notices, arrivedAt time.Time, s *Server, want string) {
	t.Helper()
	if got := selectionOf(n, arrivedAt, s); got != want {
		t.Errorf("selection of %s started at %d: got %s, want %s", s.ID, s.EngineState.StartedAtMs, got, want)
	}
}

// A leaving server that is used again after some time breaks the drain bound.
func TestLeavingNoticeDoesNotEndByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &Notices{DrainBound: testDrainBound}, noticeServer("a", 5)
		change := n.Record(time.Now(), s.Incarnation(), Notice{Leaving: true})
		if got, want := change.BeganLeaving, true; got != want {
			t.Errorf("began to leave: got %v, want %v", got, want)
		}
		if got, want := n.Record(time.Now(), s.Incarnation(), Notice{Leaving: true}).BeganLeaving, false; got != want {
			t.Errorf("began to leave again: got %v, want %v", got, want)
		}
		find := func(domain.ServerID) (*Server, bool) { return s, true }
		for range 48 {
			time.Sleep(time.Hour)
			n.Prune(time.Now(), find)
		}
		checkSelection(t, n, time.Now(), s, "Leaving")
	})
}

// The drain bound counts from the first notice to the arrival of the request.
func TestLeavingServerIsALastResortWithinTheDrainBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &Notices{DrainBound: testDrainBound}, noticeServer("a", 5)
		n.Record(time.Now(), s.Incarnation(), Notice{Leaving: true})
		time.Sleep(testDrainBound)
		inTime := time.Now()
		n.Record(time.Now(), s.Incarnation(), Notice{Leaving: true})
		checkSelection(t, n, inTime, s, "LastResort")
		time.Sleep(time.Millisecond)
		checkSelection(t, n, time.Now(), s, "Leaving")
		time.Sleep(time.Hour)
		checkSelection(t, n, inTime, s, "LastResort")
	})
}

func TestOnlyANewerIncarnationEndsALeavingNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Notices{}
		time.Sleep(time.Second)
		n.Record(time.Now(), Incarnation{ID: "a", StartedAtMs: 5}, Notice{Leaving: true})
		now := time.Now().Add(time.Hour)
		checkSelection(t, n, now, noticeServer("a", 4), "Leaving")
		checkSelection(t, n, now, noticeServer("a", 5), "Leaving")
		checkSelection(t, n, now, noticeServer("a", 0), "Leaving")
		checkSelection(t, n, now, noticeServer("a", 6), "Open")
		checkSelection(t, n, now, noticeServer("b", 5), "Open")
		n.Record(time.Now(), Incarnation{ID: "a", StartedAtMs: 6}, Notice{RetryAfter: time.Second})
		n.Record(time.Now(), Incarnation{ID: "a", StartedAtMs: 5}, Notice{Leaving: true})
		checkSelection(t, n, now, noticeServer("a", 6), "RetryLater")
		time.Sleep(time.Second)
		checkSelection(t, n, now, noticeServer("a", 6), "Open")
	})
}

// A registration without a start time must not end the notice of its own process when a
// complete one follows.
func TestNoticeWithoutAStartHoldsForEveryStart(t *testing.T) {
	n := &Notices{}
	now := time.Now()
	n.Record(now, Incarnation{ID: "a"}, Notice{Leaving: true})
	checkSelection(t, n, now.Add(time.Hour), noticeServer("a", 7), "Leaving")
}

// A server restarts under its ID, and its new incarnation asks for time before its
// registration is read. The response names no incarnation, so that it is recorded for the
// old one; without a guard the next registration ends it.
func TestRequestedTimeHoldsForAnIncarnationThatStartedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Notices{}
		before := noticeServer("a", time.Now().UnixMilli())
		time.Sleep(time.Second)
		restarted := noticeServer("a", time.Now().UnixMilli())
		time.Sleep(time.Second)
		n.Record(time.Now(), before.Incarnation(), Notice{RetryAfter: 3 * time.Second})
		find := func(domain.ServerID) (*Server, bool) { return restarted, true }
		n.Prune(time.Now(), find)
		checkSelection(t, n, time.Now(), restarted, "RetryLater")
		n.Record(time.Now(), restarted.Incarnation(), Notice{RetryAfter: time.Second})
		n.Record(time.Now(), before.Incarnation(), Notice{Leaving: true})
		time.Sleep(1500 * time.Millisecond)
		checkSelection(t, n, time.Now(), restarted, "RetryLater")
		later := noticeServer("a", time.Now().UnixMilli())
		checkSelection(t, n, time.Now(), later, "Open")
		time.Sleep(1500 * time.Millisecond)
		checkSelection(t, n, time.Now(), restarted, "Open")
		n.Prune(time.Now(), find)
		time.Sleep(noticeRetention)
		n.Prune(time.Now(), find)
		if got, want := n.Len(), 0; got != want {
			t.Errorf("entries: got %d, want %d", got, want)
		}
	})
}

// Guards against DRAIN: another writer's entry names a later start of a leaving server, and
// the server's own entry follows.
func TestOddRegistrationDoesNotEndALeavingNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &Notices{}, noticeServer("a", 5)
		n.Record(time.Now(), s.Incarnation(), Notice{Leaving: true})
		odd := noticeServer("a", 1<<40)
		n.Prune(time.Now(), func(domain.ServerID) (*Server, bool) { return odd, true })
		n.Record(time.Now(), odd.Incarnation(), Notice{RetryAfter: time.Second})
		time.Sleep(time.Minute)
		n.Prune(time.Now(), func(domain.ServerID) (*Server, bool) { return s, true })
		checkSelection(t, n, time.Now(), s, "Leaving")
	})
}

func TestRetryAfterEndsAtTheLatestRequestedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &Notices{}, noticeServer("a", 5)
		if got, want := n.Record(time.Now(), s.Incarnation(), Notice{RetryAfter: 1500 * time.Millisecond}).BeganRetryLater, true; got != want {
			t.Errorf("began: got %v, want %v", got, want)
		}
		time.Sleep(100 * time.Millisecond)
		change := n.Record(time.Now(), s.Incarnation(), Notice{RetryAfter: time.Second})
		if got, want := time.Until(change.RetryAt), 1400*time.Millisecond; got != want || change.BeganRetryLater {
			t.Errorf("after a shorter time: got %v left and began %v, want %v and false", got, change.BeganRetryLater, want)
		}
		time.Sleep(1399 * time.Millisecond)
		checkSelection(t, n, time.Now(), s, "RetryLater")
		time.Sleep(time.Millisecond)
		checkSelection(t, n, time.Now(), s, "Open")
	})
}

// A server that sends the same invalid header with each response must not fill the log.
func TestInvalidNoticesAreReportedOnceAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := &Notices{}, noticeServer("a", 5)
		reported := 0
		for range 180 {
			if n.Record(time.Now(), s.Incarnation(), Notice{Invalid: "x"}).BeganInvalid {
				reported++
			}
			time.Sleep(time.Second)
		}
		if got, want := reported, 3; got != want {
			t.Errorf("reported in 3 minutes: got %d, want %d", got, want)
		}
		checkSelection(t, n, time.Now(), s, "Open")
		n.Prune(time.Now().Add(invalidNoticeInterval), func(domain.ServerID) (*Server, bool) { return s, true })
		if got, want := n.Len(), 0; got != want {
			t.Errorf("entries: got %d, want %d", got, want)
		}
	})
}

func TestSelectKeepsTheOrderAndTheArgument(t *testing.T) {
	n := &Notices{DrainBound: testDrainBound}
	now := time.Now()
	var servers []*Server
	for i := range 6 {
		servers = append(servers, noticeServer(domain.ServerID(fmt.Sprint(i)), 5))
	}
	n.Record(now, servers[1].Incarnation(), Notice{Leaving: true})
	n.Record(now, servers[4].Incarnation(), Notice{RetryAfter: time.Second})
	before := slices.Clone(servers)
	selection := n.Select(now, now, servers)
	if got, want := selection.Open, []*Server{servers[0], servers[2], servers[3], servers[5]}; !slices.Equal(got, want) {
		t.Errorf("open: got %v, want %v", got, want)
	}
	if len(selection.LastResort) != 1 || len(selection.Restricted) != 1 || !slices.Equal(servers, before) {
		t.Errorf("got %d last resorts, %d restricted, argument changed %v, want 1, 1 and false", len(selection.LastResort), len(selection.Restricted), !slices.Equal(servers, before))
	}
}

// Server IDs change with most starts. Without an end of their entries the table grows for
// as long as the node runs.
func TestNoticesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Notices{}
		registered := map[domain.ServerID]*Server{}
		find := func(id domain.ServerID) (*Server, bool) {
			s, ok := registered[id]
			return s, ok
		}
		for i := range 1000 {
			s := noticeServer(domain.ServerID(fmt.Sprint(i)), 5)
			registered[s.ID] = s
			n.Record(time.Now(), s.Incarnation(), Notice{Leaving: i%2 == 0, RetryAfter: time.Second})
			n.Prune(time.Now(), find)
			time.Sleep(30 * time.Second)
			delete(registered, s.ID)
			n.Prune(time.Now(), find)
		}
		if got, limit := n.Len(), int(noticeRetention/(30*time.Second))+1; got > limit {
			t.Errorf("entries: got %d, want %d at most", got, limit)
		}
		s := noticeServer("again", 5)
		registered[s.ID] = s
		n.Record(time.Now(), s.Incarnation(), Notice{Leaving: true})
		time.Sleep(2 * noticeRetention)
		n.Prune(time.Now(), find)
		if got, want := n.Len(), 1; got != want {
			t.Errorf("entries of registered servers: got %d, want %d", got, want)
		}
		registered[s.ID] = noticeServer("again", 6)
		n.Prune(time.Now(), find)
		time.Sleep(noticeRetention)
		n.Prune(time.Now(), find)
		if got, want := n.Len(), 0; got != want {
			t.Errorf("entries after a restart of the server: got %d, want %d", got, want)
		}
	})
}
