package objective

import (
	"bytes"
	"testing"
	"time"
)

// FuzzDecodeSnapshot checks that a snapshot that decodes can be encoded again, merged and
// reported.
func FuzzDecodeSnapshot(f *testing.F) {
	var r Recorder
	for i := range 20 {
		e := event(start().Add(time.Duration(i)*time.Minute), time.Duration(i)*time.Second)
		e.Cold, e.BetweenTokens = i%2 == 0, []time.Duration{time.Millisecond}
		r.Record(e)
	}
	raw, err := r.Snapshot(start().Add(time.Hour)).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"Series":[{"Windows":[[],[],[],[{"Index":1,"Counts":[1,1,0,0,0,0,0,0]}]]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeSnapshot(raw)
		if err != nil {
			return
		}
		encoded, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeSnapshot(encoded)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := again.Encode()
		if err != nil || !bytes.Equal(twice, encoded) {
			t.Fatalf("got %s, want %s", twice, encoded)
		}
		_ = Merge(s, again).Report(start(), nil)
	})
}
