package retries

import (
	"reflect"
	"testing"
	"time"
)

func TestEjectionsListEjectedServers(t *testing.T) {
	var b Breakers
	now := time.Unix(0, 0)
	b.RecordFailure(now, "b", true)
	b.RecordFailure(now, "a", true)
	b.RecordFailure(now, "c", false)
	got := b.Ejections(now)
	want := []Ejection{{Server: "a", Failures: 1, Remaining: firstEjection}, {Server: "b", Failures: 1, Remaining: firstEjection}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := b.Ejections(now.Add(firstEjection)); len(got) != 0 {
		t.Errorf("got %+v after the ejection, want none", got)
	}
}
