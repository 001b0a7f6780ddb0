package suspects

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func TestEntriesAreSortedRefusedFirst(t *testing.T) {
	var l List
	now := time.Unix(0, 0)
	l.RecordCrash(now, Content{1}, "a", false, false)
	for i, s := range []domain.ServerID{"b", "c"} {
		l.RecordCrash(now.Add(time.Duration(i)*time.Minute), Content{2}, s, true, false)
	}
	now = now.Add(time.Minute)
	got := l.Entries(now)
	if len(got) != 2 || got[0].Content != (Content{2}) || got[0].Standing != Refused || got[0].Crashes != 2 ||
		got[0].RemainingRefusal != RefusalAfterIsolatedCrash || got[1].Standing != Suspected {
		t.Errorf("got %+v, want the refused content, then the suspected one", got)
	}
	l.ApplyReports(now, []Report{{Content: Content{2}}})
	if got := l.Entries(now); len(got) != 1 || got[0].Content != (Content{1}) {
		t.Errorf("got %+v after the refused content was cleared, want only the suspected one", got)
	}
}
