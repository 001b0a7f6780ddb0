package decisions

import (
	"reflect"
	"testing"
	"time"
)

func entry() Entry {
	return Entry{Request: "r", Team: "coral", Dropped: 1, Steps: []Step{
		{At: time.UnixMicro(1_796_360_584_125_843), Kind: Placed, Node: "n", Server: "s", Model: "m", Detail: "2 replicas"},
		{At: time.UnixMicro(1_796_360_584_125_999), Kind: Answered},
	}}
}

func TestEntryRoundTrip(t *testing.T) {
	raw, err := entry().Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(raw)
	if err != nil || !reflect.DeepEqual(got, entry()) {
		t.Errorf("got %+v and %v, want %+v", got, err, entry())
	}
}

// FuzzDecode checks that an entry that decodes is the same after another round trip.
func FuzzDecode(f *testing.F) {
	raw, err := entry().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		want, err := Decode(raw)
		if err != nil {
			return
		}
		encoded, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(encoded)
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		for _, s := range got.Steps {
			_ = s.Kind.String()
		}
	})
}
