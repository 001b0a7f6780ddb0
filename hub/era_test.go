package hub

import (
	"reflect"
	"testing"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// roundTrip returns an update after its way over a link.
func roundTrip(t *testing.T, u Update) Update {
	t.Helper()
	data, err := encodeUpdate(u)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeUpdate(data)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against a node that compares offsets of two eras.
func TestOffsetsArriveWithTheirEra(t *testing.T) {
	in := domain.OffsetIn
	u := Update{
		Store:         StoreUpdate{ConfigurationOffset: in(3, 5), RegistrationsOffset: in(3, 6), RegistrationsRead: true, ReadOffset: in(3, 9)},
		Registrations: RegistrationChanges{Previous: in(3, 4), Offset: in(3, 9), Changes: []fleet.Change{{ID: "j", Offset: in(3, 7)}}},
	}
	if got := roundTrip(t, u); !reflect.DeepEqual(got, u) {
		t.Errorf("got %+v, want %+v", got, u)
	}
	u.Store.ConfigurationOffset, u.Registrations.Previous = in(2, 50), in(2, 40)
	got := roundTrip(t, u)
	if got.Store.ConfigurationOffset != 0 || got.Store.RegistrationsOffset != in(3, 6) || len(got.Registrations.Changes) != 0 {
		t.Errorf("got %+v, want no offset of the former era and no changes that begin there", got)
	}
}

// Guards against a read of the former era that counts as one of the restored store, because a slow
// link gets both updates as one.
func TestUpdatesOfTwoErasAreNotJoined(t *testing.T) {
	former := Update{
		Store:         StoreUpdate{RegistrationsOffset: 6, RegistrationsRead: true, ReadOffset: 90},
		Registrations: RegistrationChanges{Previous: 4, Offset: 9, Changes: []fleet.Change{{ID: "j", Offset: 7}}},
	}
	next := Update{
		Store:         StoreUpdate{ConfigurationOffset: domain.OffsetIn(1, 5)},
		Registrations: RegistrationChanges{Previous: domain.OffsetIn(1, 2), Offset: domain.OffsetIn(1, 3), Changes: []fleet.Change{{ID: "k", Offset: domain.OffsetIn(1, 2)}}},
	}
	got := roundTrip(t, mergedUpdate([]*message{{update: former}, {update: next}}))
	if !reflect.DeepEqual(got, next) {
		t.Errorf("got %+v, want %+v", got, next)
	}
}
