package hub

import (
	"reflect"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

var testRegistrations = RegistrationChanges{Previous: 4, Offset: 9, Changes: []fleet.Change{
	{ID: "i", Offset: 6, Server: &fleet.Server{
		ID: "i", Service: "s", Address: "10.0.0.2:80", Zone: "z", Slots: 8, State: fleet.Ready, WarmUpRemaining: time.Second,
		EngineState: fleet.EngineState{StartedAtMs: 5, Models: []fleet.LoadedModel{{Model: "m", Adapters: []domain.AdapterName{"a"}}}, OnDisk: []domain.ModelName{"d"}, InMemory: []domain.ModelName{"e"}},
	}},
	{ID: "j", Offset: 7},
}}

func TestRegistrationsRoundTripThroughEncoding(t *testing.T) {
	data, err := encodeUpdate(Update{Registrations: testRegistrations})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeUpdate(data)
	if err != nil || !reflect.DeepEqual(got.Registrations, testRegistrations) {
		t.Errorf("got %+v and %v, want %+v", got.Registrations, err, testRegistrations)
	}
}

// Guards against DRAIN and ROUTE: a node that applied the valid part of the changes would count as
// knowing all of them. Without any it reads the store.
func TestOddRegistrationIsNoChangeAtAll(t *testing.T) {
	for name, edit := range map[string]func(*wireRegistrations){
		"address":         func(w *wireRegistrations) { w.Changes[0].Registration.Address = "nowhere" },
		"slots":           func(w *wireRegistrations) { w.Changes[0].Registration.Slots = 0 },
		"warm-up":         func(w *wireRegistrations) { w.Changes[0].Registration.WarmUpMilliseconds = -1 },
		"start":           func(w *wireRegistrations) { w.Changes[0].Registration.Engine.Born = -1 },
		"no server":       func(w *wireRegistrations) { w.Changes[1].ID = "" },
		"offset too high": func(w *wireRegistrations) { w.Offset = maximumOffset + 1 },
		"change after":    func(w *wireRegistrations) { w.Changes[0].Offset = w.Offset + 1 },
	} {
		w := encodeRegistrations(testRegistrations)
		edit(w)
		if got := w.decode(0); len(got.Changes) != 0 {
			t.Errorf("%s: got %+v, want no change", name, got)
		}
	}
}
