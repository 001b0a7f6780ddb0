package serverload

import (
	"math"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// testService is the service of all servers in these tests.
const testService domain.ServiceName = "engines"

// start is the beginning of virtual time.
var start = time.Unix(1_000_000, 0)

func near(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance }

// Pattern: a server slows from 0.6 to 1.6 in a moment and reports four times a second. Guards against
// an average that still prefers it after 0.3 s.
func TestPaceFollowsASuddenChange(t *testing.T) {
	var table Table
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		table.Record(now, 1, Report{Running: 1, Slots: 24, Pace: 0.6})
	}
	changed := now
	for now.Sub(changed) < 300*time.Millisecond {
		now = now.Add(100 * time.Millisecond)
		table.Record(now, 1, Report{Running: 1, Slots: 24, Pace: 1.6})
	}
	if got := table.State(now, 1, testService, 24).Pace; !near(got, 1.6, 0.06) {
		t.Errorf("pace 0.3 s after the change: got %.2f, want 1.6", got)
	}
}

// Pattern: a server that was slow at its last report is not heard of again. Guards against avoiding
// it for good: its pace is expected to return to the usual one while the report ages.
func TestPaceReturnsToTheUsualOneAsReportsAge(t *testing.T) {
	var table Table
	table.Record(start, 1, Report{Running: 1, Slots: 24, Pace: 1.6})
	at := func(age time.Duration) float64 { return table.State(start.Add(age), 1, testService, 24).Pace }
	if got := at(0); !near(got, 1.6, 0.01) {
		t.Errorf("pace at the report: got %.2f, want 1.6", got)
	}
	if got := at(750 * time.Millisecond); !near(got, 1.3, 0.01) {
		t.Errorf("pace after half of the lifetime: got %.2f, want 1.3", got)
	}
	if got := at(ReportLifetime); !near(got, 1, 0.01) {
		t.Errorf("pace after the lifetime: got %.2f, want 1", got)
	}
}

// Pattern: a node sends several requests to one server between two reports, one of its own and one
// of another node that is older than some of them. Guards against counting own attempts not at all
// or twice.
func TestOwnAttemptsSinceTheReportCountFully(t *testing.T) {
	var table Table
	requests := func(now time.Time) float64 { return table.State(now, 1, testService, 24).Requests }
	now := start
	table.Send(now, 1, testService, 0)
	table.Send(now, 1, testService, 0)
	now = now.Add(100 * time.Millisecond)
	table.Record(now, 1, Report{Running: 10, Slots: 24, Pace: 1})
	if got, want := requests(now), 10.0; got != want {
		t.Errorf("at a report that includes two own attempts: got %v, want %v", got, want)
	}
	table.Send(now.Add(50*time.Millisecond), 1, testService, 0)
	table.Send(now.Add(250*time.Millisecond), 1, testService, 0)
	if got, want := requests(now.Add(260*time.Millisecond)), 12.0; got != want {
		t.Errorf("after two more attempts: got %v, want %v", got, want)
	}
	now = now.Add(300 * time.Millisecond)
	table.Apply(now, []Shared{{Server: 1, Report: Report{Running: 10, Slots: 24, Pace: 1}, Age: 100 * time.Millisecond}})
	if got, want := requests(now), 11.0; got != want {
		t.Errorf("after a shared report that is older than one attempt: got %v, want %v", got, want)
	}
	table.End(now.Add(time.Millisecond), 1, testService, 0)
	if got, want := requests(now.Add(2*time.Millisecond)), 10.0; got != want {
		t.Errorf("after the end of one attempt: got %v, want %v", got, want)
	}
}

// Pattern: stale reports and implausible ones. Guards against using them: only this node's own
// attempts count then.
func TestStaleAndImplausibleReportsCountAsUnknown(t *testing.T) {
	var table Table
	table.Record(start, 1, Report{Running: 20, Slots: 24, Pace: 1})
	table.Send(start, 1, testService, 0)
	if s := table.State(start.Add(ReportLifetime), 1, testService, 24); s.IsKnown || s.Requests != 1 {
		t.Errorf("after the lifetime of the report: got %+v, want an unknown load and 1 own attempt", s)
	}
	for _, r := range []Report{{Running: 1}, {Running: 97, Slots: 24}, {Running: -1, Slots: 24}, {Slots: 24, Pace: 51}, {Slots: 24, Pace: 0.01}, {Slots: 6, Waiting: 385}} {
		table.Record(start, 2, Report{Running: 3, Slots: 24})
		table.Record(start, 2, r)
		if s := table.State(start, 2, testService, 24); s.IsKnown {
			t.Errorf("report %+v: got a known load %+v, want an unknown one", r, s)
		}
	}
}

