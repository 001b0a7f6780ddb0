package fleet

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func readyServer(id domain.ServerID) *Server {
	return &Server{ID: id, Service: "s", State: Ready, EngineState: EngineState{StartedAtMs: 1}}
}

func drainingServer(id domain.ServerID) *Server {
	s := readyServer(id)
	s.State = Draining
	return s
}

// isUsable reports whether a server gets requests at now.
func isUsable(d *Directory, now time.Time, id domain.ServerID) bool {
	for _, s := range d.Usable(now) {
		if s.ID == id {
			return true
		}
	}
	return false
}

// Guards against requests without servers: those that registered in the lost seconds are missing
// until they register again. One that does not is gone.
func TestLostRegistrationStaysUsableForTheReregistrationWindow(t *testing.T) {
	now := time.Now()
	var d Directory
	for i, id := range []domain.ServerID{"a", "b", "c", "e"} {
		d.Apply(now, []Change{{ID: id, Offset: domain.Offset(50 + i), Server: readyServer(id)}})
	}
	now = now.Add(time.Minute)
	listed := []Change{
		{ID: "a", Offset: domain.OffsetIn(1, 50), Server: readyServer("a")},
		{ID: "b", Offset: domain.OffsetIn(1, 51), Server: readyServer("b")},
		{ID: "c", Offset: domain.OffsetIn(1, 52), Server: readyServer("c")},
	}
	d.ApplyListing(now, listed, domain.OffsetIn(1, 53))
	if !isUsable(&d, now.Add(reregistrationWindow-time.Millisecond), "e") {
		t.Error("a server whose registration was lost is not usable at once")
	}
	if isUsable(&d, now.Add(reregistrationWindow), "e") {
		t.Error("a server that has not registered again is still usable after the window")
	}
	d.Apply(now, []Change{{ID: "e", Offset: domain.OffsetIn(1, 53), Server: readyServer("e")}})
	if !isUsable(&d, now.Add(time.Hour), "e") {
		t.Error("a server that has registered again is not usable")
	}
}

// Guards against DRAIN: the store has lost that a server left or drains, and lists it as ready.
func TestServerThatLeftInTheLostSecondsStaysUnusable(t *testing.T) {
	for name, left := range map[string]*Server{"removed": nil, "draining": drainingServer("a")} {
		now := time.Now()
		var d Directory
		d.Apply(now, []Change{{ID: "b", Offset: 40, Server: readyServer("b")}, {ID: "c", Offset: 41, Server: readyServer("c")}, {ID: "e", Offset: 42, Server: readyServer("e")}})
		d.Apply(now, []Change{{ID: "a", Offset: 50, Server: readyServer("a")}})
		d.Apply(now, []Change{{ID: "a", Offset: 60, Server: left}})
		now = now.Add(time.Second)
		listed := []Change{{ID: "a", Offset: domain.OffsetIn(1, 50), Server: readyServer("a")}}
		for i, id := range []domain.ServerID{"b", "c", "e"} {
			listed = append(listed, Change{ID: id, Offset: domain.OffsetIn(1, uint64(40+i)), Server: readyServer(id)})
		}
		d.ApplyListing(now, listed, domain.OffsetIn(1, 55))
		if isUsable(&d, now, "a") {
			t.Errorf("%s: the server is usable by a record from before it left", name)
		}
		if !isUsable(&d, now, "b") {
			t.Errorf("%s: a server that did not leave is not usable", name)
		}
		d.Apply(now, []Change{{ID: "a", Offset: domain.OffsetIn(1, 62), Server: readyServer("a")}})
		if !isUsable(&d, now, "a") {
			t.Errorf("%s: the server is not usable after a new record", name)
		}
		restarted := readyServer("a")
		restarted.EngineState.StartedAtMs = 2
		d.Apply(now, []Change{{ID: "a", Offset: domain.OffsetIn(1, 63)}, {ID: "a", Offset: domain.OffsetIn(2, 1), Server: restarted}})
		if !isUsable(&d, now, "a") {
			t.Errorf("%s: another process of the server is not usable", name)
		}
	}
}
