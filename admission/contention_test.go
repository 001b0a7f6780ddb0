package admission

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func contender(rank int, workspace domain.WorkspaceName) *Contender {
	return &Contender{Rank: rank, Workspace: workspace, Model: "m", ArrivedAt: start, GoalAt: start.Add(time.Second), Deadline: start.Add(10 * time.Second)}
}

func loaded(inUse float64) ServerLoad {
	return ServerLoad{Server: "s", IsKnown: true, InUse: inUse, Slots: 24}
}

// contentionWith returns a Contention with arrivals of the given ranks, whose requests run for 3 s.
func contentionWith(ranks ...int) *Contention {
	c := &Contention{}
	for _, rank := range ranks {
		c.RecordArrival(start, contender(rank, ""))
	}
	c.RecordHoldTime(3 * time.Second)
	c.RecordFirstEvent(200 * time.Millisecond)
	return c
}

// The load pattern is a burst of one rank: reserved slots would stay empty.
func TestBurstOfOneRankUsesAllSlots(t *testing.T) {
	c := contentionWith(5, 5, 5, 5)
	for inUse, want := range map[float64]bool{0: true, 23: true, 24: true, 25: true, 28: false} {
		if got := c.HasRoom(start, contender(5, ""), loaded(inUse)); got != want {
			t.Errorf("room beside %v requests: got %v, want %v", inUse, got, want)
		}
	}
}

// The load pattern is two ranks at full servers: without reservation the less urgent one takes the
// last slots.
func TestLessUrgentRanksLeaveSlotsFree(t *testing.T) {
	c := contentionWith(0, 5, 5, 0, 9)
	previous := c.Limit(start, contender(0, ""), loaded(0))
	if previous <= 24 {
		t.Errorf("limit of the most urgent rank: got %v, want more than all slots", previous)
	}
	for _, rank := range []int{5, 9} {
		limit := c.Limit(start, contender(rank, ""), loaded(0))
		if limit >= previous || limit > 23.5 {
			t.Errorf("limit of rank %d: got %v, want less than %v and than all slots", rank, limit, previous)
		}
		previous = limit
	}
	// The urgent requests have stopped.
	later := start.Add(5 * time.Minute)
	c.RecordArrival(later, contender(5, ""))
	if got := c.Limit(later, contender(5, ""), loaded(0)); got <= 24 {
		t.Errorf("limit without urgent requests: got %v, want more than all slots", got)
	}
}

// The load pattern is urgent requests that fill the servers for long: the others must not starve.
func TestRefusedRankGetsRoomAtLast(t *testing.T) {
	c := contentionWith(0, 0, 5)
	r := contender(5, "")
	for range starvationRefusals {
		if c.HasRoom(start, r, loaded(24)) {
			t.Fatal("got room at a full server before the refusals")
		}
		c.RecordRefusal(r)
	}
	if !c.HasRoom(start, r, loaded(24)) {
		t.Error("got no room after the refusals")
	}
	c.RecordSending(start, r)
	if c.HasRoom(start, r, loaded(24)) {
		t.Error("got room again after one sending")
	}
}

// The load pattern is one workspace at six times its usual rate.
func TestWorkspaceBeyondItsShareGoesBehindOthers(t *testing.T) {
	c := contentionWith(5, 5, 5)
	for i := range 18 {
		if i%6 == 0 {
			c.RecordSending(start, contender(5, "a"))
		}
		c.RecordSending(start, contender(5, "burst"))
	}
	first, second, urgent := contender(5, "burst"), contender(5, "a"), contender(0, "burst")
	second.ArrivedAt, second.GoalAt = start.Add(time.Second), start.Add(3*time.Second)
	for _, r := range []*Contender{first, second, urgent} {
		c.Add(r)
	}
	got := c.Order(start)
	if got[0] != urgent || got[1] != second || got[2] != first {
		t.Errorf("got the order %v %v %v, want the urgent one, then that of the other workspace", *got[0], *got[1], *got[2])
	}
}

// A caller that comes back after a refusal would find newer requests with less slack before it.
func TestRetriedContentGoesBeforeNewerOnes(t *testing.T) {
	c := contentionWith(5)
	newer, retried := contender(5, ""), contender(5, "")
	newer.GoalAt = start.Add(100 * time.Millisecond)
	retried.IsRetried = true
	c.Add(newer)
	c.Add(retried)
	if got := c.Order(start); got[0] != retried {
		t.Error("the newer request goes first")
	}
	c.Remove(retried)
	if got := c.Order(start); len(got) != 1 || got[0] != newer {
		t.Errorf("got %d waiting requests, want the newer one", len(got))
	}
}

