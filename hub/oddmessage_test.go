package hub

import (
	"context"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/suspects"
)

// A caller may ask for a model whose name is not UTF-8, and a server's name may be odd. Guards
// against a message with such a name that ends the link, and ends it again after each new dial.
func TestNamesThatAreNotUTF8KeepTheLink(t *testing.T) {
	odd := "\xff\xc3("
	report := Report{
		Node: "n", Demands: []placement.Demand{{ModelKey: placement.ModelKey{Service: "s", Model: domain.ModelName(odd)}, Waiting: 1}},
		CrashReports: []suspects.Report{{Crashes: 1, Server: domain.ServerID(odd)}}, StaleServers: []domain.ServerID{domain.ServerID(odd), "i"},
	}
	update := Update{NodeCount: 2, Servers: []ServerState{
		{ID: domain.ServerID(odd), EngineState: fleet.EngineState{Models: []fleet.LoadedModel{{Model: domain.ModelName(odd), Adapters: []domain.AdapterName{domain.AdapterName(odd)}}}}},
		{ID: "i", EngineState: fleet.EngineState{Sequence: 3}},
	}}
	h, address, reports, _ := startHub(t)
	h.InitialUpdate = func(start func(Update)) { start(update) }
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	l, err := Dial(ctx, &net.Dialer{}, address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got, err := l.Receive(ctx)
	if err != nil || !reflect.DeepEqual(got, update) {
		t.Errorf("update: got %+v and %v, want %+v", got, err, update)
	}
	if err := l.Send(ctx, report); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-reports:
		if !reflect.DeepEqual(got, report) {
			t.Errorf("report: got %+v, want %+v", got, report)
		}
	case <-ctx.Done():
		t.Error("the report did not arrive")
	}
}

// An engine state with a number out of range is left out of an update, and the others apply.
// Guards against a start time or sequence after which all later ones count as older.
func TestOddEngineStatesAreLeftOut(t *testing.T) {
	u := Update{Servers: []ServerState{
		{ID: "a", EngineState: fleet.EngineState{StartedAtMs: -1}},
		{ID: "b", EngineState: fleet.EngineState{StartedAtMs: math.MaxInt64}},
		{ID: "c", EngineState: fleet.EngineState{Sequence: math.MaxUint64}},
		{ID: "", EngineState: fleet.EngineState{Sequence: 1}},
		{ID: "e", EngineState: fleet.EngineState{StartedAtMs: 1_700_000_000_000, Sequence: 1}},
	}}
	data, err := encodeUpdate(u)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeUpdate(data)
	if err != nil || len(got.Servers) != 1 || got.Servers[0].ID != "e" {
		t.Errorf("got %+v and %v, want the server e", got.Servers, err)
	}
}

// Guards against CONFIG and lost retries: one odd update of the owner made a node count as behind,
// or divide the retry budget by any number, for the rest of its run.
func TestOddNumbersOfAnUpdateAreLeftOut(t *testing.T) {
	sound := Update{NodeCount: 3, Store: StoreUpdate{ConfigurationOffset: 5, RegistrationsOffset: 6, RegistrationsRead: true}}
	for name, u := range map[string]Update{
		"negative nodes":       {NodeCount: -1},
		"too many nodes":       {NodeCount: math.MaxInt},
		"configuration offset": {Store: StoreUpdate{ConfigurationOffset: math.MaxUint64, RegistrationsRead: true}},
		"registrations offset": {Store: StoreUpdate{RegistrationsOffset: math.MaxUint64, RegistrationsRead: true}},
		"":                     sound,
	} {
		data, err := encodeUpdate(u)
		if err != nil {
			t.Fatal(err)
		}
		want := Update{}
		if name == "" {
			want = sound
		}
		if got, err := decodeUpdate(data); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v and %v, want %+v", name, got, err, want)
		}
	}
}

// Demands with numbers that no node can have are left out of a report.
func TestOddDemandsAreLeftOut(t *testing.T) {
	r := Report{Node: "n"}
	for _, d := range []placement.Demand{{Waiting: -1}, {Running: math.MinInt}, {Arrivals: math.MaxInt}, {LateResponses: math.MaxInt}, {Waiting: 5, Running: 6, Arrivals: 7, LateResponses: 8}} {
		d.ModelKey = placement.ModelKey{Service: "s", Model: "m"}
		r.Demands = append(r.Demands, d)
	}
	data, err := encodeReport(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeReport(data)
	if err != nil || len(got.Demands) != 1 || got.Demands[0].Waiting != 5 {
		t.Errorf("got %+v and %v, want the last demand", got.Demands, err)
	}
}

// A message that is no message of a node is an error, quickly and without a panic.
func TestOddMessagesAreErrors(t *testing.T) {
	array := func(depth int) []byte {
		var data []byte
		for range depth {
			data = append(data, 0x81)
		}
		return append(data, 0)
	}
	unknown := append([]byte{0xa1, 0x61, 'X'}, array(100_000)...)
	huge := append([]byte{0xa1, 0x67}, "Servers\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"...)
	number, err := cbor.Marshal(map[string]any{"Servers": []any{[]any{"i", 1e300, -1, false, nil}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"nested": array(100_000), "nested in an unknown field": unknown, "huge length": huge, "number": number, "empty": nil, "cut": {0xa1}} {
		if _, err := decodeUpdate(data); err == nil {
			t.Errorf("%s: got no error for an update", name)
		}
		if _, err := decodeReport(data); err == nil && name != "number" {
			t.Errorf("%s: got no error for a report", name)
		}
	}
}

// Entries on traits that are out of range are left out, and the others apply. Guards against a
// completion in the future, which would end all suspicion.
func TestOddTraitsAreLeftOut(t *testing.T) {
	w := wireTraits{
		Crashes:     []wireTraitCrash{{Server: "", Traits: []uint64{1}}, {Server: "i", AgeMilliseconds: -1}, {Server: "i", Traits: []uint64{1}}},
		Completions: []wireTraitCompletion{{Trait: 1, AgeMilliseconds: -1}, {Trait: 2, AgeMilliseconds: math.MaxInt64}},
		Refusals:    []wireTraitRefusal{{Trait: 1, Number: 0, RemainingMilliseconds: 1}, {Trait: 1, Number: 1, RemainingMilliseconds: -1}},
	}
	want := suspects.TraitReport{Crashes: []suspects.TraitCrash{{Server: "i", Traits: []suspects.Trait{1}}}}
	if got := w.decode(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
