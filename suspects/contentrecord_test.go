package suspects

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

// Guards against BUDGET: a node that started knew nothing of a content that had crashed servers, and
// sent it to further ones.
func TestRestoredContentHasItsStanding(t *testing.T) {
	var l, other List
	c := Content{1}
	l.RecordCrash(start, Content{2}, "e1", false, false)
	l.RecordCrash(start, c, "e1", false, false)
	l.RecordCrash(start.Add(5*time.Second), c, "e2", false, false)
	now := start.Add(20 * time.Second)
	snapshot := l.Snapshot(now)
	if len(snapshot) != 1 || snapshot[0].Content != c {
		t.Fatalf("got %+v, want the content that crashed two servers alone", snapshot)
	}
	if !other.Restore(now, snapshot) {
		t.Error("got nothing new, want two crashes")
	}
	for _, at := range []time.Duration{0, 30 * time.Second, 50 * time.Second} {
		want, wantRemaining := l.Standing(now.Add(at), c)
		if got, remaining := other.Standing(now.Add(at), c); got != want || remaining != wantRemaining {
			t.Errorf("%v later: got %v for %v, want %v for %v", at, got, remaining, want, wantRemaining)
		}
	}
	if got := other.Snapshot(now); !reflect.DeepEqual(got, snapshot) {
		t.Errorf("got snapshot %+v, want %+v", got, snapshot)
	}
}

// Guards against DENIED: a crash that a node learns of several times, also by a clock that differs,
// must not count more than once.
func TestCrashesAreRestoredOnce(t *testing.T) {
	var l List
	c := Content{1}
	l.RecordCrash(start, c, "e1", false, false)
	l.RecordCrash(start.Add(time.Second), c, "e2", false, false)
	now := start.Add(10 * time.Second)
	before := l.Snapshot(now)
	for _, skew := range []time.Duration{0, 8 * time.Second, -8 * time.Second, -time.Minute} {
		r := ContentRecord{Content: c}
		for _, k := range before[0].Crashes {
			k.Age += skew
			r.Crashes = append(r.Crashes, k)
		}
		if l.Restore(now, []ContentRecord{r}) {
			t.Errorf("clocks differ by %v: got something new, want nothing", skew)
		}
	}
	if got := l.Snapshot(now); !reflect.DeepEqual(got, before) {
		t.Errorf("got %+v, want %+v", got, before)
	}
}

// Guards against a message or a store that fills the memory of a node.
func TestRestoredContentsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var l List
		for i := range rapid.IntRange(0, 600).Draw(rt, "contents") {
			r := ContentRecord{Content: Content{byte(i), byte(i >> 8)}}
			for k := range rapid.IntRange(0, 10).Draw(rt, "crashes") {
				age := time.Duration(rapid.Int64Range(-1, 2*int64(entryLifetime)).Draw(rt, "age"))
				r.Crashes = append(r.Crashes, ContentCrash{Server: domain.ServerID(rune('a' + k)), Age: age})
			}
			l.Restore(start, []ContentRecord{r})
			if e := l.contents[r.Content]; e != nil && len(e.crashes) > maximumCrashes {
				rt.Fatalf("got %d crashes, want %d at most", len(e.crashes), maximumCrashes)
			}
		}
		if got, want := len(l.Snapshot(start)), maximumSnapshotContents; got > want {
			rt.Fatalf("got %d contents in a snapshot, want %d at most", got, want)
		}
	})
}

// Guards against DENIED: a node that had missed that a content completed told its crashes to others
// that knew it, and the content was refused again.
func TestClearedContentIsNotRestored(t *testing.T) {
	var l, other List
	c := Content{1}
	l.RecordCrash(start, c, "e1", false, false)
	l.RecordCrash(start.Add(5*time.Second), c, "e2", false, false)
	now := start.Add(10 * time.Second)
	snapshot := l.Snapshot(now)
	other.Restore(now, snapshot)
	report, _ := l.RecordCompletion(now, c)
	other.ApplyReports(now, []Report{report})
	for name, list := range map[string]*List{"completed there": &l, "cleared by a report": &other} {
		if list.Restore(now, snapshot) || len(list.Snapshot(now)) > 0 {
			t.Errorf("%s: got the content restored, want it clean", name)
		}
	}
	if got, want := len(l.completions), 1; got != want {
		t.Errorf("completions: got %d, want %d", got, want)
	}
	for i := range 2 * maximumContentCompletions {
		l.RecordCompletion(now, Content{2, byte(i), byte(i >> 8)})
	}
	if got, want := len(l.completions), maximumContentCompletions; got > want {
		t.Errorf("completions: got %d, want %d at most", got, want)
	}
}
