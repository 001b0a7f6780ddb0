package reports

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1000, 0)

func report(server domain.ServerID, fence domain.Fence, sequence uint64, models ...domain.ModelName) Server {
	s := Server{Server: server, Fence: fence, Sequence: sequence, Alive: true, FreeMemory: domain.Gibibyte}
	for _, m := range models {
		s.Models = append(s.Models, Replica{Model: m})
	}
	return s
}

func serversOf(r []ReadyReplica) []domain.ServerID {
	var out []domain.ServerID
	for _, x := range r {
		out = append(out, x.Server)
	}
	return out
}

// synchronise compares the tables a and b as two nodes do, and gives each table the newer
// reports of the other.
func synchronise(a, b *Table, now time.Time) {
	set, versions := b.DifferingVersions(a.Digests())
	if set == 0 {
		return
	}
	newer, requested := a.Reconcile(set, versions)
	for _, r := range newer {
		b.Add(r, now)
	}
	for _, r := range b.NewerReports(requested) {
		a.Add(r, now)
	}
}

func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := map[domain.ServerID]Server{}
		var tables [2]Table
		for range rapid.IntRange(0, 60).Draw(t, "Reports") {
			server := domain.ServerID(fmt.Sprintf("s%d", rapid.IntRange(0, 20).Draw(t, "Server")))
			fence, sequence := rapid.IntRange(1, 3).Draw(t, "Fence"), rapid.IntRange(1, 4).Draw(t, "Sequence")
			// An owner sends one report per version, so the version determines the contents.
			model := domain.ModelName(fmt.Sprintf("m%d", (fence*7+sequence)%5))
			r := report(server, domain.Fence(fence), uint64(sequence), model)
			receiver := rapid.IntRange(0, 2).Draw(t, "ReachesOnly")
			for i := range tables {
				if receiver == 2 || receiver == i {
					tables[i].Add(r, start)
				}
			}
			if r.Version().IsNewerThan(newest[server].Version()) {
				newest[server] = r
			}
		}
		synchronise(&tables[0], &tables[1], start)
		for i := range tables {
			checkTable(t, &tables[i], newest)
		}
		if set, _ := tables[0].DifferingVersions(tables[1].Digests()); set != 0 {
			t.Errorf("got buckets %b that differ after a comparison, want none", set)
		}
	})
}

func checkTable(t *rapid.T, table *Table, newest map[domain.ServerID]Server) {
	want := map[domain.ModelName][]domain.ServerID{}
	for s, r := range newest {
		if got, ok := table.UsableReport(s, start); !ok || !reflect.DeepEqual(got, r) {
			t.Errorf("got %+v, want the newest report %+v", got, r)
		}
		want[r.Models[0].Model] = append(want[r.Models[0].Model], s)
	}
	if got := len(table.Models()); got != len(want) {
		t.Errorf("got %d models, want %d", got, len(want))
	}
	for m, s := range want {
		slices.Sort(s)
		if got := serversOf(table.ReadyReplicas(m, start)); !slices.Equal(got, s) {
			t.Errorf("%s: got %v, want %v", m, got, s)
		}
	}
}

func TestNewerFenceWins(t *testing.T) {
	var table Table
	table.Add(report("s", 5, 90, "m"), start)
	table.AddLoads(Loads{Server: "s", Fence: 5, Sequence: 70, Models: []Load{{"m", 3, 0}}}, start)
	if !table.Add(report("s", 6, 1, "m"), start) {
		t.Error("got the first report of the new owner ignored")
	}
	if table.Add(report("s", 5, 91, "other"), start) {
		t.Error("got a late report of the old owner recorded")
	}
	table.AddLoads(Loads{Server: "s", Fence: 5, Sequence: 71, Models: []Load{{"m", 9, 9}}}, start)
	if got := table.ReadyReplicas("m", start); len(got) != 1 || got[0].Replica.Running != 3 {
		t.Errorf("got %+v, want late loads of the old owner ignored", got)
	}
	table.AddLoads(Loads{Server: "s", Fence: 6, Sequence: 1}, start)
	if got := table.ReadyReplicas("m", start); got[0].Replica.Running != 0 {
		t.Errorf("got %d running, want the new owner's loads", got[0].Replica.Running)
	}
}

func TestReportsAreUsedForOwnerlessLifetime(t *testing.T) {
	var table Table
	table.Add(report("s", 1, 1, "m"), start)
	ownership := Owned
	countReadyAfter := func(after time.Duration) int {
		table.ApplyOwnership(start.Add(after), func(domain.ServerID) Ownership { return ownership })
		return len(table.ReadyReplicas("m", start.Add(after)))
	}
	if got := countReadyAfter(time.Hour); got != 1 {
		t.Errorf("got %d replicas after an hour without a new report, want 1", got)
	}
	ownership = Ownerless
	if got := countReadyAfter(time.Hour); got != 1 {
		t.Errorf("got %d replicas when the server lost its owner, want 1", got)
	}
	if got := countReadyAfter(time.Hour + OwnerlessLifetime + time.Second); got != 0 {
		t.Errorf("got %d replicas without an owner, want none", got)
	}
	ownership = Owned
	if got := countReadyAfter(2 * time.Hour); got != 1 {
		t.Errorf("got %d replicas once there is an owner, want 1", got)
	}
	ownership = Gone
	if countReadyAfter(2 * time.Hour); !table.IsEmpty() || len(table.Models()) != 0 {
		t.Error("got a Gone server kept")
	}
}

