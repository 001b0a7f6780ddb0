package suspects

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1_000_000, 0)

func TestIsolatedCrashRefusesForADay(t *testing.T) {
	var l List
	c := Content{1}
	l.RecordCrash(start, c, "e1", false, false)
	if got, _ := l.Standing(start, c); got != Suspected {
		t.Errorf("got %v after one crash, want Suspected", got)
	}
	l.RecordCrash(start, c, "e2", true, false)
	if got, remaining := l.Standing(start.Add(time.Hour), c); got != Refused || remaining != RefusalAfterIsolatedCrash-time.Hour {
		t.Errorf("got %v for %v, want Refused for %v", got, remaining, RefusalAfterIsolatedCrash-time.Hour)
	}
}

func TestSharedCrashesRefuseBriefly(t *testing.T) {
	var l List
	c := Content{1}
	l.RecordCrash(start, c, "e1", false, false)
	l.RecordCrash(start, c, "e2", false, false)
	if got, _ := l.Standing(start, c); got != Refused {
		t.Errorf("got %v after two shared crashes, want Refused", got)
	}
	later := start.Add(RefusalAfterSharedCrash)
	if got, _ := l.Standing(later, c); got != Suspected {
		t.Errorf("got %v after the refusal, want Suspected", got)
	}
	if _, ok := l.RecordCompletion(later, c); !ok {
		t.Error("got no report for the content that completed")
	}
	if got, _ := l.Standing(later, c); got != Clean {
		t.Errorf("got %v after completion, want Clean", got)
	}
}

func TestSecondCrashAfterFirstTokenMakesContentSuspected(t *testing.T) {
	var l List
	c := Content{1}
	l.RecordCrash(start, c, "e1", false, true)
	if got, _ := l.Standing(start, c); got != Clean {
		t.Errorf("got %v, want Clean", got)
	}
	l.RecordCrash(start.Add(time.Second), c, "e2", false, true)
	if got, _ := l.Standing(start.Add(time.Second), c); got != Suspected {
		t.Errorf("got %v after two crashes, want Suspected", got)
	}
}

// Reports of the crash of one server within sameCrashWindow count as one crash, with or
// without tokens.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var l List
		c := Content{1}
		l.RecordCrash(start, c, "e1", false, false)
		for range rapid.IntRange(0, 20).Draw(rt, "reports") {
			at := start.Add(time.Duration(rapid.IntRange(0, 2999).Draw(rt, "ms")) * time.Millisecond)
			l.ApplyReports(at, []Report{{Content: c, Crashes: 1, Server: "e1", AfterToken: rapid.Bool().Draw(rt, "after token")}})
		}
		if got, _ := l.Standing(start.Add(3*time.Second), c); got != Suspected {
			rt.Fatalf("got %v, want Suspected", got)
		}
	})
}

func TestListIsBounded(t *testing.T) {
	var l List
	for i := range maximumContents + 100 {
		c := Content{byte(i), byte(i >> 8)}
		l.RecordCrash(start.Add(time.Duration(i)), c, domain.ServerID("e"), false, false)
	}
	if got, want := l.Len(), maximumContents; got > want {
		t.Errorf("got %d contents, want at most %d", got, want)
	}
}

// Guards against an innocent content that is refused for a day: it ran in isolation beside the
// cause, whose response had begun, and had not begun its own.
func TestSuspectBesideTheCauseIsRefusedBriefly(t *testing.T) {
	var l List
	cause, innocent := Content{1}, Content{2}
	for i, s := range []domain.ServerID{"e1", "e2", "e3"} {
		at, isLast := start.Add(time.Duration(i)*time.Second), i == 2
		l.RecordCrash(at, cause, s, isLast, true)
		l.RecordCrash(at, innocent, s, isLast, !isLast)
	}
	later := start.Add(2 * time.Second)
	if got, remaining := l.Standing(later, innocent); got != Refused || remaining != RefusalAfterSharedCrash {
		t.Errorf("innocent content: got %v for %v, want Refused for %v", got, remaining, RefusalAfterSharedCrash)
	}
	if got, _ := l.Standing(later, cause); got != Refused {
		t.Errorf("cause: got %v, want Refused", got)
	}
}

// Guards against BUDGET: the contents that ran beside one crash each pushed out one that had crashed several
// servers, and it crashed two more as it came back.
func TestContentsOfOneCrashAreEvictedFirst(t *testing.T) {
	var l List
	bad := Content{1}
	for _, id := range []domain.ServerID{"a", "b", "c", "d"} {
		l.RecordCrash(start, bad, id, false, false)
	}
	now := start.Add(time.Hour)
	for i := range 2 * maximumContents {
		l.RecordCrash(now, Content{2, byte(i), byte(i >> 8)}, "e", false, false)
	}
	if got, want := l.Len(), maximumContents; got > want {
		t.Errorf("got %d contents, want %d at most", got, want)
	}
	if got, _ := l.Standing(now, bad); got != Refused {
		t.Errorf("got %v, want %v", got, Refused)
	}
	newest := Content{2, byte((2*maximumContents - 1) & 0xff), byte((2*maximumContents - 1) >> 8)}
	if got, _ := l.Standing(now, newest); got != Suspected {
		t.Errorf("the newest content: got %v, want %v", got, Suspected)
	}
}

// Guards against BUDGET: the report that a content had completed waited for a link, and cleared it of the crashes
// that it had caused since.
func TestLateClearingLeavesLaterCrashes(t *testing.T) {
	for age, want := range map[time.Duration]Standing{0: Clean, time.Minute: Refused} {
		var l List
		c := Content{1}
		l.RecordCrash(start, c, "a", false, false)
		l.RecordCrash(start.Add(5*time.Second), c, "b", false, false)
		now := start.Add(6 * time.Second)
		l.ApplyReports(now, []Report{{Content: c, Age: age}})
		if got, _ := l.Standing(now, c); got != want {
			t.Errorf("completed %v ago: got %v, want %v", age, got, want)
		}
	}
}
