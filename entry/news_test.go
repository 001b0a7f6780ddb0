package entry

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

// applyRepeatedly applies a store update of the owner to a node once per read
// interval, for the time d.
func applyRepeatedly(n *Node, u hub.StoreUpdate, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		n.applyUpdate(hub.Update{Store: u})
		time.Sleep(n.RegistrationsInterval)
	}
}

// runWithStoreUpdates runs f with a node that is not the owner and has applied
// store updates of the owner for 4 seconds.
func runWithStoreUpdates(t *testing.T, f func(n *Node, p *fakePlatform)) {
	t.Helper()
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.update(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2, RegistrationsRead: true}, 4*time.Second)
		f(n, p)
	})
}

// readCounts returns the numbers of reads of the registrations and of the
// configuration so far.
func readCounts(p *fakePlatform) (registrationReads, configurationReads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registrationReads, p.configurationReads
}

func TestNodeWithStoreUpdatesReadsTheStoreRarelyWithoutChanges(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		registrationsBefore, configurationsBefore := readCounts(p)
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2, RegistrationsRead: true}, 30*time.Second)
		registrationsAfter, configurationsAfter := readCounts(p)
		if got, want := registrationsAfter-registrationsBefore, 4; got > want {
			t.Errorf("reads of registrations in 30 s: got %d, want %d at most", got, want)
		}
		if got, want := configurationsAfter-configurationsBefore, 3; got > want {
			t.Errorf("reads of configurations in 30 s: got %d, want %d at most", got, want)
		}
	})
}

func TestNodeWithStoreUpdatesReadsAChangeAtOnce(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.update(func() { p.drainsAtChange, p.changeOffset = true, 50 })
		n.applyUpdate(hub.Update{Store: hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 51, RegistrationsRead: true}})
		time.Sleep(50 * time.Millisecond)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers after one began to drain: got %d, want %d", got, want)
		}
	})
}

// The owner is partitioned or frozen: its link stays open, but no update arrives.
func TestNodeReadsTheStoreWhenUpdatesStop(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.update(func() { p.drainsAtChange, p.changeOffset, p.version = true, 50, 2 })
		time.Sleep(1400 * time.Millisecond)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 1.4 s after one began to drain: got %d, want %d", got, want)
		}
		time.Sleep(1500 * time.Millisecond)
		if got, want := int(n.Views.Get().Config.Version), 2; got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

// The owner cannot reach the store but keeps its links and continues to send the
// engine states of servers.
func TestNodeReadsTheStoreWhenTheOwnerCannot(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.update(func() { p.drainsAtChange, p.changeOffset = true, 50 })
		for i := range 28 {
			server := hub.ServerState{ID: "i", EngineState: fleet.EngineState{StartedAtMs: 1, Sequence: uint64(i)}}
			n.applyUpdate(hub.Update{Servers: []hub.ServerState{server}, Store: hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2}})
			time.Sleep(50 * time.Millisecond)
		}
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 1.4 s after one began to drain: got %d, want %d", got, want)
		}
	})
}

// The response to a poll for a configuration is lost. The owner's store update
// then shows that there is a newer configuration.
func TestLostPollIsRepeatedAfterAStoreUpdate(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.update(func() { p.losePolls = true })
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2, RegistrationsRead: true}, 22*time.Second)
		p.update(func() { p.version, p.losePolls = 2, false })
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 2, RegistrationsOffset: 2, RegistrationsRead: true}, 2*time.Second)
		if got, want := int(n.Views.Get().Config.Version), 2; got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

// The response to a poll is lost while the owner sends updates often and the
// configuration changes every 100 ms.
func TestLostPollIsRepeatedDuringFrequentStoreUpdates(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.update(func() { p.losePolls = true })
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2, RegistrationsRead: true}, 22*time.Second)
		for v := range 20 {
			p.update(func() { p.version, p.losePolls = fleet.Version(2+v), v == 0 })
			n.applyUpdate(hub.Update{Store: hub.StoreUpdate{ConfigurationOffset: domain.Offset(2 + v), RegistrationsOffset: 2, RegistrationsRead: true}})
			time.Sleep(100 * time.Millisecond)
		}
		if got, want := int(n.Views.Get().Config.Version), 20; got < want {
			t.Errorf("version: got %d, want %d at least", got, want)
		}
	})
}

func TestRemovedServerBecomesUnusableWithoutAnotherRead(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.update(func() { p.removedAtChange, p.changeOffset = true, 50 })
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 51, RegistrationsRead: true}, 5*time.Second)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 5 s after the registration of one was removed: got %d, want %d", got, want)
		}
	})
}

// The owner is lost, and the next one has not asked the server yet. Guards against a node that goes
// back to what the registration said when the node last read it.
func TestEngineStateOutlivesTheOwner(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, _ *fakePlatform) {
		loaded := fleet.EngineState{StartedAtMs: 1, Sequence: 1, Models: []fleet.LoadedModel{{Model: "m"}}}
		n.applyUpdate(hub.Update{Servers: []hub.ServerState{{ID: "i", EngineState: loaded}}})
		n.handleLinkLoss()
		time.Sleep(5 * n.RegistrationsInterval)
		n.applyUpdate(hub.Update{NodeCount: 9, Servers: []hub.ServerState{{ID: "j"}}})
		if _, ok := n.Views.Get().Servers["s"][0].EngineState.Find("m"); !ok {
			t.Error("the view lacks a model that the last owner knew to be loaded")
		}
	})
}

// A registration that was written after the owner was lost says more than the owner did.
func TestNewerRegistrationReplacesTheStateOfALostOwner(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, _ *fakePlatform) {
		loaded := fleet.EngineState{StartedAtMs: 1, Sequence: 1, Models: []fleet.LoadedModel{{Model: "m"}}}
		n.applyUpdate(hub.Update{Servers: []hub.ServerState{{ID: "i", EngineState: loaded}}})
		n.handleLinkLoss()
		newer := &fleet.Server{ID: "i", Service: "s", Slots: 8, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1}}
		n.applyRegistrations([]fleet.Change{{ID: "i", Offset: 90, Server: newer}}, false, 91, nil)
		if _, ok := n.Views.Get().Servers["s"][0].EngineState.Find("m"); ok {
			t.Error("the view shows a model that the server no longer has")
		}
	})
}

// Guards against hundreds of nodes that read a minute of registrations in one moment when the owner
// falls silent: the store took longer for it than each call may take, and each call was repeated.
func TestNodeReadsOnFromWhereTheOwnerWas(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, _ *fakePlatform) {
		n.applyUpdate(hub.Update{Store: hub.StoreUpdate{RegistrationsOffset: 2, RegistrationsRead: true, ReadOffset: 7000}})
		if got, want := n.registrationsCursor(), domain.Offset(7000); got != want {
			t.Errorf("the next read begins at %d, want %d", got, want)
		}
		// The node has not got the change at 8000.
		n.applyUpdate(hub.Update{Store: hub.StoreUpdate{RegistrationsOffset: 8000, RegistrationsRead: true, ReadOffset: 9000}})
		if got, want := n.registrationsCursor(), domain.Offset(7000); got != want {
			t.Errorf("the next read begins at %d, want %d, after a change that the node missed", got, want)
		}
	})
}
