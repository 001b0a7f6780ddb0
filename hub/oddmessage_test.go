package hub

import (
	"context"
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
	h.InitialUpdate = func() Update { return update }
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