func TestUnloadedReplicaIsExcludedForAWhile(t *testing.T) {
	var table Table
	table.Add(report("s", 1, 1, "m"), start)
	table.MarkUnloaded("s", "m", start)
	if got := table.ReadyReplicas("m", start.Add(unloadedExclusionTime-1)); len(got) != 0 {
		t.Errorf("got %v, want the unloaded replica excluded", got)
	}
	if got := table.ReadyReplicas("m", start.Add(unloadedExclusionTime)); len(got) != 1 {
		t.Errorf("got %v, want it back after its exclusion", got)
	}
	table.MarkUnloaded("s", "m", start)
	table.Add(report("s", 1, 2, "m"), start)
	if got := table.ReadyReplicas("m", start); len(got) != 1 {
		t.Errorf("got %v, want the replica back with a newer report", got)
	}
}

func TestLoadsExpire(t *testing.T) {
	var table Table
	table.Add(report("s", 1, 1, "m"), start)
	table.AddLoads(Loads{Server: "s", Fence: 1, Sequence: 2, Models: []Load{{"m", 8, 1}}}, start)
	table.AddLoads(Loads{Server: "s", Fence: 1, Sequence: 1, Models: []Load{{"m", 0, 5}}}, start)
	for _, c := range []struct{ after, confirmedAfter time.Duration }{{0, 0}, {1500 * time.Millisecond, time.Second}, {loadsLifetime, loadsLifetime}} {
		got := table.ReadyReplicas("m", start.Add(c.after))[0]
		if got.Replica.Running != 8 || got.Replica.Waiting != 1 || !got.LoadsConfirmedAt.Equal(start.Add(c.confirmedAfter)) {
			t.Errorf("after %v: got %+v, want 8 and 1 as of %v", c.after, got, c.confirmedAfter)
		}
	}
	if got := table.ReadyReplicas("m", start.Add(loadsLifetime+1))[0]; got.Replica.Running != 0 || got.Replica.Waiting != 0 {
		t.Errorf("got %+v, want no loads after their lifetime", got)
	}
}

func TestNeedsBroadcast(t *testing.T) {
	base := report("s", 1, 1, "m")
	for name, c := range map[string]struct {
		change func(*Server)
		want   bool
	}{
		"Nothing":      {func(*Server) {}, false},
		"Counts":       {func(s *Server) { s.Models[0].Running = 9 }, false},
		"LittleMemory": {func(s *Server) { s.FreeMemory -= domain.Mebibyte }, false},
		"MuchMemory":   {func(s *Server) { s.FreeMemory /= 2 }, true},
		"Loading":      {func(s *Server) { s.Models[0].Loading = true }, true},
		"Adapter":      {func(s *Server) { s.Models[0].Adapters = []domain.AdapterName{"a"} }, true},
		"Dead":         {func(s *Server) { s.Alive = false }, true},
		"Leaving":      {func(s *Server) { s.Leaving = true }, true},
		"Fence":        {func(s *Server) { s.Fence++ }, true},
		"Unloaded":     {func(s *Server) { s.Models = nil }, true},
	} {
		changed := report("s", 1, 1, "m")
		c.change(&changed)
		if got := NeedsBroadcast(base, changed); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestEarlierConfirmationIsIgnored guards against a node that uses a server again after
// the server failed a request, although its owner has not read its state since.
func TestEarlierConfirmationIsIgnored(t *testing.T) {
	var table Table
	r := report("s", 1, 1, "m")
	table.Add(r, start)
	failedAt := start.Add(time.Second)
	for _, c := range []struct {
		at   time.Time
		want bool
	}{{failedAt.Add(-300 * time.Millisecond), false}, {start, false}, {failedAt.Add(time.Millisecond), true}} {
		if table.Add(r, c.at) {
			t.Error("got the same report recorded as newer")
		}
		if got := table.ReadyReplicas("m", failedAt)[0].ConfirmedAt.After(failedAt); got != c.want {
			t.Errorf("confirmed at %v: got %v for confirmed after the failure, want %v", c.at, got, c.want)
		}
	}
	table.AddLoads(Loads{Server: "s", Fence: 1, Sequence: 1}, failedAt.Add(time.Minute))
	if got, want := table.ConfirmedAt("s"), failedAt.Add(time.Millisecond); !got.Equal(want) {
		t.Errorf("got %v after loads, want %v: loads do not confirm the report", got, want)
	}
}
