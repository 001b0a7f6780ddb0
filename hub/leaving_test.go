package hub

import (
	"math"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
)

// A leaving server with a number out of range is left out of a report, and the others apply.
func TestOddLeavingServersAreLeftOut(t *testing.T) {
	valid := LeavingServer{Incarnation: fleet.Incarnation{ID: "i", StartedAtMs: 5}, Age: time.Second}
	r := Report{Node: "n", LeavingServers: []LeavingServer{
		{Incarnation: fleet.Incarnation{StartedAtMs: 5}},
		{Incarnation: fleet.Incarnation{ID: "i", StartedAtMs: -1}},
		{Incarnation: fleet.Incarnation{ID: "i", StartedAtMs: math.MaxInt64}},
		{Incarnation: fleet.Incarnation{ID: "i"}, Age: -time.Second},
		{Incarnation: fleet.Incarnation{ID: "i"}, Age: 2 * maximumAge},
		valid,
	}}
	data, err := encodeReport(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeReport(data)
	if err != nil || len(got.LeavingServers) != 1 || got.LeavingServers[0] != valid {
		t.Errorf("got %+v and %v, want %+v", got.LeavingServers, err, valid)
	}
}