// The load pattern is all servers full with long queues: a held request would be refused later.
func TestAllServersFull(t *testing.T) {
	for _, test := range []struct {
		inUse float64
		want  Outlook
	}{{27, InTime}, {80, NotServable}} {
		c := contentionWith(5)
		r := contender(5, "")
		if got, wait := c.Assess(start, r, []ServerLoad{loaded(test.inUse), loaded(test.inUse)}, false); got != test.want {
			t.Errorf("%v of 24 slots in use: got %v with a wait of %v, want %v", test.inUse, got, wait, test.want)
		}
	}
	// Nothing waits for so long that it cannot be complete at its deadline.
	c, r := contentionWith(5), contender(5, "")
	r.Deadline = start.Add(3500 * time.Millisecond)
	if got, want := c.WaitsUntil(r), start.Add(500*time.Millisecond); !got.Equal(want) {
		t.Errorf("waits for %v, want %v", got.Sub(start), want.Sub(start))
	}
}

// The load pattern is stale reports: a request must neither be refused nor sent without bound.
func TestUnknownLoadCountsOwnRequests(t *testing.T) {
	c := contentionWith(0, 5)
	for own, want := range map[float64]bool{0: true, 23: true, 24: false} {
		l := loaded(own)
		l.IsKnown = false
		if got := c.HasRoom(start, contender(5, ""), l); got != want {
			t.Errorf("room beside %v own requests: got %v, want %v", own, got, want)
		}
	}
}

// The load pattern is one slow server: its queue takes longer than one of the same length elsewhere.
func TestSlowServerIsWaitedForLonger(t *testing.T) {
	c := contentionWith(5)
	slow, usual := loaded(30), loaded(30)
	slow.Pace = 4
	_, slowWait := c.Assess(start, contender(5, ""), []ServerLoad{slow}, false)
	_, wait := c.Assess(start, contender(5, ""), []ServerLoad{slow, usual}, false)
	if slowWait < 3*wait {
		t.Errorf("wait for the slow server: got %v, want at least three times %v", slowWait, wait)
	}
}

// The load pattern is rejections: all nodes use the same free place and most are rejected. Once there
// is room again, each request uses it.
func TestRejectionsThinOutRequests(t *testing.T) {
	c := contentionWith(5)
	r := contender(5, "")
	for i := range 3 {
		c.RecordRejection(start.Add(time.Duration(i)*rejectionInterval), loaded(26))
	}
	if c.MayTake(start, r, loaded(23), 0, 0.9) {
		t.Error("a request uses the last free place with a probability of 0.9 after three rejections")
	}
	if !c.MayTake(start, r, loaded(23), 0, 0.1) {
		t.Error("no request uses the last free place after three rejections")
	}
	for i := range 20 {
		c.Observe(start.Add(time.Duration(i)*250*time.Millisecond), loaded(6))
	}
	if !c.MayTake(start, r, loaded(6), 0, 0.99) {
		t.Error("requests are still thinned out at a server with free slots")
	}
}

// The load pattern is a busy node: many of its requests are rejected at once, and for the same reason.
// If each of them counted, a node at 0.8 times the capacity refused requests although there was room.
func TestRejectionsAtOnceCountOnce(t *testing.T) {
	c := contentionWith(5)
	for range 50 {
		c.RecordRejection(start, loaded(26))
	}
	if !c.MayTake(start, contender(5, ""), loaded(23), 0, 0.6) {
		t.Error("requests are thinned out as if each rejection was another one")
	}
}

func TestRetryAfterIsLongerForLessUrgentRanks(t *testing.T) {
	c := contentionWith(0, 9)
	wait := time.Second
	if urgent, other := c.RetryAfter(start, contender(0, ""), wait, 0), c.RetryAfter(start, contender(9, ""), wait, 0); urgent >= other {
		t.Errorf("got %v for rank 0 and %v for rank 9", urgent, other)
	}
	r := contender(9, "")
	if got, limit := c.RetryAfter(start, r, time.Minute, 0), 3*time.Second; got > limit {
		t.Errorf("got %v, want at most %v, 0.3 of the time left", got, limit)
	}
	if got, whole := c.RetryAfter(start, r, wait, 0.99), c.RetryAfter(start, r, wait, 0); got < whole*6/10 || got > whole*7/10 {
		t.Errorf("with the largest random part: got %v of %v, want two thirds", got, whole)
	}
}
