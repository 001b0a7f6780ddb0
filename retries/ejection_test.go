package retries

import (
	"reflect"
	"testing"
	"time"
)

func TestEjectionsListServersThatAreLeftOut(t *testing.T) {
	var b Breakers
	now := time.Unix(0, 0)
	b.Failed(now, "b", true)
	b.Failed(now, "a", true)
	b.Failed(now, "c", false)
	got := b.Ejections(now)
	want := []Ejection{{Server: "a", Failures: 1, For: firstEjection}, {Server: "b", Failures: 1, For: firstEjection}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := b.Ejections(now.Add(firstEjection)); len(got) != 0 {
		t.Errorf("got %+v after the ejection, want none", got)
	}
}
