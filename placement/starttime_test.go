package placement

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Another writer's registration under a server's key may state a start time in the future. Guards
// against a planner that takes all later registrations and reports of the server as older ones, and
// gives it no order again.
func TestStartTimeThatGoesBackIsTaken(t *testing.T) {
	const startedAtMs, oddStartedAtMs = 1_700_000_000_000, 4_000_000_000_000
	var p Planner
	p.Configure(&fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{}}}})
	registration := func(ms int64) []*fleet.Server {
		return []*fleet.Server{{ID: "i", Service: "s", Address: "10.0.0.1:80", Slots: 8, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: ms}}}
	}
	report := fleet.EngineState{StartedAtMs: startedAtMs, Sequence: 3}
	now := time.UnixMilli(startedAtMs)
	isConfirmed := func() bool { return len(p.Snapshot()) == 1 }
	p.SetServers(now, registration(startedAtMs))
	p.RecordReport(now, now, "i", report, nil)
	if !isConfirmed() {
		t.Fatal("the server's report was not taken")
	}
	p.SetServers(now, registration(oddStartedAtMs))
	p.SetServers(now.Add(time.Second), registration(startedAtMs))
	now = now.Add(2 * time.Second)
	if got, want := len(p.DuePolls(now)), 1; got != want {
		t.Errorf("polls: got %d, want %d", got, want)
	}
	p.RecordReport(now, now, "i", report, nil)
	if !isConfirmed() {
		t.Error("after the odd registration the server's reports are not taken")
	}
	if got, want := p.Snapshot()["i"].Sequence, report.Sequence; got != want {
		t.Errorf("sequence: got %d, want %d", got, want)
	}
}

// A registration that is older than the server's report does not undo the report.
func TestRegistrationOlderThanReportIsNotTaken(t *testing.T) {
	var p Planner
	p.Configure(&fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{}}}})
	servers := []*fleet.Server{{ID: "i", Service: "s", State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 5}}}
	now := time.UnixMilli(9)
	p.SetServers(now, servers)
	p.RecordReport(now, now, "i", fleet.EngineState{StartedAtMs: 7, Sequence: 3}, nil)
	p.SetServers(now, servers)
	if got, want := p.Snapshot()["i"].StartedAtMs, int64(7); got != want {
		t.Errorf("start time: got %d, want %d", got, want)
	}
}
