package hub

import (
	"reflect"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
)

var testKeys = KeyUpdate{Version: 9, Confirmed: true, ConfirmedAge: 800 * time.Millisecond, Steps: []RevocationStep{
	{From: 4, To: 7, Keys: []fleet.KeyHash{fleet.HashKey("a"), fleet.HashKey("b")}}, {From: 7, To: 9, Incomplete: true},
}}

func TestKeysRoundTripThroughEncoding(t *testing.T) {
	data, err := encodeUpdate(Update{Keys: testKeys})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeUpdate(data)
	want := testKeys
	// Rounded up, so that no confirmation gets younger on its way.
	want.ConfirmedAge += time.Millisecond
	if err != nil || !reflect.DeepEqual(got.Keys, want) {
		t.Errorf("got %+v and %v, want %+v", got.Keys, err, want)
	}
	none, err := encodeUpdate(Update{})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeUpdate(none); err != nil || !reflect.DeepEqual(got.Keys, KeyUpdate{}) {
		t.Errorf("without keys: got %+v and %v, want none", got.Keys, err)
	}
}

// Guards against messages that make a node take its configuration for current, or keys for removed,
// without reason.
func TestOddKeysAreNoUpdateAtAll(t *testing.T) {
	for name, edit := range map[string]func(*wireKeys){
		"version":          func(w *wireKeys) { w.Version = -1 },
		"version too high": func(w *wireKeys) { w.Version = maximumVersion + 1 },
		"step back":        func(w *wireKeys) { w.Steps[0].From = 8 },
		"negative step":    func(w *wireKeys) { w.Steps[0].From = -1 },
		"step beyond":      func(w *wireKeys) { w.Steps[1].To = 10 },
		"part of a hash":   func(w *wireKeys) { w.Steps[0].Keys = w.Steps[0].Keys[1:] },
		"too many keys":    func(w *wireKeys) { w.Steps[0].Keys = make([]byte, (MaximumRevokedKeys+1)*len(fleet.KeyHash{})) },
		"too many steps":   func(w *wireKeys) { w.Steps = make([]wireRevocationStep, MaximumRevocationSteps+1) },
	} {
		w := encodeKeys(testKeys)
		edit(w)
		if got := w.decode(); !reflect.DeepEqual(got, KeyUpdate{}) {
			t.Errorf("%s: got %+v, want none", name, got)
		}
	}
	w := encodeKeys(testKeys)
	w.AgeMilliseconds = -5
	if got := w.decode(); got.Confirmed || got.Version != 9 {
		t.Errorf("negative age: got %+v, want it unconfirmed", got)
	}
}

// Guards against a slow node that misses removed keys, or whose messages grow without bound.
func TestQueuedKeyUpdatesAreMerged(t *testing.T) {
	var queue []*message
	for v := range fleet.Version(100) {
		u := KeyUpdate{Version: v + 2, Steps: []RevocationStep{{From: v + 1, To: v + 2, Keys: []fleet.KeyHash{fleet.HashKey("k")}}}}
		queue = append(queue, &message{update: Update{Keys: u}}, &message{update: Update{NodeCount: 7}})
	}
	queue = append(queue, &message{update: Update{Keys: KeyUpdate{Version: 101, Confirmed: true, ConfirmedAge: time.Second}}}, &message{update: Update{Keys: KeyUpdate{Version: 101}}})
	got := mergedUpdate(queue).Keys
	if got.Version != 101 || !got.Confirmed || len(got.Steps) != MaximumRevocationSteps || got.Steps[MaximumRevocationSteps-1].To != 101 {
		t.Errorf("got version %d, confirmed %v and %d steps, want 101, true and the last %d", got.Version, got.Confirmed, len(got.Steps), MaximumRevocationSteps)
	}
	if got := (KeyUpdate{Version: 5, Confirmed: true}).followedBy(KeyUpdate{Version: 6}); got.Confirmed {
		t.Error("the confirmation of an older version counts for a newer one")
	}
}

// BenchmarkKeyUpdate measures the messages about keys: one without news, and the largest.
func BenchmarkKeyUpdate(b *testing.B) {
	largest := KeyUpdate{Version: 2, Confirmed: true, Steps: []RevocationStep{{From: 1, To: 2, Keys: make([]fleet.KeyHash, MaximumRevokedKeys)}}}
	for name, u := range map[string]KeyUpdate{"quiet": {Version: 1 << 20, Confirmed: true, ConfirmedAge: time.Second}, "largest": largest} {
		b.Run(name, func(b *testing.B) {
			empty, err := encodeUpdate(Update{})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				data, err := encodeUpdate(Update{Keys: u})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decodeUpdate(data); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)-len(empty)), "bytes/message")
			}
		})
	}
}
