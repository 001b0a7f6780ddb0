package hub

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// earlierUpdate is the wire form of an update before nodes passed registrations on.
type earlierUpdate struct {
	Servers  []wireServer
	Suspects []wireSuspect
	Nodes    int
	News     wireStoreUpdate
	Traits   *wireTraits
}

// Nodes of two versions are linked to each other while a deployment is upgraded.
func TestUpdatesPassBetweenVersions(t *testing.T) {
	data, err := cbor.Marshal(earlierUpdate{Nodes: 3, News: wireStoreUpdate{Configuration: 2, Registrations: 9, Read: true}})
	if err != nil {
		t.Fatal(err)
	}
	want := StoreUpdate{ConfigurationOffset: 2, RegistrationsOffset: 9, RegistrationsRead: true}
	if got, err := decodeUpdate(data); err != nil || got.Store != want || got.NodeCount != 3 || len(got.Registrations.Changes) != 0 {
		t.Errorf("from an earlier version: got %+v and %v, want %+v", got, err, want)
	}
	want.ReadAge = time.Second
	data, err = encodeUpdate(Update{NodeCount: 3, CandidateCount: 2, Store: want, Registrations: testRegistrations})
	if err != nil {
		t.Fatal(err)
	}
	var got earlierUpdate
	if err := unmarshal(data, &got); err != nil || got.Nodes != 3 || got.News.Registrations != 9 || !got.News.Read {
		t.Errorf("to an earlier version: got %+v and %v", got, err)
	}
}