// Pattern: a server that was full and slow restarts. Guards against a free server that gets no
// requests because of the reports of its former process.
func TestARestartedServerStartsAnew(t *testing.T) {
	var table Table
	s := fleet.Server{ID: "i", EngineState: fleet.EngineState{StartedAtMs: 1}}
	before := KeyOf(&s)
	table.Record(start, before, Report{Running: 24, Waiting: 9, Slots: 24, Pace: 1.6})
	table.RecordFull(start, before)
	s.EngineState.StartedAtMs = 2
	if got, want := table.State(start, KeyOf(&s), testService, 24), (State{Slots: 24, Pace: 1}); got != want {
		t.Errorf("after a restart: got %+v, want %+v", got, want)
	}
}

// Pattern: a server rejects a request that its report had room for. Guards against sending it the
// next ones too before it has reported room again.
func TestARejectionCountsUntilANewerReport(t *testing.T) {
	var table Table
	table.Record(start, 1, Report{Running: 20, Slots: 24, Pace: 1})
	now := start.Add(10 * time.Millisecond)
	table.RecordFull(now, 1)
	if table.State(now, 1, testService, 24).HasRoom(&Request{}) {
		t.Error("after a rejection: got room, want none")
	}
	now = now.Add(10 * time.Millisecond)
	table.Record(now, 1, Report{Running: 23, Slots: 24, Pace: 1})
	if !table.State(now, 1, testService, 24).HasRoom(&Request{}) {
		t.Error("after a newer report with a free slot: got no room, want room")
	}
}

// Pattern: memory nearly full while slots are free, with requests three times as large as others.
// Guards against a preemption at the server, which reads a whole prompt anew.
func TestMemoryNearlyFullLeavesNoRoomForALargeRequest(t *testing.T) {
	var table Table
	for i := range Key(10) {
		table.Send(start, i+2, testService, 1000)
	}
	table.Record(start, 1, Report{Running: 58, Slots: 64, Pace: 1})
	state := table.State(start, 1, testService, 64)
	if got, want := state.Tokens, 58_000.0; got != want {
		t.Errorf("tokens in use by 58 requests of others: got %v, want %v", got, want)
	}
	for _, c := range []struct {
		size domain.Tokens
		want bool
	}{{1000, true}, {3000, false}} {
		r := &Request{Service: testService, Size: c.size, CacheTokens: 60_000}
		if got := state.HasRoom(r); got != c.want {
			t.Errorf("room for a request of %d tokens beside 58,000 of 60,000: got %v, want %v", c.size, got, c.want)
		}
	}
	if got, want := state.InUse(60_000), 64*58.0/60; !near(got, want, 0.01) {
		t.Errorf("slots in use by memory: got %.2f, want %.2f", got, want)
	}
}

// Pattern: servers that report no pace, one of which is slow. Guards against a pace learned from few
// samples, and against none learned at all.
func TestPaceIsLearnedFromManySamplesOnly(t *testing.T) {
	var owner Table
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		owner.RecordFirstEvent(now, 1, testService, 1000, 100*time.Millisecond)
	}
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		var node Table
		for range 20 {
			node.RecordFirstEvent(now, 2, testService, 1000, 100*time.Millisecond)
		}
		node.TakeOwn(now)
		node.RecordFirstEvent(now, 1, testService, 1000, 200*time.Millisecond)
		owner.Merge(now, node.TakeOwn(now))
		if got := owner.LearnedPace(now, 3); got != 0 {
			t.Fatalf("a server without samples: got pace %.2f, want 0", got)
		}
		if i == 5 {
			var other Table
			other.RecordFirstEvent(now, 1, testService, 1000, time.Second)
			if got := other.LearnedPace(now, 1); got != 0 {
				t.Errorf("one sample: got pace %.2f, want 0", got)
			}
		}
	}
	var follower Table
	follower.Apply(now, owner.TakeChanges(now, 10))
	if got := follower.LearnedPace(now, 1); got <= 1 || got > 2 {
		t.Errorf("pace learned by all nodes: got %.2f, want between 1 and 2", got)
	}
}
