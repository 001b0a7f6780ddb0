package hub

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleylug/parsleylug/serverload"
)

// Guards against loads that are lost or changed on the way, in both kinds of messages.
func TestLoadsPassInMessages(t *testing.T) {
	want := []serverload.Shared{
		{Server: 7, Report: serverload.Report{Running: 23, Waiting: 4, Slots: 24, Pace: 1.6}, Age: 1200 * time.Millisecond},
		{Server: math.MaxUint32, LearnedPace: 1.25, Samples: 40},
	}
	report, err := encodeReport(Report{Node: "n", Loads: want})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeReport(report); err != nil || !reflect.DeepEqual(got.Loads, want) {
		t.Errorf("report: got %+v and %v, want %+v", got.Loads, err, want)
	}
	update, err := encodeUpdate(Update{Loads: want})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeUpdate(update); err != nil || !reflect.DeepEqual(got.Loads, want) {
		t.Errorf("update: got %+v and %v, want %+v", got.Loads, err, want)
	}
}

// Guards against cached prompt parts that are lost or changed on the way, ages without bound, and
// more bytes than the owner counts.
func TestPrefixesPassInMessages(t *testing.T) {
	want := []serverload.SharedPrefix{{Server: 7, Hash: math.MaxUint32, Age: 59 * time.Second}, {Server: math.MaxUint32, Hash: math.MaxUint32, Age: 0}}
	report, err := encodeReport(Report{Node: "n", Prefixes: want})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeReport(report); err != nil || !reflect.DeepEqual(got.Prefixes, want) {
		t.Errorf("report: got %+v and %v, want %+v", got.Prefixes, err, want)
	}
	update, err := encodeUpdate(Update{Prefixes: want})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeUpdate(update); err != nil || !reflect.DeepEqual(got.Prefixes, want) {
		t.Errorf("update: got %+v and %v, want %+v", got.Prefixes, err, want)
	}
	longest, err := cbor.Marshal(wirePrefix{Server: math.MaxUint32, Hash: math.MaxUint32, AgeMilliseconds: 60_000})
	if err != nil || len(longest) > PrefixBytes {
		t.Errorf("bytes of a part: got %d and %v, want %d at most", len(longest), err, PrefixBytes)
	}
	if got := decodePrefixes([]wirePrefix{{AgeMilliseconds: -1}, {AgeMilliseconds: math.MaxInt64}}); len(got) != 0 {
		t.Errorf("ages out of range: got %+v, want none", got)
	}
	if got := len(mergedPrefixes(make([]serverload.SharedPrefix, maximumPrefixes), want)); got != maximumPrefixes {
		t.Errorf("parts of many queued updates: got %d, want %d", got, maximumPrefixes)
	}
}

// Guards against numbers of another node that no server can have, against a list without end, and
// against a link that ends because of them.
func TestLoadsOutOfRangeAreDropped(t *testing.T) {
	good := wireLoad{Server: 1, Running: 2, Slots: 24, PacePercent: 100}
	w := wireReport{Node: "n", Loads: []wireLoad{
		{Server: 2, Running: -1, Slots: 24}, {Server: 3, Waiting: 1 << 40}, {Server: 4, Slots: 24, PacePercent: -100}, {Server: 5, Slots: 24, PacePercent: 6000},
		{Server: 6, AgeMilliseconds: -1}, {Server: 7, AgeMilliseconds: math.MaxInt64}, {Server: 8, Samples: 1 << 20, LearnedPercent: 100}, {Server: 9, Samples: 3}, good,
	}}
	data, err := cbor.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	r, err := decodeReport(data)
	if err != nil || len(r.Loads) != 1 || r.Loads[0].Server != 1 {
		t.Errorf("got %+v and %v, want the load of server 1 only", r.Loads, err)
	}
	if got := len(decodeLoads(make([]wireLoad, 3*maximumLoads))); got > maximumLoads {
		t.Errorf("loads of a long list: got %d, want %d at most", got, maximumLoads)
	}
}

// Guards against the bounds in bytes a second: the owner counts LoadBytes for each load.
func TestSizeOfLoads(t *testing.T) {
	empty, err := encodeUpdate(Update{})
	if err != nil {
		t.Fatal(err)
	}
	const count = 100
	var u Update
	for range count {
		u.Loads = append(u.Loads, serverload.Shared{Server: math.MaxUint32, Report: serverload.Report{Running: 255, Waiting: 255, Slots: 255, Pace: 50}, Age: 1499 * time.Millisecond})
	}
	full, err := encodeUpdate(u)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := (len(full)-len(empty))/count, LoadBytes; got > want {
		t.Errorf("bytes of a load: got %d, want %d at most", got, want)
	}
}

// Pattern: a node whose link is too slow for all updates. Guards against a queue that grows, and
// against an older load that replaces a newer one.
func TestQueuedLoadsAreMerged(t *testing.T) {
	o := outbox{changed: make(chan struct{}, 1)}
	for i := range 3 * maximumQueuedMessages {
		m, err := newMessage(Update{Loads: []serverload.Shared{{Server: 1, Report: serverload.Report{Running: i, Slots: 64}}, {Server: serverload.Key(2 + i%2), Report: serverload.Report{Slots: 24}}}})
		if err != nil {
			t.Fatal(err)
		}
		o.add(m)
	}
	data, err := o.take()
	if err != nil {
		t.Fatal(err)
	}
	u, err := decodeUpdate(data)
	if err != nil || len(u.Loads) != 3 || u.Loads[0].Running != 3*maximumQueuedMessages-1 {
		t.Errorf("got %+v and %v, want the newest load of each of 3 servers", u.Loads, err)
	}
}

// BenchmarkReportWithLoads measures what the owner decodes from a node that hears of 14 servers in a
// quarter of a second: 940 nodes with 53,000 requests a second.
func BenchmarkReportWithLoads(b *testing.B) {
	r := Report{Node: "n"}
	for i := range 14 {
		r.Loads = append(r.Loads, serverload.Shared{Server: serverload.Key(1 << 30 * i), Report: serverload.Report{Running: i, Slots: 24, Pace: 1.1}, Age: 125 * time.Millisecond})
	}
	data, err := encodeReport(r)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	var table serverload.Table
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		got, err := decodeReport(data)
		if err != nil {
			b.Fatal(err)
		}
		now = now.Add(time.Millisecond)
		table.Merge(now, got.Loads)
	}
}
